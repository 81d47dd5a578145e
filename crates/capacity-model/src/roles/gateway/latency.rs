//! Delays at a gateway: of configuration changes, membership and usage information, of events that block a core, and of
//! cold starts.

use super::{IDLE_PROOF_CHECKS_PER_SECOND, measured};
use crate::assumptions::{Assumptions, Parameter};
use crate::fitted_runs::FittedRuns;
use crate::quantity::{Quantity, Resource};

/// Round trip to the farthest region in which workers run, in milliseconds.
const FARTHEST_ROUND_TRIP_MS: f64 = 150.0;

/// All delays except those of cold starts.
pub(super) fn quantities(assumptions: &Assumptions, fitted_runs: &FittedRuns) -> Vec<Quantity> {
    let mut quantities = vec![config_propagation(assumptions)];
    quantities.extend(stalls(assumptions));
    quantities.push(slowest_proof_check(assumptions, fitted_runs));
    quantities.extend(ages(assumptions));
    quantities
}

fn seconds(description: &str, run: &'static str, size: f64) -> Quantity {
    measured(Resource::Time, description, run, size, "s")
}

fn milliseconds(description: &str, run: &'static str, size: f64) -> Quantity {
    measured(Resource::Time, description, run, size, "ms")
}

fn config_propagation(assumptions: &Assumptions) -> Quantity {
    let target = &assumptions.target;
    seconds("until a configuration change is in force at the last gateway", "changes-known", target.gateways)
        .with_limit(target.config_propagation_seconds)
}

/// Events that block a core, so that it makes no routing decisions meanwhile.
fn stalls(assumptions: &Assumptions) -> Vec<Quantity> {
    let limit = assumptions.value(Parameter::StallMilliseconds);
    let stall =
        |description: &str, run| milliseconds(description, run, assumptions.workers()).with_limit(limit);
    vec![
        stall("one worker joins: the core is blocked for", "list-join"),
        stall(
            "one worker joins, its budgets: the core is blocked for (only where `in_flight` is set)",
            "budgets-join",
        ),
        stall("a complete endpoint list is decoded on a core that forwards calls", "list-read"),
    ]
}

/// The time of a quorum proof check when all gateways assert different views. If it takes longer than the interval
/// between two checks, the membership link falls behind.
fn slowest_proof_check(assumptions: &Assumptions, fitted_runs: &FittedRuns) -> Quantity {
    let gateways = assumptions.target.gateways;
    let checks_per_second =
        fitted_runs.value_or_zero("peers-letters", gateways) + IDLE_PROOF_CHECKS_PER_SECOND;
    milliseconds(
        "one check of the quorum proof where all assertions differ: the worst case of a start",
        "proof-starting",
        gateways,
    )
    .with_limit(1e3 / checks_per_second)
}

/// Ages of the information that a gateway has about others.
fn ages(assumptions: &Assumptions) -> Vec<Quantity> {
    let gateways = assumptions.target.gateways;
    vec![
        seconds("age of an assertion, p99, against the lease", "peers-age", gateways)
            .with_limit(assumptions.value(Parameter::LeaseSeconds)),
        seconds("usage reports arrive every", "counts-period", gateways)
            .with_limit(assumptions.value(Parameter::UsageAgeSeconds)),
    ]
}

/// The time that the gateway adds to a cold start. The limit is the target minus the load time and the network round
/// trip.
pub(super) fn cold_start(assumptions: &Assumptions) -> Vec<Quantity> {
    let workers = assumptions.workers();
    let bound = assumptions.target.cold_start_seconds - assumptions.value(Parameter::LoadSeconds);
    vec![
        milliseconds("cold start, the gateway's own part, p99", "cold-start-p99", workers)
            .with_limit(bound * 1e3 - FARTHEST_ROUND_TRIP_MS),
        milliseconds("cold start, the gateway's own part, p50", "cold-start-p50", workers),
    ]
}
