//! The shape of a JSON document: which fields it has at which depth, whatever their values are.

use serde_json::Value;
use std::collections::BTreeSet;

/// The paths of all fields of a document; the elements of an array share one path, `[]`.
pub fn field_paths(document: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    collect(document, "", &mut paths);
    paths
}

fn collect(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = format!("{path}.{name}");
                collect(field, &path, paths);
                paths.insert(path);
            }
        }
        Value::Array(elements) => {
            elements.iter().for_each(|element| collect(element, &format!("{path}[]"), paths));
        }
        _ => {}
    }
}
