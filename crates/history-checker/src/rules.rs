//! The five rules. Each is a file, named for what it guarantees; each walks the history once, with tables that hold no
//! more than the history does.

mod answered_once;
mod drain_respected;
mod executed_once;
mod load_requests_limited;
mod slow_start_respected;

use crate::event::HistoryRecord;
use crate::rule_parameters::RuleParameters;
use crate::violation::Violation;

/// All violations of the rules, in the order of time. Records are in the order of time.
pub fn check(records: &[HistoryRecord], parameters: &RuleParameters) -> Vec<Violation> {
    let mut violations = answered_once::violations(records, parameters);
    violations.extend(executed_once::violations(records));
    violations.extend(drain_respected::violations(records, parameters));
    violations.extend(slow_start_respected::violations(records, parameters));
    violations.extend(load_requests_limited::violations(records, parameters));
    violations.sort_by(|a, b| a.at.total_cmp(&b.at));
    violations
}
