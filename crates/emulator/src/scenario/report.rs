//! The results of a scenario run.

use super::RunOptions;
use super::{rule_parameters, service_weights, shared_budget_bounds};
use crate::context::EmulatorContext;
use crate::scenario_file::Scenario;
use milletpath_history_checker::{
    self as history_checker, BoundReport, HistoryRecord, MembershipObservations, ServiceCounts, Violation,
};
use std::collections::BTreeMap;

/// The results of a scenario run.
pub struct ScenarioReport {
    /// The recorded history, in order of time.
    pub records: Vec<HistoryRecord>,
    /// Violations of the rules.
    pub violations: Vec<Violation>,
    /// Service counts of all calls.
    pub counts: ServiceCounts,
    /// Service counts of the calls under each fault, by the fault's number.
    pub by_fault: BTreeMap<usize, ServiceCounts>,
    /// The number of fetches from the store.
    pub fetches: u64,
    /// The number of fetches that the store rejected.
    pub rejected_fetches: u64,
    /// The fraction of the completed requests that found a loaded instance.
    pub warm_fraction: f64,
    /// The checked bounds on shared budgets, by name; empty without membership.
    pub bounds: BTreeMap<&'static str, BoundReport>,
    /// Observations of the membership protocol; `None` without membership.
    pub membership: Option<MembershipObservations>,
}

impl ScenarioReport {
    /// Checks the history against the rules and counts the service.
    pub(super) fn new(
        scenario: &Scenario,
        options: &RunOptions<'_>,
        context: &EmulatorContext,
        records: Vec<HistoryRecord>,
    ) -> Self {
        let service = history_checker::count_service(&records, &service_weights(scenario));
        let violations = history_checker::check(&records, &rule_parameters(scenario, options.tolerance));
        let (mut bounds, mut membership) = (BTreeMap::new(), None);
        if scenario.sharing {
            let allowed = shared_budget_bounds(scenario, options.tolerance);
            bounds = history_checker::bounds(&records, &allowed);
            membership = Some(history_checker::membership_observations(&records, scenario.gateways));
        }
        let store = context.store.borrow();
        Self {
            violations,
            counts: service.all,
            by_fault: service.by_fault,
            fetches: store.fetches,
            rejected_fetches: store.rejected_fetches,
            warm_fraction: context.warm_requests.get().fraction(),
            bounds,
            membership,
            records,
        }
    }

    /// Whether no rule and no bound was violated.
    #[must_use]
    pub fn rules_kept(&self) -> bool {
        self.violations.is_empty() && self.bounds.values().all(|bound| bound.violations == 0)
    }
}
