//! What the sizes in the endpoint list mean, and the capacity that they let the router assume. A size that shrinks with
//! the load of its worker is a lower bound of the worker's capacity, which only an idle worker shows in full.

use std::collections::BTreeMap;

/// What the size of a worker in the endpoint list states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SizeMeaning {
    /// The worker's capacity, at least approximately.
    #[default]
    Capacity,
    /// The capacity that the worker's present requests leave, as measured some time ago.
    FreeCapacity,
}

impl SizeMeaning {
    /// The capacity of a worker with a listed size. `known` is the capacity assumed so far for the same process.
    pub(crate) fn capacity(self, listed: f64, known: Option<f64>) -> f64 {
        match self {
            Self::Capacity => listed,
            Self::FreeCapacity => known.map_or(listed, |known| known.max(listed)),
        }
    }
}

/// The largest capacity known of the workers of each kind. Bounded by the configured kinds, and one for all others.
#[derive(Default)]
pub(crate) struct LargestByKind(BTreeMap<usize, f64>);

impl LargestByKind {
    /// Records a worker's capacity. Returns the factor by which the largest of its kind has grown, at least 1.
    pub(crate) fn record(&mut self, kind: usize, capacity: f64) -> f64 {
        let largest = self.0.entry(kind).or_insert(capacity);
        let growth = (capacity / *largest).max(1.0);
        *largest = largest.max(capacity);
        growth
    }

    /// The largest capacity of a kind; at least `capacity`, that of one worker of it.
    pub(crate) fn at_least(&self, kind: usize, capacity: f64) -> f64 {
        self.0.get(&kind).copied().unwrap_or(capacity).max(capacity)
    }
}
