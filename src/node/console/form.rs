//! Fields of the console's forms, and the document that they stand for.

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

/// Rows for new versions that a form offers.
const SPARE_ROWS: usize = 2;
/// Form of dates in `datetime-local` fields; the milliseconds are those of the document.
const DATE_TIME: &[BorrowedFormatItem<'_>] =
    format_description!("[year]-[month]-[day]T[hour]:[minute]:[second].[subsecond digits:3]");
const DATE: &[BorrowedFormatItem<'_>] = format_description!("[year]-[month]-[day]");

/// Part of the document that a form edits.
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
    /// Returns the section with this path.
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/console/service" => Some(Self::Service),
            "/console/route" => Some(Self::Route),
            "/console/document" => Some(Self::Document),
            _ => None,
        }
    }

    /// Path of the form.
    pub fn path(self) -> &'static str {
        match self {
            Self::Service => "/console/service",
            Self::Route => "/console/route",
            Self::Document => "/console/document",
        }
    }
}

/// Fields of a form in their order; names may occur more than once.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// Decodes a body or a query.
    pub fn parse(encoded: &[u8]) -> Self {
        let pairs = url::form_urlencoded::parse(encoded);
        Self(
            pairs
                .map(|(k, v)| (k.into_owned(), v.into_owned()))
                .collect(),
        )
    }

    /// First value of a field, empty if there is none.
    pub fn get(&self, name: &str) -> &str {
        let found = self.0.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// All values of a field.
    pub fn all(&self, name: &str) -> Vec<&str> {
        let values = self.0.iter().filter(|(key, _)| key == name);
        values.map(|(_, value)| value.as_str()).collect()
    }

    /// Rows of versions with their shares, and empty ones for new versions.
    pub fn version_rows(&self) -> Vec<(&str, &str)> {
        let shares = self.all("share");
        let names = self.all("version").into_iter().enumerate();
        let mut rows: Vec<_> = names
            .map(|(i, name)| (name, shares.get(i).copied().unwrap_or_default()))
            .filter(|(name, share)| !name.is_empty() || !share.is_empty())
            .collect();
        rows.extend([("", ""); SPARE_ROWS]);
        rows
    }

    fn put(&mut self, name: &str, value: &impl ToString) {
        self.0.push((name.to_owned(), value.to_string()));
    }
}

/// Returns the fields of a form before anybody changed them.
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
            fields.put("document", &text);
            fields
        }
    }
}

fn service_fields(service: Option<&Service>) -> Fields {
    let mut fields = Fields::default();
    let Some(service) = service else {
        return fields;
    };
    fields.put("original", &service.name);
    fields.put("name", &service.name);
    fields.put("slots", &service.slots);
    fields.put("cold_start_ms", &service.cold_start_ms);
    for version in &service.versions {
        fields.put("version", &version.name);
        fields.put("share", &version.share);
    }
    if let Some(rollout) = &service.rollout {
        let steps: Vec<String> = rollout.steps.iter().map(u8::to_string).collect();
        fields.put("from", &rollout.from);
        fields.put("to", &rollout.to);
        fields.put("start", &date_time(rollout.start_ms));
        fields.put("finish_by", &date_time(rollout.finish_by_ms));
        fields.put("steps", &steps.join(", "));
        fields.put("hold_s", &rollout.hold_s);
        fields.put("min_calls", &rollout.min_calls);
    }
    fields
}

fn route_fields(route: Option<&Route>) -> Fields {
    let mut fields = Fields::default();
    let Some(route) = route else {
        return fields;
    };
    fields.put("original", &route.name);
    fields.put("name", &route.name);
    fields.put("host", &route.host);
    fields.put("methods", &route.methods.join(", "));
    fields.put("path_prefix", &route.path_prefix);
    fields.put("service", &route.service);
    if route.idempotent {
        fields.put("idempotent", &"yes");
    }
    fields.put("deadline_ms", &route.deadline_ms);
    fields.put("attempt_timeout_ms", &route.attempt_timeout_ms);
    fields
}

/// Returns the document in which the form's part replaces that of `document`.
///
/// # Errors
/// Every fault, by the same check as that of document files.
pub fn apply(
    section: Section,
    document: &Document,
    fields: &Fields,
    remove: bool,
) -> Result<Document, Vec<String>> {
    let text = match section {
        Section::Document => fields.get("document").to_owned(),
        Section::Service => replace(document, "services", fields, service_value, remove),
        Section::Route => replace(document, "routes", fields, route_value, remove),
    };
    parse_document(&text, "form").map_err(|failures| {
        let plain = |failure: &crate::result_code::Failure| {
            // The place in the text that the form was turned into says nothing to the operator.
            let text = match section {
                Section::Document => failure.text.as_str(),
                _ => failure.text.split_once(": ").map_or("", |(_, text)| text),
            };
            format!("{}: {text}", failure.code)
        };
        failures.iter().map(plain).collect()
    })
}

fn replace(
    document: &Document,
    list: &str,
    fields: &Fields,
    value: fn(&Fields) -> Value,
    remove: bool,
) -> String {
    let mut whole = serde_json::to_value(document).unwrap_or_default();
    let original = fields.get("original");
    if let Some(entries) = whole[list].as_array_mut() {
        let at = entries
            .iter()
            .position(|entry| !original.is_empty() && entry["name"] == original);
        match (at, remove) {
            (Some(at), true) => drop(entries.remove(at)),
            (Some(at), false) => entries[at] = value(fields),
            (None, true) => {}
            (None, false) => entries.push(value(fields)),
        }
    }
    whole.to_string()
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
    put_number(&mut service, fields, "slots");
    put_number(&mut service, fields, "cold_start_ms");
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
        put_number(&mut rollout, fields, "hold_s");
        put_number(&mut rollout, fields, "min_calls");
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
    put_number(&mut route, fields, "deadline_ms");
    put_number(&mut route, fields, "attempt_timeout_ms");
    route.into()
}

/// An empty field means the default.
fn put_number(object: &mut Map<String, Value>, fields: &Fields, name: &str) {
    let text = fields.get(name).trim();
    if !text.is_empty() {
        object.insert(name.to_owned(), number(text));
    }
}

/// A text that is no number stays a text, which the check of the document then reports.
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

/// Shows a time in the form of `datetime-local` fields, UTC.
pub fn date_time(at: WallMs) -> String {
    OffsetDateTime::from_unix_timestamp_nanos(i128::from(at.0) * 1_000_000)
        .ok()
        .and_then(|time| time.format(DATE_TIME).ok())
        .unwrap_or_default()
}

/// Browsers leave out seconds and milliseconds that are zero.
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
