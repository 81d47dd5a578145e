//! What all gateways together send cold workers, read off a day's records: in any window of the stated length, against
//! the calls of mean work that the worker may be sent in it, and what is put down to chance beyond them.

use crate::simulation::CHECKER_TOLERANCE;
use milletpath_emulator::scenario;
use milletpath_emulator::scenario_file::Scenario;
use milletpath_history_checker::{self as witness, HistoryRecord, SlowStartWindow};

/// The fullest windows of a day.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartReport {
    /// The calls of one window, as a part of its budget of N; and as a part of N + 2 x root of N + 2.
    pub of_budget: f64,
    pub of_bound: f64,
    /// Calls that came to cold workers.
    pub calls: u64,
}

pub fn slow_start_report(scenario: &Scenario, records: &[HistoryRecord]) -> SlowStartReport {
    let mut worst = SlowStartReport::default();
    witness::slow_start_windows(
        records,
        &scenario::rule_parameters(scenario, CHECKER_TOLERANCE),
        |SlowStartWindow { attempts, budget, .. }| {
            let (calls, budget) = (attempts as f64, budget / scenario.traffic.work);
            worst.calls += 1;
            worst.of_budget = worst.of_budget.max(calls / budget);
            worst.of_bound = worst.of_bound.max(calls / (budget + 2.0 * budget.sqrt() + 2.0));
        },
    );
    worst
}
