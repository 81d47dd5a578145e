//! Entries that a gateway keeps: functions, gateways and workers.

use super::GatewayCalls;
use crate::assumptions::Assumptions;
use crate::quantity::{Quantity, Resource, Role};

/// Capacity of a gateway's worker table.
const MAX_WORKERS: f64 = 65_536.0;

pub(super) fn quantities(assumptions: &Assumptions) -> Vec<Quantity> {
    let (gateways, workers) = (assumptions.target.gateways, assumptions.workers());
    let known_functions = GatewayCalls::at_target(assumptions).known_functions();
    vec![
        Quantity::calculated(
            Role::Gateway,
            Resource::State,
            "functions known at a time",
            "evicted once idle (`policy::function_state`)",
            "functions",
            move |_| known_functions,
        ),
        Quantity::calculated(
            Role::Gateway,
            Resource::State,
            "gateways known",
            "full membership view (`membership::view`)",
            "members",
            move |size| gateways * size,
        ),
        Quantity::calculated(
            Role::Gateway,
            Resource::State,
            "workers known",
            "worker table, all workers of all regions (`dispatcher::worker_table`)",
            "workers",
            move |size| workers * size,
        )
        .with_limit(MAX_WORKERS),
    ]
}
