//! The instances of a worker, and the memory that they and their loads take.

use super::spec::FunctionModel;
use std::collections::BTreeMap;

struct Instance {
    function: u32,
    model: FunctionModel,
    /// Jobs on it.
    active_jobs: u32,
    /// The idle period that it is in; unique, so that a later one is not mistaken for it.
    idle_period: Option<u64>,
    /// Whether a new version of its function replaced it: it is gone as soon as nothing runs on it.
    outdated: bool,
}

impl Instance {
    fn serves(&self, function: u32) -> bool {
        self.function == function && !self.outdated
    }
}

/// Instances by id.
pub(super) struct InstanceTable {
    instances: BTreeMap<u64, Instance>,
    memory_limit: f64,
    /// MB that instances and loads take.
    memory_used: f64,
}

impl InstanceTable {
    /// An empty table with room for so many MB.
    pub(super) fn new(memory_limit: f64) -> Self {
        Self { instances: BTreeMap::new(), memory_limit, memory_used: 0.0 }
    }

    /// Instances that serve a function.
    pub(super) fn count(&self, function: u32) -> u32 {
        self.instances.values().filter(|instance| instance.serves(function)).count() as u32
    }

    /// Whether an instance serves a function.
    pub(super) fn any(&self, function: u32) -> bool {
        self.instances.values().any(|instance| instance.serves(function))
    }

    /// Takes memory for a load, for which idle instances are unloaded, the longest idle first; whether there is enough.
    pub(super) fn reserve_memory(&mut self, memory: f64) -> bool {
        while self.memory_used + memory > self.memory_limit {
            let idle = self.instances.iter().filter_map(|(&id, i)| i.idle_period.map(|period| (period, id)));
            let Some((_, longest_idle)) = idle.min() else { return false };
            self.remove(longest_idle);
        }
        self.memory_used += memory;
        true
    }

    /// Gives back the memory of a load that failed.
    pub(super) fn release_memory(&mut self, memory: f64) {
        self.memory_used -= memory;
    }

    /// Adds an instance, whose memory was reserved for its load.
    pub(super) fn add(&mut self, id: u64, function: u32, model: FunctionModel) {
        let instance = Instance { function, model, active_jobs: 0, idle_period: None, outdated: false };
        self.instances.insert(id, instance);
    }

    fn remove(&mut self, id: u64) {
        if let Some(instance) = self.instances.remove(&id) {
            self.memory_used -= instance.model.memory;
        }
    }

    /// Places a job on an instance with a free slot.
    pub(super) fn acquire_slot(&mut self, function: u32) -> Option<u64> {
        let has_slot = |i: &Instance| i.serves(function) && i.active_jobs < i.model.concurrency;
        let (&id, instance) = self.instances.iter_mut().find(|(_, instance)| has_slot(instance))?;
        instance.active_jobs += 1;
        instance.idle_period = None;
        Some(id)
    }

    /// Ends a job on an instance.
    pub(super) fn release_slot(&mut self, id: u64) {
        let Some(instance) = self.instances.get_mut(&id) else { return };
        instance.active_jobs -= 1;
        if instance.outdated && instance.active_jobs == 0 {
            self.remove(id);
        }
    }

    /// Begins an idle period of an instance; whether it is there and nothing runs on it.
    pub(super) fn begin_idle_period(&mut self, id: u64, period: u64) -> bool {
        let idle = self.instances.get_mut(&id).filter(|instance| instance.active_jobs == 0);
        idle.map(|instance| instance.idle_period = Some(period)).is_some()
    }

    /// Unloads an instance if it is still in that idle period.
    pub(super) fn unload_if_idle_since(&mut self, id: u64, period: u64) {
        if self.instances.get(&id).is_some_and(|instance| instance.idle_period == Some(period)) {
            self.remove(id);
        }
    }

    /// All instances of a function, outdated ones too.
    pub(super) fn ids(&self, function: u32) -> Vec<u64> {
        let of_function = self.instances.iter().filter(|(_, instance)| instance.function == function);
        of_function.map(|(id, _)| *id).collect()
    }

    /// Unloads the instances of a function on which nothing runs.
    pub(super) fn unload_idle(&mut self, function: u32) {
        let is_idle = |instance: &Instance| instance.function == function && instance.active_jobs == 0;
        let idle = self.instances.iter().filter(|(_, instance)| is_idle(instance));
        let idle: Vec<u64> = idle.map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|id| self.remove(id));
    }

    /// Marks the instances of a function as replaced by a new version; idle ones are unloaded at once.
    pub(super) fn invalidate(&mut self, function: u32) {
        self.unload_idle(function);
        let of_function = self.instances.values_mut().filter(|instance| instance.function == function);
        of_function.for_each(|instance| instance.outdated = true);
    }

    /// MB of the instances on which something runs.
    pub(super) fn busy_memory(&self) -> f64 {
        let busy = self.instances.values().filter(|instance| instance.active_jobs > 0);
        busy.map(|instance| instance.model.memory).sum()
    }
}
