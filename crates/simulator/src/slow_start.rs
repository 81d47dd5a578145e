//! The load that all gateways together send to warming workers in a history: the attempts within any overload window,
//! relative to the worker's limits.

use crate::report::CHECKER_TOLERANCE;
use milletpath_emulator::scenario;
use milletpath_emulator::scenario_file::Scenario;
use milletpath_history_checker::{self as history_checker, HistoryRecord, SlowStartWindow};

/// The fullest slow-start windows of a history.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartReport {
    /// The most attempts of a window, as a fraction of the number N that the settings allow.
    pub budget_fraction: f64,
    /// The most attempts of a window, as a fraction of N + 2 √N + 2.
    pub bound_fraction: f64,
    /// Attempts that warming workers received.
    pub attempts: u64,
}

/// Measures the load of warming workers in the history of a scenario.
pub fn slow_start_report(scenario: &Scenario, records: &[HistoryRecord]) -> SlowStartReport {
    let mut report = SlowStartReport::default();
    history_checker::slow_start_windows(
        records,
        &scenario::rule_parameters(scenario, CHECKER_TOLERANCE),
        |window: SlowStartWindow| {
            let budget = window.budget / scenario.traffic.work;
            let attempts = window.attempts as f64;
            report.attempts += 1;
            report.budget_fraction = report.budget_fraction.max(attempts / budget);
            report.bound_fraction =
                report.bound_fraction.max(attempts / (budget + 2.0 * budget.sqrt() + 2.0));
        },
    );
    report
}
