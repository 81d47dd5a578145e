//! Quantities of the service that sends the endpoint list, which contains all workers, to the gateways.

use super::KILOBYTES_PER_SECOND;
use crate::assumptions::Assumptions;
use crate::quantity::{Quantity, Resource, Role, RunInput};

/// Size of the longest endpoint list that a gateway reads, in kB. Same as in `milletpath_protocol::registry`.
const MAX_LIST_KILOBYTES: f64 = 8_388.608;

pub(super) fn quantities(assumptions: &Assumptions) -> Vec<Quantity> {
    let (workers, gateways) = (assumptions.workers(), assumptions.target.gateways);
    let measured = |resource, description: &str, run, unit| {
        let input = RunInput::new(run, workers);
        Quantity::from_run(Role::EndpointList, resource, description, input, unit)
    };
    let updates = |description: &str, updates_per_second: f64| {
        measured(Resource::Messages, description, "list-entry", KILOBYTES_PER_SECOND)
            .with_formula(move |size, values| values[0] * updates_per_second * size * gateways * size / 1e3)
    };
    vec![
        measured(Resource::State, "the complete list", "list-whole", "kB").with_limit(MAX_LIST_KILOBYTES),
        updates("updates to all gateways, an ordinary day", assumptions.list_updates_per_second()),
        updates(
            "updates to all gateways while a zone's workers return",
            assumptions.list_updates_per_second_in_zone_recovery(),
        ),
        measured(
            Resource::Messages,
            "the complete list to all gateways, when all reconnect",
            "list-whole",
            "MB",
        )
        .with_formula(move |size, values| values[0] * gateways * size / 1e3),
        measured(Resource::Cpu, "the complete list is decoded, once at each gateway", "list-read", "ms"),
    ]
}
