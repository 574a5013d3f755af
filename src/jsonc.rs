//! Parser and checker for JSON with comments that reports every failure with its position.
//!
//! Documents and settings files share this code, so their messages have one form: file, line, column,
//! field, what was found and what is allowed.

use std::fmt::Write as _;
use std::net::SocketAddr;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;

use crate::result_code::Failure;
use crate::result_code::ResultCode;

/// Maximum number of failures reported for one text; bounds the report on hostile input.
pub const MAX_FAILURES: usize = 200;
/// Longest unknown field name that is shown in a path.
const MAX_SHOWN_NAME_BYTES: usize = 63;

/// A parsed text.
pub struct Source<'a> {
    text: &'a str,
    file: &'a str,
    lines: LineIndex,
    root: Value<'a>,
}

impl<'a> Source<'a> {
    /// Parses JSON with comments and trailing commas; failures begin with the name `file`.
    ///
    /// # Errors
    /// [`ResultCode::LimitExceeded`] if the text has more than `max_bytes`, otherwise
    /// [`ResultCode::SyntaxError`] with the position.
    pub fn parse(text: &'a str, file: &'a str, max_bytes: usize) -> Result<Self, Vec<Failure>> {
        if text.len() > max_bytes {
            let what = format!(
                "{file}: found {} bytes, allowed are at most {max_bytes}",
                text.len()
            );
            return Err(vec![Failure::new(ResultCode::LimitExceeded, what)]);
        }
        let lines = LineIndex::new(text);
        let options = ParseOptions {
            allow_comments: true,
            allow_trailing_commas: true,
            allow_loose_object_property_names: false,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            allow_hexadecimal_numbers: false,
            allow_unary_plus_numbers: false,
            allow_bare_decimal_point_numbers: false,
            allow_non_finite_numbers: false,
            allow_extended_string_escapes: false,
        };
        let root = match jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options) {
            Ok(parsed) => parsed.value,
            Err(e) => {
                let position = lines.position(text, e.range().start);
                let what = format!(
                    "{file}:{position}: {}; allowed is JSON with comments and trailing commas",
                    e.kind()
                );
                return Err(vec![Failure::new(ResultCode::SyntaxError, what)]);
            }
        };
        let Some(root) = root else {
            let what = format!("{file}:1:1: found no value, allowed is an object");
            return Err(vec![Failure::new(ResultCode::SyntaxError, what)]);
        };
        Ok(Self {
            text,
            file,
            lines,
            root,
        })
    }

    /// Checks the fields and their types.
    ///
    /// # Errors
    /// The first [`MAX_FAILURES`] failures, and the number of the others.
    pub fn check(&self, schema: &Schema) -> Result<(), Vec<Failure>> {
        let mut findings = Findings::default();
        check_value(&self.root, schema, "", &mut findings);
        if findings.is_empty() {
            Ok(())
        } else {
            Err(self.failures(findings))
        }
    }

    /// Deserialises the text.
    ///
    /// # Errors
    /// The first failure.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, Vec<Failure>> {
        let value = serde_json::Value::from(self.root.clone());
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path = e.path().to_string();
            let what = format!("{}{path}: {}", self.prefix(&path), e.into_inner());
            vec![Failure::new(ResultCode::InvalidField, what)]
        })
    }

    /// Converts findings to failures with their positions in the text.
    #[must_use]
    pub fn failures(&self, findings: Findings) -> Vec<Failure> {
        findings.into_failures(|path| self.prefix(path))
    }

    fn prefix(&self, path: &str) -> String {
        let position = self.lines.position(self.text, offset_of(&self.root, path));
        format!("{}:{position}: ", self.file)
    }
}

/// A failure whose position in the text is not resolved yet.
struct Finding {
    code: ResultCode,
    path: String,
    text: String,
}

/// Failures of one text, in the order in which they were found.
#[derive(Default)]
pub struct Findings {
    list: Vec<Finding>,
    omitted: usize,
}

