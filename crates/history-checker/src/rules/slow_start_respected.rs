//! Rule 4: over any window, the load that all gateways together send to a warming worker stays within a multiple of its
//! current capacity, both by the work of the attempts and by their number. The rule applies to any number of gateways,
//! whether or not they were notified of the worker's start.

use crate::event::HistoryRecord;
use crate::rule_parameters::RuleParameters;
use crate::slow_start::{SlowStartWindow, slow_start_windows};
use crate::violation::Violation;
use std::collections::BTreeMap;

const RULE: u8 = 4;

/// Finds all violations of the rule: one for each time that a worker fails from overload.
pub(super) fn violations(records: &[HistoryRecord], parameters: &RuleParameters) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut overloaded_at: BTreeMap<usize, f64> = BTreeMap::new();
    slow_start_windows(records, parameters, |window| {
        if !window.is_overloaded() {
            return;
        }
        // A worker that failed stays failed until it restarts.
        let previous = overloaded_at.insert(window.worker, window.at);
        if previous.is_none_or(|previous| window.at - previous > parameters.warm_up) {
            violations.push(Violation { rule: RULE, at: window.at, what: description(&window) });
        }
    });
    violations
}

fn description(window: &SlowStartWindow) -> String {
    let SlowStartWindow { worker, attempts, work, max_work, max_attempts, .. } = window;
    format!(
        "worker {worker} was sent {work:.2} s of work while cold, for {max_work:.2}, in {attempts} calls, for \
         {max_attempts:.1}"
    )
}
