//! Rule 4: what all gateways together send a warming worker stays, over any window, within the multiple of its capacity at
//! that moment, both by the work of the attempts and by their number. It binds however few or many gateways there are, and
//! whether or not they had been notified of the start.

use crate::event::HistoryRecord;
use crate::rule_parameters::RuleParameters;
use crate::slow_start::{SlowStartWindow, slow_start_windows};
use crate::violation::Violation;
use std::collections::BTreeMap;

const RULE: u8 = 4;

/// All violations of the rule: one for each time that a worker fails from overload.
pub(super) fn violations(records: &[HistoryRecord], parameters: &RuleParameters) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut overloaded_at: BTreeMap<usize, f64> = BTreeMap::new();
    slow_start_windows(records, parameters, |window| {
        if !window.is_overloaded() {
            return;
        }
        // A worker that has failed stays so until it restarts.
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
