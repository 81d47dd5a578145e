//! Placement of gateways and control machines, and the latency between them.

use super::model::{Component, Plan};

impl Plan {
    /// Zone of a gateway. Gateways are assigned to all zones in round-robin order, so consecutive numbers are in
    /// different zones.
    #[must_use]
    pub fn zone_of(&self, gateway: usize) -> usize {
        gateway % self.zones.len()
    }

    /// Region of a gateway.
    #[must_use]
    pub fn region_of(&self, gateway: usize) -> usize {
        self.zones[self.zone_of(gateway)].region
    }

    /// Gateways of a zone.
    pub fn gateways_in_zone(&self, zone: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.gateways).filter(move |gateway| self.zone_of(*gateway) == zone)
    }

    /// Zone of a control machine. Machines are assigned to regions in round-robin order, and within each region to its
    /// zones in round-robin order: no region has more than its share of them, and no zone has more than two.
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

    /// One-way latency between two gateways in seconds.
    #[must_use]
    pub fn latency(&self, from: usize, to: usize) -> f64 {
        self.latency_between_regions(self.region_of(from), self.region_of(to))
    }

    /// One-way latency between two regions in seconds.
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
