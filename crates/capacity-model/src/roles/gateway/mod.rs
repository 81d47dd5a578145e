//! Quantities of a gateway besides the forwarding of calls: state, memory, CPU, messages and delays.

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

/// Checks of the quorum proof per second that the membership link makes without received datagrams: one every 50 ms.
const IDLE_PROOF_CHECKS_PER_SECOND: f64 = 20.0;

/// All quantities of a gateway, in the order of the page.
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

/// A gateway's quantity that equals one run at a position on its axis.
fn measured(
    resource: Resource,
    description: impl Into<String>,
    run: &'static str,
    size: f64,
    unit: &'static str,
) -> Quantity {
    Quantity::from_run(Role::Gateway, resource, description, RunInput::new(run, size), unit)
}
