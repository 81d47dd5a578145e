//! Quantities of a worker: connections, health checks and load requests from all gateways.

use crate::assumptions::{Assumptions, Parameter};
use crate::quantity::{Quantity, Resource, Role, RunInput};

/// Seconds for which a gateway keeps an idle connection to a worker. Same as the default of its configuration.
const CONNECTION_IDLE_SECONDS: f64 = 30.0;

pub(super) fn quantities(assumptions: &Assumptions) -> Vec<Quantity> {
    let workers = assumptions.workers();
    let calls_per_worker = assumptions.target.calls_per_second / workers;
    let per_call = |description: &str, run| {
        let input = RunInput::new(run, workers);
        Quantity::from_run(Role::Worker, Resource::Messages, description, input, "a second")
            .scaled(calls_per_worker)
    };
    vec![
        average_connections(assumptions),
        connections_of_popular_worker(assumptions),
        per_call("health checks", "probes-workers"),
        per_call("load requests", "orders-workers"),
    ]
}

/// The expected number of gateways that sent a call to the worker within the time for which an idle connection is
/// kept, if calls are spread evenly over the workers.
fn average_connections(assumptions: &Assumptions) -> Quantity {
    let (workers, gateways) = (assumptions.workers(), assumptions.target.gateways);
    let calls_per_gateway = assumptions.target.calls_per_second / gateways;
    let open = move |size: f64| {
        let calls_while_idle = calls_per_gateway / (workers * size) * CONNECTION_IDLE_SECONDS;
        gateways * size * -(-calls_while_idle).exp_m1()
    };
    Quantity::calculated(
        Role::Worker,
        Resource::State,
        "connections, calls spread evenly",
        "kept for 30 s (`gateway::connection_pool`)",
        "connections",
        open,
    )
    .with_limit(assumptions.value(Parameter::WorkerConnections))
}

/// Connections at a worker that runs a function which all gateways call.
fn connections_of_popular_worker(assumptions: &Assumptions) -> Quantity {
    let gateways = assumptions.target.gateways;
    Quantity::calculated(
        Role::Worker,
        Resource::State,
        "connections at a worker that all gateways use",
        "at least one per gateway (`gateway::connection_pool`)",
        "connections",
        move |size| gateways * size,
    )
    .with_limit(assumptions.value(Parameter::WorkerConnections))
}
