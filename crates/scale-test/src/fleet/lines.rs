//! Who is who in the relay.

use crate::control::AUTHORS;
use crate::plan::Plan;

/// The lines of the relay: gateways as others reach them, control machines, gateways as those reach them,
/// authors. The latter three are there where changes are followed.
#[derive(Clone, Copy, Debug)]
pub struct Lines {
    gateways: usize,
    control: usize,
}

impl Lines {
    pub(super) fn of(plan: &Plan) -> Self {
        Self { gateways: plan.gateways, control: plan.control_machines }
    }

    pub fn machine(self, number: usize) -> usize {
        self.gateways + number
    }

    /// The line over which a gateway hears changes.
    pub fn feed(self, gateway: usize) -> Option<usize> {
        (self.control > 0).then_some(self.gateways + self.control + gateway)
    }

    pub(super) fn author(self, number: usize) -> usize {
        2 * self.gateways + self.control + number
    }

    /// The region of each line.
    pub(super) fn regions(self, plan: &Plan) -> Vec<usize> {
        let gateways = (0..plan.gateways).map(|g| plan.region_of(g));
        if self.control == 0 {
            return gateways.collect();
        }
        let machines = (0..self.control).map(|m| plan.zones[plan.zone_of_control_machine(m)].region);
        let authors = (0..AUTHORS).map(|a| a % plan.regions.len());
        gateways.clone().chain(machines).chain(gateways).chain(authors).collect()
    }
}
