//! Zones and pairs of regions.

/// A zone of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Index of its region in [`Plan::regions`](super::Plan::regions).
    pub region: usize,
}

/// Two regions, as indices into [`Plan::regions`](super::Plan::regions).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionPair {
    /// Region named first.
    pub first: usize,
    /// Region named second.
    pub second: usize,
}

impl RegionPair {
    /// Whether a link between these regions connects the two regions of the pair, in either direction.
    #[must_use]
    pub fn connects(self, from: usize, to: usize) -> bool {
        (from, to) == (self.first, self.second) || (from, to) == (self.second, self.first)
    }
}