impl Findings {
    /// Adds a failure at the field `path`; an empty path means the whole text.
    pub fn add(&mut self, code: ResultCode, path: impl Into<String>, text: impl Into<String>) {
        if self.list.len() >= MAX_FAILURES {
            self.omitted += 1;
            return;
        }
        self.list.push(Finding {
            code,
            path: path.into(),
            text: text.into(),
        });
    }

    /// Whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Converts the findings to failures that begin with what `prefix` returns for their path.
    pub fn into_failures(self, prefix: impl Fn(&str) -> String) -> Vec<Failure> {
        let mut failures: Vec<Failure> = self
            .list
            .iter()
            .map(|finding| {
                let mut text = prefix(&finding.path);
                if !finding.path.is_empty() {
                    let _ = write!(text, "{}: ", finding.path);
                }
                Failure::new(finding.code, text + &finding.text)
            })
            .collect();
        if self.omitted > 0 {
            let text = format!(
                "{}{} more failures are not listed",
                prefix(""),
                self.omitted
            );
            failures.push(Failure::new(ResultCode::LimitExceeded, text));
        }
        failures
    }
}

/// Allowed type and range of a value.
pub enum Schema {
    /// Any string.
    String,
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// IP address with port.
    Address,
    /// `true` or `false`.
    Bool,
    /// Integer from zero to this maximum.
    Integer(u64),
    /// Non-negative number, with or without a fraction.
    Number,
    /// List whose elements match this schema.
    List(&'static Schema),
    /// Object with these fields.
    Object(&'static [Field]),
}

/// A field of an object.
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Whether the field must be present.
    pub required: bool,
    /// Allowed values of the field.
    pub schema: Schema,
}

/// Creates a field that must be present.
#[must_use]
pub const fn required(name: &'static str, schema: Schema) -> Field {
    Field {
        name,
        required: true,
        schema,
    }
}

/// Creates a field that may be absent.
#[must_use]
pub const fn optional(name: &'static str, schema: Schema) -> Field {
    Field {
        name,
        required: false,
        schema,
    }
}

/// Unsigned integer of 8 bits.
pub const U8: Schema = Schema::Integer(u8::MAX as u64);
/// Unsigned integer of 32 bits.
pub const U32: Schema = Schema::Integer(u32::MAX as u64);
/// Unsigned integer of 64 bits.
pub const U64: Schema = Schema::Integer(u64::MAX);

/// Offsets at which the lines start.
struct LineIndex(Vec<usize>);

impl LineIndex {
    fn new(text: &str) -> Self {
        let starts = text.match_indices('\n').map(|(at, _)| at + 1);
        Self(std::iter::once(0).chain(starts).collect())
    }

    /// Returns `line:column`, both counted from 1, the column in characters.
    fn position(&self, text: &str, offset: usize) -> String {
        let line = self.0.partition_point(|&start| start <= offset);
        let start = self.0[line - 1];
        let column = text[start..offset].chars().count() + 1;
        format!("{line}:{column}")
    }
}

/// Returns the offset of the value at `path`, or of the innermost enclosing value if the text does not
/// contain it.
fn offset_of(root: &Value<'_>, path: &str) -> usize {
    let mut value = root;
    for part in path.split(['.', '[']).filter(|part| !part.is_empty()) {
        let next = match (value, part.strip_suffix(']')) {
            (Value::Array(array), Some(index)) => index
                .parse()
                .ok()
                .and_then(|index: usize| array.elements.get(index)),
            (Value::Object(object), None) => object.get(part).map(|property| &property.value),
            _ => None,
        };
        match next {
            Some(next) => value = next,
            None => break,
        }
    }
    value.start()
}

/// Appends a field name to a path.
#[must_use]
pub fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Quotes text of a file for a message, and shortens it, since it may have any length.
#[must_use]
pub fn quote(text: &str) -> String {
    const MAX_SHOWN_CHARS: usize = 80;
    let shown: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    let rest = if shown.len() < text.len() { "..." } else { "" };
    format!("{shown:?}{rest}")
}

fn describe(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => format!("the string {}", quote(&text.value)),
        Value::NumberLit(number) => format!("the number {}", quote(number.value).trim_matches('"')),
        Value::BooleanLit(boolean) => boolean.value.to_string(),
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::NullKeyword(_) => "null".to_owned(),
    }
}

