//! What a gateway spends at the target size beside forwarding its calls: state, memory, CPU, messages, and how late it
//! learns and decides.

mod cpu;
mod known_functions;
mod latency;
mod memory;
mod messages;
mod state;
mod usage_reports;

pub use known_functions::GatewayCalls;

use crate::assumptions::Assumptions;
use crate::fitted_runs::FittedRuns;
use crate::quantity::{Quantity, Resource, Role, RunInput};

/// Looks of the membership link at the quorum proof per second while no datagram arrives: one each 50 ms.
const IDLE_PROOF_CHECKS_PER_SECOND: f64 = 20.0;

/// A gateway's quantities, in the order of the page.
pub(super) fn quantities(assumptions: &Assumptions, fitted_runs: &FittedRuns) -> Vec<Quantity> {
    [
        state::quantities(assumptions),
        memory::quantities(assumptions),
        cpu::quantities(assumptions, fitted_runs),
        messages::quantities(assumptions),
        latency::quantities(assumptions, fitted_runs),
        usage_reports::quantities(assumptions, fitted_runs),
        latency::cold_start(assumptions),
    ]
    .concat()
}

/// The value of one run at a place on its axis.
fn measured(
    resource: Resource,
    description: impl Into<String>,
    run: &'static str,
    size: f64,
    unit: &'static str,
) -> Quantity {
    Quantity::from_run(Role::Gateway, resource, description, RunInput::new(run, size), unit)
}
