//! Differences between two configuration documents, as operators read them before they publish.

use std::fmt;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::protocol::document::Document;

/// Longest value that a line shows, characters; a whole service would fill the screen.
const SHOWN_CHARS: usize = 160;

/// One difference.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Place in the document; entries of lists are named by their name, not their position.
    pub path: String,
    /// Value in the old document, absent if the new one adds it.
    pub old: Option<Value>,
    /// Value in the new document, absent if it was removed.
    pub new: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match (&self.old, &self.new) {
            (None, Some(new)) => write!(f, "+ {path}: {}", shown(new)),
            (Some(old), None) => write!(f, "- {path}: {}", shown(old)),
            (Some(old), Some(new)) => write!(f, "~ {path}: {} -> {}", shown(old), shown(new)),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

fn shown(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= SHOWN_CHARS {
        return text;
    }
    let start: String = text.chars().take(SHOWN_CHARS).collect();
    format!("{start}...")
}

/// Returns what leads from `old` to `new`. The order of services, routes and versions is ignored,
/// since it has no effect.
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
        (Value::Array(a), Value::Array(b)) if let (Some(a), Some(b)) = (by_name(a), by_name(b)) => {
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

/// Returns the entries of a list by their names, or `None` if they have none.
fn by_name(list: &[Value]) -> Option<Map<String, Value>> {
    list.iter()
        .map(|entry| Some((entry.get("name")?.as_str()?.to_owned(), entry.clone())))
        .collect()
}
