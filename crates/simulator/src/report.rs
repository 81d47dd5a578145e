//! The report of a simulated scenario.

use crate::budget_links::BudgetLinks;
use crate::context::Context;
use crate::gateways::Gateways;
use crate::workers::Workers;
use milletpath_dispatcher::dispatcher::Counters;
use milletpath_emulator::scenario;
use milletpath_history_checker::{self as history_checker, HistoryRecord, ServiceCounts, Violation};

/// Tolerance of the rules for late observations, in seconds; it exceeds the network delay of any message.
pub(crate) const CHECKER_TOLERANCE: f64 = 0.01;

/// The history of a simulated scenario, the checker's findings, and the resources used.
pub struct SimulationReport {
    /// The history, in chronological order.
    pub records: Vec<HistoryRecord>,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// Service of all calls.
    pub counts: ServiceCounts,
    /// Fetches that the store accepted.
    pub fetches: u64,
    /// Fetches that the store rejected.
    pub rejected_fetches: u64,
    /// The fraction of completed jobs that found an instance loaded.
    pub warm_fraction: f64,
    /// Attempts, load requests and health checks of all gateways.
    pub counters: Counters,
    /// Mean bytes per second that a gateway sent to others about shared budgets.
    pub bytes_per_second: f64,
}

impl SimulationReport {
    /// Checks the history of a simulation that lasted for `seconds`, and builds the report.
    pub(crate) fn new(
        context: Context,
        gateways: &Gateways,
        workers: &Workers,
        links: Option<&BudgetLinks>,
        seconds: f64,
    ) -> Self {
        let Context { scenario, records, .. } = context;
        let bytes = links.map_or(0.0, BudgetLinks::bytes_sent);
        Self {
            violations: history_checker::check(
                &records,
                &scenario::rule_parameters(&scenario, CHECKER_TOLERANCE),
            ),
            counts: history_checker::count_service(&records, &scenario::service_weights(&scenario)).all,
            fetches: workers.store.fetches,
            rejected_fetches: workers.store.rejected_fetches,
            warm_fraction: workers.warm_fraction(),
            counters: gateways.counters(),
            bytes_per_second: bytes / seconds / scenario.gateways as f64,
            records,
        }
    }
}
