//! Consistency checks across the values of a plan. Each check reports its error at the key that should change.

use super::action::Action;
use super::model::{Component, MembershipParameters, Play};
use super::region::Zone;
use milletpath_config::document::Section;

/// Maximum number of control machines per zone, so that the loss of a zone takes less than half of them.
const CONTROL_MACHINES_PER_ZONE: usize = 2;

/// Minimum duration of a lease in health check periods.
const PERIODS_PER_LEASE: f64 = 4.0;

/// At least one gateway must be hollow.
pub fn leaves_hollow_gateways(root: &Section<'_>, real_gateways: usize, gateways: usize) {
    if real_gateways >= gateways {
        let problem = format!("real of {real_gateways} leaves no hollow gateway among {gateways}");
        root.report(root.offset_of("real"), problem, "make real less than gateways");
    }
}

/// Each zone must have a gateway.
pub fn has_gateway_for_each_zone(root: &Section<'_>, zones: usize, gateways: usize) {
    if zones > gateways {
        let problem = format!("{zones} zones need at least {zones} gateways, but the plan has {gateways}");
        root.report(root.offset_of("gateways"), problem, "state more gateways or fewer zones");
    }
}

/// Zone names must be unique over all regions.
pub fn is_new_zone(region: &Section<'_>, name: &str, zones: &[Zone]) {
    if zones.iter().any(|zone| zone.name == name) {
        let problem = format!("zone {name} is stated more than once");
        region.report(region.offset_of("zones"), problem, "give each zone its own name");
    }
}

/// At least one component must run. Budgets need membership, as they are shared among its members.
pub fn has_components(control: &Section<'_>, components: &[Component], example: &str) {
    let offset = control.offset_of("runs");
    if components.is_empty() {
        control.report(offset, "runs of control has no component", format!("write runs = {example}"));
    }
    if components.contains(&Component::Budgets) && !components.contains(&Component::Membership) {
        let problem = "budgets need membership, which is not in runs";
        control.report(offset, problem, format!("write runs = {example}, or leave budgets out"));
    }
}

/// A lease must outlast several health check periods.
pub fn lease_is_long_enough(peers: &Section<'_>, parameters: &MembershipParameters) {
    let shortest = PERIODS_PER_LEASE * parameters.period;
    if parameters.lease < shortest {
        let problem = format!("lease of peers is shorter than four periods of {}", parameters.period);
        peers.report(peers.offset_of("lease"), problem, format!("make it {shortest} or more"));
    }
}

/// No zone may have so many control machines that its loss takes half of them.
pub fn zones_have_room_for_control_machines(changes: &Section<'_>, machines: usize, zones: usize) {
    let max_machines = CONTROL_MACHINES_PER_ZONE * zones;
    if machines > max_machines {
        let problem =
            format!("control machines of changes are more than {CONTROL_MACHINES_PER_ZONE} for each zone");
        changes.report(changes.offset_of("control"), problem, format!("write {max_machines} or less"));
    }
}

/// The first play must start the fleet, as other actions need running gateways.
pub fn first_play_starts_the_fleet(section: &Section<'_>, play: &Play) {
    if !matches!(play.action, Action::Start { .. }) {
        let problem = format!("{} comes before the gateways are started", section.title);
        section.report(section.offset, problem, "make the first play one with does = \"start\"");
    }
}

/// Changes can be proposed only if the gateways follow them.
pub fn changes_are_followed(section: &Section<'_>, changes: usize, components: &[Component]) {
    if changes > 0 && !components.contains(&Component::ConfigChanges) {
        let problem = format!("{} proposes changes, which no gateway follows", section.title);
        section.report(section.offset, problem, "add \"changes\" to runs of control");
    }
}
