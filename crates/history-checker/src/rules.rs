//! The five rules. Each has a file named after its guarantee, and each makes a single pass over the history with memory at
//! most linear in its length.

mod answered_once;
mod drain_respected;
mod executed_once;
mod load_requests_limited;
mod slow_start_respected;

use crate::event::HistoryRecord;
use crate::rule_parameters::RuleParameters;
use crate::violation::Violation;

/// Finds all violations of the rules, in chronological order. `records` must be in chronological order.
pub fn check(records: &[HistoryRecord], parameters: &RuleParameters) -> Vec<Violation> {
    let mut violations = answered_once::violations(records, parameters);
    violations.extend(executed_once::violations(records));
    violations.extend(drain_respected::violations(records, parameters));
    violations.extend(slow_start_respected::violations(records, parameters));
    violations.extend(load_requests_limited::violations(records, parameters));
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    violations
}
