//! The load that all gateways together send to warming workers, by work and by number of attempts: rule 4 as bounds.

use super::BoundReport;
use crate::event::HistoryRecord;
use crate::rule_parameters::RuleParameters;
use crate::slow_start::slow_start_windows;

/// Checks the work and the number of attempts sent to each warming worker.
pub(super) fn bounds(records: &[HistoryRecord], parameters: &RuleParameters) -> (BoundReport, BoundReport) {
    let (mut by_work, mut by_number) = (BoundReport::default(), BoundReport::default());
    slow_start_windows(records, parameters, |window| {
        let (worker, attempts) = (window.worker, window.attempts);
        let (work, max_work, max_attempts) = (window.work, window.max_work, window.max_attempts);
        by_work.compare(window.at, work, max_work, || {
            format!("worker {worker} was sent {work:.2} s of work, at most {max_work:.2} allowed")
        });
        by_number.compare(window.at, attempts as f64, max_attempts, || {
            format!("worker {worker} was sent {attempts} attempts, at most {max_attempts:.1} allowed")
        });
    });
    (by_work, by_number)
}
