//! Quantities of the store from which workers fetch functions.

use crate::assumptions::Assumptions;
use crate::quantity::{Quantity, Resource, Role, RunInput};

pub(super) fn quantities(assumptions: &Assumptions) -> Vec<Quantity> {
    vec![Quantity::from_run(
        Role::Store,
        Resource::Messages,
        "fetches, as in the simulator's small fleets",
        RunInput::new("store-loads-fleet", assumptions.target.calls_per_second),
        "a second",
    )]
}
