//! Quantities of a control machine, which replicates the log of configuration changes and sends them to the gateways
//! that follow it.

use super::{KILOBYTES_PER_SECOND, PERCENT_OF_CORE, PERCENT_PER_MILLISECOND};
use crate::assumptions::{Assumptions, Parameter};
use crate::quantity::{Quantity, Resource, Role, RunInput};

const MECHANISM: &str = "a replica of the log and its followers (`crates/config-log`)";

/// Number of control machines that each gateway follows.
const MACHINES_PER_GATEWAY: f64 = 3.0;

pub(super) fn quantities(assumptions: &Assumptions) -> Vec<Quantity> {
    let measured = |resource, description: &str, run, unit| {
        let input = RunInput::new(run, assumptions.target.gateways);
        Quantity::from_run(Role::ControlMachine, resource, description, input, unit)
    };
    vec![
        followers(assumptions),
        bytes_per_change(assumptions),
        measured(
            Resource::Messages,
            "sent and received, one change per second",
            "control-bytes",
            KILOBYTES_PER_SECOND,
        ),
        measured(Resource::Cpu, "all of its work, one change per second", "control-cpu", PERCENT_OF_CORE)
            .scaled(PERCENT_PER_MILLISECOND),
        measured(Resource::Memory, "of its process, few functions changed", "control-memory", "MB"),
    ]
}

fn followers(assumptions: &Assumptions) -> Quantity {
    let (gateways, machines) = (assumptions.target.gateways, assumptions.target.control_machines);
    Quantity::calculated(
        Role::ControlMachine,
        Resource::State,
        "gateways that follow one; each follows three",
        MECHANISM,
        "gateways",
        move |size| MACHINES_PER_GATEWAY * gateways * size / machines,
    )
}

fn bytes_per_change(assumptions: &Assumptions) -> Quantity {
    let (gateways, machines) = (assumptions.target.gateways, assumptions.target.control_machines);
    let bytes = assumptions.value(Parameter::ConfigChangeBytes);
    Quantity::calculated(
        Role::ControlMachine,
        Resource::Messages,
        "one change sent to all of them",
        MECHANISM,
        "kB",
        move |size| MACHINES_PER_GATEWAY * gateways * size / machines * bytes / 1e3,
    )
}
