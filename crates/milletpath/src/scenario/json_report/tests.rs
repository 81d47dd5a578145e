//! JSON fields that the report of a run without violations lacks.

use super::*;
use serde_json::json;

#[test]
fn a_violation_has_rule_time_and_text() {
    let violation = RuleViolation { rule: 3, at: 1.5, what: "a request ran twice" };
    assert_eq!(json!(violation), json!({"rule": 3, "at": 1.5, "what": "a request ran twice"}));
}
