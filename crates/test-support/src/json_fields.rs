//! The structure of a JSON document: the paths of its fields, regardless of their values.

use serde_json::Value;
use std::collections::BTreeSet;

/// Returns the paths of all fields of a document, such as `.control[].view`. The elements of an array share the path
/// segment `[]`.
pub fn field_paths(document: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    collect_paths(document, "", &mut paths);
    paths
}

fn collect_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = format!("{path}.{name}");
                collect_paths(field, &path, paths);
                paths.insert(path);
            }
        }
        Value::Array(elements) => {
            elements.iter().for_each(|element| collect_paths(element, &format!("{path}[]"), paths));
        }
        _ => {}
    }
}
