//! Fields of the console's forms, and their conversion to and from a configuration document.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use time::Date;
use time::OffsetDateTime;
use time::PrimitiveDateTime;
use time::Time;
use time::format_description::BorrowedFormatItem;
use time::macros::format_description;

use crate::protocol::document::Document;
use crate::protocol::document::Route;
use crate::protocol::document::Service;
use crate::protocol::time::WallMs;
use crate::state::validate::parse_document;

/// Number of empty rows for new versions in a form.
const EMPTY_ROWS: usize = 2;
/// Format of `datetime-local` fields, in milliseconds as in the document.
const DATE_TIME: &[BorrowedFormatItem<'_>] =
    format_description!("[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]");
const DATE: &[BorrowedFormatItem<'_>] = format_description!("[year]-[month]-[day]");

/// Part of the configuration document that a form edits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Section {
    /// One service.
    Service,
    /// One route.
    Route,
    /// The whole document as text.
    Document,
}

impl Section {
    /// Returns the section whose form has this path.
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/console/service" => Some(Self::Service),
            "/console/route" => Some(Self::Route),
            "/console/document" => Some(Self::Document),
            _ => None,
        }
    }

    /// Returns the path of the form.
    pub fn path(self) -> &'static str {
        match self {
            Self::Service => "/console/service",
            Self::Route => "/console/route",
            Self::Document => "/console/document",
        }
    }
}

/// Fields of a form in their order. A name may occur more than once.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// Decodes a URL-encoded body or query.
    pub fn parse(encoded: &[u8]) -> Self {
        let pairs = url::form_urlencoded::parse(encoded);
        Self(
            pairs
                .map(|(k, v)| (k.into_owned(), v.into_owned()))
                .collect(),
        )
    }

    /// Returns the first value of a field, or an empty text if there is none.
    pub fn get(&self, name: &str) -> &str {
        let found = self.0.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns all values of a field.
    pub fn all(&self, name: &str) -> Vec<&str> {
        let values = self.0.iter().filter(|(key, _)| key == name);
        values.map(|(_, value)| value.as_str()).collect()
    }

    /// Returns the rows of versions with their traffic shares, and empty rows for new versions.
    pub fn version_rows(&self) -> Vec<(&str, &str)> {
        let shares = self.all("share");
        let names = self.all("version").into_iter().enumerate();
        let mut rows: Vec<_> = names
            .map(|(i, name)| (name, shares.get(i).copied().unwrap_or_default()))
            .filter(|(name, share)| !name.is_empty() || !share.is_empty())
            .collect();
        rows.extend([("", ""); EMPTY_ROWS]);
        rows
    }

    fn push(&mut self, name: &str, value: &impl ToString) {
        self.0.push((name.to_owned(), value.to_string()));
    }
}

/// Returns the initial fields of a form.
pub fn initial(section: Section, document: &Document, name: &str) -> Fields {
    match section {
        Section::Service => {
            let found = document.services.iter().find(|s| s.name.as_str() == name);
            service_fields(found)
        }
        Section::Route => {
            let found = document.routes.iter().find(|r| r.name.as_str() == name);
            route_fields(found)
        }
        Section::Document => {
            let mut fields = Fields::default();
            let text = serde_json::to_string_pretty(document).unwrap_or_default();
            fields.push("document", &text);
            fields
        }
    }
}

fn service_fields(service: Option<&Service>) -> Fields {
    let mut fields = Fields::default();
    let Some(service) = service else {
        return fields;
    };
    fields.push("original", &service.name);
    fields.push("name", &service.name);
    fields.push("slots", &service.slots);
    fields.push("cold_start_ms", &service.cold_start_ms);
    for version in &service.versions {
        fields.push("version", &version.name);
        fields.push("share", &version.share);
    }
    if let Some(rollout) = &service.rollout {
        let steps: Vec<String> = rollout.steps.iter().map(u8::to_string).collect();
        fields.push("from", &rollout.from);
        fields.push("to", &rollout.to);
        fields.push("start", &date_time(rollout.start_ms));
        fields.push("finish_by", &date_time(rollout.finish_by_ms));
        fields.push("steps", &steps.join(", "));
        fields.push("hold_s", &rollout.hold_s);
        fields.push("min_calls", &rollout.min_calls);
    }
    fields
}

fn route_fields(route: Option<&Route>) -> Fields {
    let mut fields = Fields::default();
    let Some(route) = route else {
        return fields;
    };
    fields.push("original", &route.name);
    fields.push("name", &route.name);
    fields.push("host", &route.host);
    fields.push("methods", &route.methods.join(", "));
    fields.push("path_prefix", &route.path_prefix);
    fields.push("service", &route.service);
    if route.idempotent {
        fields.push("idempotent", &"yes");
    }
    fields.push("deadline_ms", &route.deadline_ms);
    fields.push("attempt_timeout_ms", &route.attempt_timeout_ms);
    fields
}

