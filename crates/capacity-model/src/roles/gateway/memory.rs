//! Memory of the control state of a gateway, and of its dispatcher as a whole.

use super::{GatewayCalls, measured};
use crate::assumptions::Assumptions;
use crate::quantity::{Quantity, Resource, RunInput};

pub(super) fn quantities(assumptions: &Assumptions) -> Vec<Quantity> {
    let limit = assumptions.target.memory_megabytes;
    let workers = assumptions.workers();
    let members = megabytes("membership view", RunInput::new("peers-memory", assumptions.target.gateways));
    let workers_known =
        megabytes("worker table, hash ring and state of the workers", RunInput::new("list-memory", workers));
    let functions_known =
        megabytes("functions known, each with its ring order", known_functions(assumptions));
    let total = Quantity::sum(
        "memory for control, total",
        "the three above",
        &[&members, &workers_known, &functions_known],
    );
    let dispatcher =
        |description: &str, run| megabytes(description, RunInput::new(run, workers)).with_limit(limit);
    vec![
        members,
        workers_known,
        functions_known,
        total.with_limit(limit),
        dispatcher("dispatcher as measured, Zipf exponent 1.6", "memory-workers"),
        dispatcher("dispatcher as measured, Zipf exponent 1.1", "memory-workers-flat"),
    ]
}

fn megabytes(description: &str, input: RunInput) -> Quantity {
    measured(Resource::Memory, description, input.run, input.size, "MB").with_inputs(vec![input])
}

/// The run of the memory for known functions, which grows with their number and with that of the workers.
fn known_functions(assumptions: &Assumptions) -> RunInput {
    RunInput {
        run: "memory-known",
        size: GatewayCalls::at_target(assumptions).known_functions(),
        second_size: assumptions.workers(),
    }
}
