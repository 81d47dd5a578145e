//! Zones, and pairs of regions.

/// A zone of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// The zone's name.
    pub name: String,
    /// Index of its region in [`Plan::regions`](super::Plan::regions).
    pub region: usize,
}

/// Two regions, by their indices in [`Plan::regions`](super::Plan::regions).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionPair {
    /// The region that is named first.
    pub first: usize,
    /// The region that is named second.
    pub second: usize,
}

impl RegionPair {
    /// Whether a link between these two regions is one between this pair, in either direction.
    #[must_use]
    pub fn connects(self, from: usize, to: usize) -> bool {
        (from, to) == (self.first, self.second) || (from, to) == (self.second, self.first)
    }
}
