//! Compares two profiles field by field.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

/// A field that differs between two profiles. A value is `None` when its profile lacks the field.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Path of the field, with list entries named in brackets, such as `routes[pages].timeout_ms`.
    pub field: String,
    /// Value in the first profile.
    pub left: Option<Value>,
    /// Value in the second profile.
    pub right: Option<Value>,
}

impl std::fmt::Display for Difference {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let show = |side: &Option<Value>| {
            side.as_ref()
                .map_or_else(|| "(absent)".to_owned(), Value::to_string)
        };
        write!(
            formatter,
            "{}: {} -> {}",
            self.field,
            show(&self.left),
            show(&self.right)
        )
    }
}

type FieldMap = BTreeMap<String, Value>;

/// Compares the canonical JSON of two profiles; `None` stands for a profile without content, as
/// after a withdrawal. The result is empty exactly when both texts are equal.
///
/// Entries of `clusters` and `routes` are matched by name, so that an inserted route does not make
/// every later route differ. A change of their order is reported as a separate difference, because
/// routes are matched in order.
///
/// # Errors
///
/// Returns an error when either text is not valid JSON.
pub fn content_differences(
    left: Option<&str>,
    right: Option<&str>,
) -> serde_json::Result<Vec<Difference>> {
    let left = read_fields(left)?;
    let right = read_fields(right)?;
    let keys = left
        .keys()
        .chain(right.keys().filter(|key| !left.contains_key(*key)));
    let mut differences: Vec<Difference> = keys
        .filter(|key| left.get(*key) != right.get(*key))
        .map(|key| Difference {
            field: key.clone(),
            left: left.get(key).cloned(),
            right: right.get(key).cloned(),
        })
        .collect();
    differences.sort_by(|one, other| one.field.cmp(&other.field));
    Ok(differences)
}

fn read_fields(text: Option<&str>) -> serde_json::Result<FieldMap> {
    let mut fields = FieldMap::new();
    if let Some(text) = text {
        flatten("", &serde_json::from_str(text)?, &mut fields);
    }
    Ok(fields)
}

fn flatten(path: &str, value: &Value, fields: &mut FieldMap) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                flatten(&join(path, name), member, fields);
            }
        }
        Value::Array(items) => flatten_list(path, items, fields),
        Value::Null => {}
        leaf => {
            fields.insert(path.to_owned(), leaf.clone());
        }
    }
}

/// Flattens a list of named objects into the fields of its entries and one field with the order of
/// their names. An empty list and a list with unnamed entries become a single field.
fn flatten_list(path: &str, items: &[Value], fields: &mut FieldMap) {
    let names: Vec<&str> = items
        .iter()
        .filter_map(|item| item.get("name")?.as_str())
        .collect();
    if names.len() < items.len() || items.is_empty() {
        fields.insert(path.to_owned(), Value::from(items));
        return;
    }
    for (name, item) in names.iter().zip(items) {
        flatten(&format!("{path}[{name}]"), item, fields);
    }
    fields.insert(path.to_owned(), Value::from(names));
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}
