//! Where gateways and control machines are, and how far they are from each other.

use super::model::{Component, Plan};

impl Plan {
    /// The zone of a gateway. Gateways are assigned to all zones in turn, so neighbours by number are in different
    /// zones.
    #[must_use]
    pub fn zone_of(&self, gateway: usize) -> usize {
        gateway % self.zones.len()
    }

    /// The region of a gateway.
    #[must_use]
    pub fn region_of(&self, gateway: usize) -> usize {
        self.zones[self.zone_of(gateway)].region
    }

    /// The gateways of a zone.
    pub fn gateways_in_zone(&self, zone: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.gateways).filter(move |gateway| self.zone_of(*gateway) == zone)
    }

    /// The zone of a control machine. Machines are assigned to regions in turn, and within each region to its zones in
    /// turn: no region has more than its share of them, and no zone has more than two.
    #[must_use]
    pub fn zone_of_control_machine(&self, machine: usize) -> usize {
        let zones_by_turn = self.zones_by_turn();
        zones_by_turn[machine % zones_by_turn.len()]
    }

    /// The first zone of each region, then the second of each, and so on.
    fn zones_by_turn(&self) -> Vec<usize> {
        let zones_of = |region| (0..self.zones.len()).filter(move |zone| self.zones[*zone].region == region);
        let turns = 0..self.zones.len();
        turns
            .flat_map(|turn| (0..self.regions.len()).filter_map(move |region| zones_of(region).nth(turn)))
            .collect()
    }

    /// Seconds that a datagram takes from one gateway to another.
    #[must_use]
    pub fn latency(&self, from: usize, to: usize) -> f64 {
        self.latency_between_regions(self.region_of(from), self.region_of(to))
    }

    /// Seconds that a datagram takes from one region to another.
    #[must_use]
    pub fn latency_between_regions(&self, from: usize, to: usize) -> f64 {
        if from == to { self.links.within_region } else { self.links.between_regions[from][to] }
    }

    /// Whether the gateways of this plan run a component.
    #[must_use]
    pub fn runs(&self, component: Component) -> bool {
        self.components.contains(&component)
    }
}