/// Returns `document` with the section that the form edits replaced by the form's input, or removed.
///
/// # Errors
/// Every failure that the check of document files finds.
pub fn apply(
    section: Section,
    document: &Document,
    fields: &Fields,
    remove: bool,
) -> Result<Document, Vec<String>> {
    let text = match section {
        Section::Document => fields.get("document").to_owned(),
        Section::Service => edit_entry(document, "services", fields, service_value, remove),
        Section::Route => edit_entry(document, "routes", fields, route_value, remove),
    };
    parse_document(&text, "form").map_err(|failures| {
        let message = |failure: &crate::result_code::Failure| {
            // The operator does not see the text generated from the form, so its positions are left out.
            let text = match section {
                Section::Document => failure.text.as_str(),
                _ => failure.text.split_once(": ").map_or("", |(_, text)| text),
            };
            format!("{}: {text}", failure.code)
        };
        failures.iter().map(message).collect()
    })
}

fn edit_entry(
    document: &Document,
    list: &str,
    fields: &Fields,
    value: fn(&Fields) -> Value,
    remove: bool,
) -> String {
    let mut edited = serde_json::to_value(document).unwrap_or_default();
    let original = fields.get("original");
    if let Some(entries) = edited[list].as_array_mut() {
        let index = entries
            .iter()
            .position(|entry| !original.is_empty() && entry["name"] == original);
        match (index, remove) {
            (Some(index), true) => drop(entries.remove(index)),
            (Some(index), false) => entries[index] = value(fields),
            (None, true) => {}
            (None, false) => entries.push(value(fields)),
        }
    }
    edited.to_string()
}

fn service_value(fields: &Fields) -> Value {
    let versions: Vec<Value> = fields
        .version_rows()
        .into_iter()
        .filter(|row| *row != ("", ""))
        .map(|(name, share)| json!({ "name": name.trim(), "share": number(share) }))
        .collect();
    let mut service = Map::new();
    service.insert("name".into(), fields.get("name").trim().into());
    service.insert("versions".into(), versions.into());
    insert_number(&mut service, fields, "slots");
    insert_number(&mut service, fields, "cold_start_ms");
    let has_rollout = ["from", "to", "start", "finish_by", "steps"]
        .iter()
        .any(|name| !fields.get(name).trim().is_empty());
    if has_rollout {
        let steps: Vec<Value> = list(fields.get("steps")).map(number).collect();
        let mut rollout = Map::new();
        rollout.insert("from".into(), fields.get("from").trim().into());
        rollout.insert("to".into(), fields.get("to").trim().into());
        rollout.insert("start_ms".into(), time_value(fields.get("start")));
        rollout.insert("finish_by_ms".into(), time_value(fields.get("finish_by")));
        rollout.insert("steps".into(), steps.into());
        insert_number(&mut rollout, fields, "hold_s");
        insert_number(&mut rollout, fields, "min_calls");
        service.insert("rollout".into(), rollout.into());
    }
    service.into()
}

fn route_value(fields: &Fields) -> Value {
    let mut route = Map::new();
    for name in ["name", "path_prefix", "service"] {
        route.insert(name.into(), fields.get(name).trim().into());
    }
    let host = fields.get("host").trim();
    if !host.is_empty() {
        route.insert("host".into(), host.into());
    }
    let methods: Vec<&str> = list(fields.get("methods")).collect();
    route.insert("methods".into(), methods.into());
    route.insert(
        "idempotent".into(),
        (!fields.get("idempotent").is_empty()).into(),
    );
    insert_number(&mut route, fields, "deadline_ms");
    insert_number(&mut route, fields, "attempt_timeout_ms");
    route.into()
}

/// Inserts a number unless the field is empty, which selects the default.
fn insert_number(object: &mut Map<String, Value>, fields: &Fields, name: &str) {
    let text = fields.get(name).trim();
    if !text.is_empty() {
        object.insert(name.to_owned(), number(text));
    }
}

/// Converts a text to a number. Any other text is kept and reported by the check of the document.
fn number(text: &str) -> Value {
    let text = text.trim();
    text.parse::<u64>()
        .map_or_else(|_| text.into(), Value::from)
}

fn list(text: &str) -> impl Iterator<Item = &str> {
    text.split([',', ' '])
        .map(str::trim)
        .filter(|part| !part.is_empty())
}

/// Formats a time for `datetime-local` fields, in UTC.
pub fn date_time(at: WallMs) -> String {
    OffsetDateTime::from_unix_timestamp_nanos(i128::from(at.0) * 1_000_000)
        .ok()
        .and_then(|time| time.format(DATE_TIME).ok())
        .unwrap_or_default()
}

/// Parses a `datetime-local` field. Browsers omit seconds and milliseconds that are zero.
fn time_value(text: &str) -> Value {
    let parsed = || {
        let (date, time) = text.trim().split_once(['T', ' '])?;
        let date = Date::parse(date, DATE).ok()?;
        let (clock, millis) = time.split_once('.').unwrap_or((time, "0"));
        let mut parts = clock.split(':').map(|part| part.parse::<u8>().ok());
        let (hour, minute) = (parts.next()??, parts.next()??);
        let second = parts.next().unwrap_or(Some(0))?;
        let millis: u16 = format!("{millis:0<3}").get(..3)?.parse().ok()?;
        let time = Time::from_hms_milli(hour, minute, second, millis).ok()?;
        let time = PrimitiveDateTime::new(date, time).assume_utc();
        u64::try_from(time.unix_timestamp_nanos() / 1_000_000).ok()
    };
    parsed().map_or_else(|| text.into(), Value::from)
}