fn check_value(value: &Value<'_>, schema: &Schema, path: &str, findings: &mut Findings) {
    let allowed = match (schema, value) {
        (Schema::String, Value::StringLit(_)) | (Schema::Bool, Value::BooleanLit(_)) => return,
        (Schema::OneOf(texts), Value::StringLit(text)) if texts.contains(&text.value.as_ref()) => {
            return;
        }
        (Schema::Address, Value::StringLit(text)) if text.value.parse::<SocketAddr>().is_ok() => {
            return;
        }
        (Schema::Integer(max), Value::NumberLit(number))
            if number.value.parse::<u64>().is_ok_and(|n| n <= *max) =>
        {
            return;
        }
        (Schema::Number, Value::NumberLit(number))
            if number
                .value
                .parse::<f64>()
                .is_ok_and(|n| n.is_finite() && n >= 0.0) =>
        {
            return;
        }
        (Schema::List(schema), Value::Array(array)) => {
            for (index, element) in array.elements.iter().enumerate() {
                check_value(element, schema, &format!("{path}[{index}]"), findings);
            }
            return;
        }
        (Schema::Object(fields), Value::Object(object)) => {
            check_fields(object, fields, path, findings);
            return;
        }
        (Schema::String, _) => "a string".to_owned(),
        (Schema::OneOf(texts), _) => format!("one of {}", texts.join(", ")),
        (Schema::Address, _) => "an IP address with port such as 192.0.2.1:7401".to_owned(),
        (Schema::Bool, _) => "true or false".to_owned(),
        (Schema::Integer(max), _) => format!("a whole number from 0 to {max}"),
        (Schema::Number, _) => "a number that is at least 0".to_owned(),
        (Schema::List(_), _) => "a list".to_owned(),
        (Schema::Object(_), _) => "an object".to_owned(),
    };
    let text = format!("found {}, allowed is {allowed}", describe(value));
    findings.add(ResultCode::InvalidField, path, text);
}

fn check_fields(
    object: &jsonc_parser::ast::Object<'_>,
    fields: &[Field],
    path: &str,
    findings: &mut Findings,
) {
    let allowed = || {
        let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
        names.join(", ")
    };
    let mut seen: Vec<&str> = Vec::new();
    for property in &object.properties {
        let name = property.name.as_str();
        let Some(field) = fields.iter().find(|field| field.name == name) else {
            let text = format!(
                "found the unknown field {}, allowed are: {}",
                quote(name),
                allowed()
            );
            // A name with a separator makes the path ambiguous.
            let shown = name.len() <= MAX_SHOWN_NAME_BYTES && !name.contains(['.', '[', ']']);
            let path = if shown {
                join_path(path, name)
            } else {
                path.to_owned()
            };
            findings.add(ResultCode::UnknownField, path, text);
            continue;
        };
        let path = join_path(path, name);
        if seen.contains(&name) {
            let text = "found the field more than once in one object, first at this position; allowed is once";
            findings.add(ResultCode::DuplicateName, path.as_str(), text);
        }
        seen.push(name);
        check_value(&property.value, &field.schema, &path, findings);
    }
    for field in fields.iter().filter(|field| field.required) {
        if !seen.contains(&field.name) {
            let text = format!(
                "the field is missing; required are: {}",
                required_names(fields)
            );
            findings.add(ResultCode::InvalidField, join_path(path, field.name), text);
        }
    }
}

fn required_names(fields: &[Field]) -> String {
    let names: Vec<&str> = fields
        .iter()
        .filter(|field| field.required)
        .map(|field| field.name)
        .collect();
    names.join(", ")
}
