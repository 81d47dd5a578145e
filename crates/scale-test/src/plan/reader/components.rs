//! Reads the components of a plan and the blocks that configure them.

use super::required_block;
use crate::plan::checks;
use crate::plan::model::{BudgetParameters, Component, MembershipParameters};
use milletpath_config::document::Section;

/// Maximum number of control machines.
const MAX_CONTROL_MACHINES: u32 = 7;

/// Example of `runs` for error messages.
pub const COMPONENTS_EXAMPLE: &str = "[\"membership\", \"budgets\", \"list\"]";

/// Reads the components that the gateways run.
pub fn read_components(root: &Section<'_>) -> Vec<Component> {
    let block_example = format!("runs = {COMPONENTS_EXAMPLE}");
    let Some(section) = required_block(root, "control", &block_example) else { return Vec::new() };
    let components = section.list("runs", COMPONENTS_EXAMPLE, Component::from_keyword).unwrap_or_default();
    checks::has_components(&section, &components, COMPONENTS_EXAMPLE);
    components
}

/// Reads the parameters of the membership protocol. The block is required only if the component runs.
pub fn read_membership(root: &Section<'_>, components: &[Component]) -> MembershipParameters {
    let required = components.contains(&Component::Membership);
    let section = component_block(root, required, "peers", "period = 0.4, lease = 12");
    let number = |key, unit, bounds, default| {
        let stated = section.as_ref().and_then(|peers| peers.number(key, unit, bounds));
        stated.unwrap_or(default)
    };
    let parameters = MembershipParameters {
        period: number("period", "seconds", 0.05..=60.0, 0.4),
        lease: number("lease", "seconds", 0.1..=600.0, 12.0),
        floor: number("floor", "of its share", 0.0..=1.0, 0.5),
    };
    if let Some(section) = &section {
        checks::lease_is_long_enough(section, &parameters);
    }
    parameters
}

/// Reads the shared budgets. The block is required only if the component runs.
pub fn read_budgets(root: &Section<'_>, components: &[Component]) -> BudgetParameters {
    let required = components.contains(&Component::Budgets);
    let section = component_block(root, required, "budgets", "quota = 100");
    let number = |key, unit, default| {
        let stated = section.as_ref().and_then(|budgets| budgets.number(key, unit, 0.001..=1e9));
        stated.unwrap_or(default)
    };
    BudgetParameters {
        quota: number("quota", "calls a second", 100.0),
        load_window: number("window", "seconds", 10.0),
        load_requests: number("orders", "orders", 20.0),
    }
}

/// Reads the number of control machines; 0 if the gateways don't follow configuration changes.
pub fn read_control_machines(root: &Section<'_>, zones: usize, components: &[Component]) -> usize {
    let required = components.contains(&Component::ConfigChanges);
    let Some(section) = root.block("changes") else {
        if required {
            let problem = "the plan runs changes and has no control machines";
            root.report(0, problem, format!("add changes {{ control = {MAX_CONTROL_MACHINES} }}"));
        }
        return usize::from(required);
    };
    let stated = section.count("control", "control machines", 1..=MAX_CONTROL_MACHINES);
    let machines = stated.unwrap_or(MAX_CONTROL_MACHINES as usize);
    if stated.is_some() {
        checks::zones_have_room_for_control_machines(&section, machines, zones);
    }
    if required { machines } else { 0 }
}

/// Returns the block of a component, and reports a missing one if it is required.
fn component_block<'p>(
    root: &Section<'p>,
    required: bool,
    key: &'static str,
    example: &str,
) -> Option<Section<'p>> {
    if required { required_block(root, key, example) } else { root.block(key) }
}
