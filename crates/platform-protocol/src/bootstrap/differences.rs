//! Where two JSON values differ.

use serde_json::Value;
use std::collections::BTreeSet;

/// Differences that are listed at most; more would not help a reader.
const MAX_DIFFERENCES: usize = 16;

/// The paths at which two values differ, their keys separated by dots, each as deep as both are objects.
pub fn differences(one: &Value, other: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    collect("", one, other, &mut paths);
    paths
}

fn collect(path: &str, one: &Value, other: &Value, paths: &mut Vec<String>) {
    match (one, other) {
        _ if paths.len() >= MAX_DIFFERENCES => {}
        (Value::Object(a), Value::Object(b)) => {
            let keys: BTreeSet<_> = a.keys().chain(b.keys()).collect();
            for key in keys {
                let deeper = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                collect(&deeper, &one[key.as_str()], &other[key.as_str()], paths);
            }
        }
        _ if one != other => paths.push(path.to_owned()),
        _ => {}
    }
}
