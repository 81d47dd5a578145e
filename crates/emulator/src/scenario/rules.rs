//! Parameters for checking a scenario's history and for counting its service.

use crate::scenario_file::Scenario;
use milletpath_history_checker::{RuleParameters, ServiceWeights, SharedBudgetBounds};

/// The parameters of the rules; `tolerance` is the number of seconds by which emulated components may be late.
#[must_use]
pub fn rule_parameters(scenario: &Scenario, tolerance: f64) -> RuleParameters {
    let Scenario { rules, worker_spec: worker, .. } = scenario;
    RuleParameters {
        drain_grace: rules.drain_grace,
        initial_capacity: worker.initial_capacity,
        warm_up: worker.warm_up,
        overload_multiple: worker.overload_multiple,
        overload_window: worker.overload_window,
        // With membership, this limit applies to the whole fleet and is one of the shared budget bounds.
        load_rate_limit: rules.load_rate_limit.filter(|_| !scenario.sharing),
        tolerance,
    }
}

/// The weights of calls in the service counts.
#[must_use]
pub fn service_weights(scenario: &Scenario) -> ServiceWeights {
    ServiceWeights {
        late: scenario.rules.late_weight,
        quotas: scenario.groups.iter().map(|group| group.quota).collect(),
        over_quota: scenario.rules.over_quota_weight,
    }
}

/// The bounds on budgets that gateways share.
#[must_use]
pub fn shared_budget_bounds(scenario: &Scenario, tolerance: f64) -> SharedBudgetBounds {
    SharedBudgetBounds {
        gateways: scenario.gateways,
        load_rate_limit: scenario.rules.load_rate_limit,
        retry_limit: scenario.rules.retries,
        rate_ceilings: scenario.groups.iter().map(|group| group.ceiling).collect(),
        in_flight: scenario.rules.in_flight,
        rules: rule_parameters(scenario, tolerance),
    }
}
