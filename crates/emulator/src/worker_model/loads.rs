//! Loads of instances: a few proceed at the same time, the others wait in order.

use super::spec::FunctionModel;
use std::collections::{BTreeMap, VecDeque};

/// The load of one instance.
#[derive(Clone, Copy)]
pub(super) struct Load {
    /// The function's number.
    pub(super) function: u32,
    /// The function's figures.
    pub(super) model: FunctionModel,
}

/// Loads by id.
pub(super) struct LoadQueue {
    loads: BTreeMap<u64, Load>,
    waiting: VecDeque<u64>,
    active: usize,
    limit: usize,
}

impl LoadQueue {
    /// A queue of which so many loads proceed at the same time.
    pub(super) fn new(limit: usize) -> Self {
        Self { loads: BTreeMap::new(), waiting: VecDeque::new(), active: 0, limit }
    }

    /// Adds a load that waits.
    pub(super) fn push(&mut self, id: u64, load: Load) {
        self.loads.insert(id, load);
        self.waiting.push_back(id);
    }

    /// Takes the next load that may proceed.
    pub(super) fn start_next(&mut self) -> Option<(u64, Load)> {
        if self.active >= self.limit {
            return None;
        }
        let id = self.waiting.pop_front()?;
        self.active += 1;
        self.get(id).map(|load| (id, load))
    }

    /// A load that proceeds or waits.
    pub(super) fn get(&self, id: u64) -> Option<Load> {
        self.loads.get(&id).copied()
    }

    /// Ends a load that proceeds.
    pub(super) fn finish(&mut self, id: u64) -> Option<Load> {
        let load = self.loads.remove(&id)?;
        self.active -= 1;
        Some(load)
    }

    /// Loads that proceed or wait.
    pub(super) fn len(&self) -> usize {
        self.loads.len()
    }

    /// MB that they will take.
    pub(super) fn memory(&self) -> f64 {
        self.loads.values().map(|load| load.model.memory).sum()
    }
}
