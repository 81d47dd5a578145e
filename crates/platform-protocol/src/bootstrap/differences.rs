//! Compares two JSON values.

use serde_json::Value;
use std::collections::BTreeSet;

/// Maximum number of differences that are listed; a longer list would not help the reader of a log line.
const MAX_DIFFERENCES: usize = 16;

/// Returns the paths at which two values differ, with keys separated by dots. The comparison descends as long as both
/// sides are objects; arrays are compared as a whole.
pub fn differences(left: &Value, right: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    collect("", left, right, &mut paths);
    paths
}

fn collect(path: &str, left: &Value, right: &Value, paths: &mut Vec<String>) {
    match (left, right) {
        _ if paths.len() >= MAX_DIFFERENCES => {}
        (Value::Object(a), Value::Object(b)) => {
            let keys: BTreeSet<_> = a.keys().chain(b.keys()).collect();
            for key in keys {
                let nested_path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                collect(&nested_path, &left[key.as_str()], &right[key.as_str()], paths);
            }
        }
        _ if left != right => paths.push(path.to_owned()),
        _ => {}
    }
}
