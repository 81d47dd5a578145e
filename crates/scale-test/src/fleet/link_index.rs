//! Assignment of relay links to gateways, control machines, followers and authors.

use crate::control::AUTHOR_COUNT;
use crate::plan::Plan;

/// The order of the relay's links: membership links of the gateways, control machines, configuration followers of the
/// gateways, authors. The last three groups exist only if the plan has control machines.
#[derive(Clone, Copy, Debug)]
pub struct LinkIndex {
    gateways: usize,
    control_machines: usize,
}

impl LinkIndex {
    /// Creates the index of the links that the plan needs.
    pub fn new(plan: &Plan) -> Self {
        Self { gateways: plan.gateways, control_machines: plan.control_machines }
    }

    /// Membership link of a gateway.
    pub fn membership(self, gateway: usize) -> usize {
        gateway
    }

    /// Link of a control machine.
    pub fn control_machine(self, number: usize) -> usize {
        self.gateways + number
    }

    /// Link on which a gateway receives configuration changes, if the plan has control machines.
    pub fn follower(self, gateway: usize) -> Option<usize> {
        (self.control_machines > 0).then_some(self.gateways + self.control_machines + gateway)
    }

    /// Link of an author.
    pub fn author(self, number: usize) -> usize {
        2 * self.gateways + self.control_machines + number
    }

    /// Region of each link, in the order of the links.
    pub fn regions(self, plan: &Plan) -> Vec<usize> {
        let gateways = (0..plan.gateways).map(|gateway| plan.region_of(gateway));
        if self.control_machines == 0 {
            return gateways.collect();
        }
        let machines = 0..self.control_machines;
        let machines = machines.map(|machine| plan.zones[plan.zone_of_control_machine(machine)].region);
        let authors = (0..AUTHOR_COUNT).map(|author| author % plan.regions.len());
        gateways.clone().chain(machines).chain(gateways).chain(authors).collect()
    }
}

#[cfg(test)]
mod tests;
