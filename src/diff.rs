//! Differences between two configuration documents, shown to operators before they publish.

use std::fmt;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::protocol::document::Document;

/// Maximum length of a value in a line, characters; a whole service would fill the screen.
const MAX_VALUE_CHARS: usize = 160;

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Path in the document; it identifies list entries by their name, not by their index.
    pub path: String,
    /// Value in the old document, `None` if the new one adds it.
    pub old: Option<Value>,
    /// Value in the new document, `None` if it was removed.
    pub new: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.old, &self.new) {
            (None, Some(new)) => write!(f, "+ {path}: {}", format_value(new)),
            (Some(old), None) => write!(f, "- {path}: {}", format_value(old)),
            (Some(old), Some(new)) => write!(
                f,
                "~ {path}: {} -> {}",
                format_value(old),
                format_value(new)
            ),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// Formats a value, truncated to [`MAX_VALUE_CHARS`].
fn format_value(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{start}...")
}

/// Returns the changes from `old` to `new`. The order of services, routes and versions is ignored, since it
/// has no effect.
#[must_use]
pub fn changes(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    let value = |document| serde_json::to_value(document).unwrap_or_default();
    compare("", &value(old), &value(new), &mut changes);
    changes
}

fn compare(path: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            compare_fields(old, new, |key| join(path, key), changes);
        }
        (Value::Array(a), Value::Array(b))
            if let (Some(a), Some(b)) = (index_by_name(a), index_by_name(b)) =>
        {
            compare_fields(&a, &b, |key| format!("{path}[{key}]"), changes);
        }
        _ if old == new => {}
        _ => changes.push(Change {
            path: path.to_owned(),
            old: Some(old.clone()),
            new: Some(new.clone()),
        }),
    }
}

fn compare_fields(
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    path: impl Fn(&str) -> String,
    changes: &mut Vec<Change>,
) {
    for (key, before) in old {
        match new.get(key) {
            Some(after) => compare(&path(key), before, after, changes),
            None => changes.push(Change {
                path: path(key),
                old: Some(before.clone()),
                new: None,
            }),
        }
    }
    for (key, after) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        changes.push(Change {
            path: path(key),
            old: None,
            new: Some(after.clone()),
        });
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

/// Returns the entries of a list by name, or `None` if an entry has no name.
fn index_by_name(list: &[Value]) -> Option<Map<String, Value>> {
    list.iter()
        .map(|entry| Some((entry.get("name")?.as_str()?.to_owned(), entry.clone())))
        .collect()
}
