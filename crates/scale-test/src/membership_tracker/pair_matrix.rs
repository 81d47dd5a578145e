//! A matrix with a value for each ordered pair of gateways.

use std::ops::{Index, IndexMut};

/// An observing gateway and the gateway that it observes.
#[derive(Clone, Copy)]
pub struct Pair {
    /// The gateway that observes.
    pub observer: usize,
    /// The gateway that is observed.
    pub subject: usize,
}

impl Pair {
    /// Swaps the roles of the two gateways.
    pub fn reversed(self) -> Self {
        Self { observer: self.subject, subject: self.observer }
    }
}

/// A value for each ordered pair, with one row per observer.
pub struct PairMatrix<T> {
    size: usize,
    values: Vec<T>,
}

impl<T: Clone> PairMatrix<T> {
    /// Creates a matrix for a fleet of this size, filled with one value.
    pub fn new(size: usize, value: T) -> Self {
        Self { size, values: vec![value; size * size] }
    }

    /// Sets all values of one observer.
    pub fn fill_row(&mut self, observer: usize, value: T) {
        self.values[observer * self.size..(observer + 1) * self.size].fill(value);
    }

    /// Sets all values.
    pub fn fill(&mut self, value: T) {
        self.values.fill(value);
    }

    /// Iterates over all values.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.values.iter()
    }
}

impl<T> Index<Pair> for PairMatrix<T> {
    type Output = T;

    fn index(&self, pair: Pair) -> &T {
        &self.values[pair.observer * self.size + pair.subject]
    }
}

impl<T> IndexMut<Pair> for PairMatrix<T> {
    fn index_mut(&mut self, pair: Pair) -> &mut T {
        &mut self.values[pair.observer * self.size + pair.subject]
    }
}
