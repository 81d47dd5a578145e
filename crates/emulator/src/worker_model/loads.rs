//! Loads of instances: a limited number run concurrently, and the others wait in order.

use super::spec::FunctionModel;
use std::collections::{BTreeMap, VecDeque};

/// The load of one instance.
#[derive(Clone, Copy)]
pub(super) struct Load {
    /// The function's number.
    pub(super) function: u32,
    /// The function's resource needs.
    pub(super) model: FunctionModel,
}

/// The loads of a worker.
pub(super) struct LoadQueue {
    loads: BTreeMap<u64, Load>,
    waiting: VecDeque<u64>,
    active: usize,
    limit: usize,
}

impl LoadQueue {
    /// Creates a queue with a limit on concurrent loads.
    pub(super) fn new(limit: usize) -> Self {
        Self { loads: BTreeMap::new(), waiting: VecDeque::new(), active: 0, limit }
    }

    /// Queues a load.
    pub(super) fn push(&mut self, id: u64, load: Load) {
        self.loads.insert(id, load);
        self.waiting.push_back(id);
    }

    /// Starts the next load, if the limit allows it.
    pub(super) fn start_next(&mut self) -> Option<(u64, Load)> {
        if self.active >= self.limit {
            return None;
        }
        let id = self.waiting.pop_front()?;
        self.active += 1;
        self.get(id).map(|load| (id, load))
    }

    /// A load that is running or queued.
    pub(super) fn get(&self, id: u64) -> Option<Load> {
        self.loads.get(&id).copied()
    }

    /// Ends a running load.
    pub(super) fn finish(&mut self, id: u64) -> Option<Load> {
        let load = self.loads.remove(&id)?;
        self.active -= 1;
        Some(load)
    }

    /// The number of loads that are running or queued.
    pub(super) fn len(&self) -> usize {
        self.loads.len()
    }

    /// MB that the loads will use.
    pub(super) fn memory(&self) -> f64 {
        self.loads.values().map(|load| load.model.memory).sum()
    }
}
