//! The instances of a worker, and the memory that they and their loads use.

use super::spec::FunctionModel;
use std::collections::BTreeMap;

struct Instance {
    function: u32,
    model: FunctionModel,
    /// Jobs that hold one of its slots.
    active_jobs: u32,
    /// Its current idle period; the id is unique, so that the timer of an earlier period does not unload it.
    idle_period: Option<u64>,
    /// Whether a new version of its function has replaced it; it is removed as soon as no job runs on it.
    outdated: bool,
}

impl Instance {
    fn serves(&self, function: u32) -> bool {
        self.function == function && !self.outdated
    }
}

/// The instances by id.
pub(super) struct InstanceTable {
    instances: BTreeMap<u64, Instance>,
    memory_limit: f64,
    /// MB that instances and loads use.
    memory_used: f64,
}

impl InstanceTable {
    /// Creates an empty table with a limit on memory, in MB.
    pub(super) fn new(memory_limit: f64) -> Self {
        Self { instances: BTreeMap::new(), memory_limit, memory_used: 0.0 }
    }

    /// The number of instances that serve a function.
    pub(super) fn count(&self, function: u32) -> u32 {
        self.instances.values().filter(|instance| instance.serves(function)).count() as u32
    }

    /// Whether an instance serves a function.
    pub(super) fn any(&self, function: u32) -> bool {
        self.instances.values().any(|instance| instance.serves(function))
    }

    /// Reserves memory for a load, for which it unloads idle instances, the longest idle first. Returns whether there
    /// is enough.
    pub(super) fn reserve_memory(&mut self, memory: f64) -> bool {
        while self.memory_used + memory > self.memory_limit {
            let idle = self.instances.iter().filter_map(|(&id, i)| i.idle_period.map(|period| (period, id)));
            let Some((_, longest_idle)) = idle.min() else { return false };
            self.remove(longest_idle);
        }
        self.memory_used += memory;
        true
    }

    /// Releases the memory of a failed load.
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

    /// Takes a free slot for a job; returns the instance.
    pub(super) fn acquire_slot(&mut self, function: u32) -> Option<u64> {
        let has_slot = |i: &Instance| i.serves(function) && i.active_jobs < i.model.concurrency;
        let (&id, instance) = self.instances.iter_mut().find(|(_, instance)| has_slot(instance))?;
        instance.active_jobs += 1;
        instance.idle_period = None;
        Some(id)
    }

    /// Frees the slot of a job that has ended.
    pub(super) fn release_slot(&mut self, id: u64) {
        let Some(instance) = self.instances.get_mut(&id) else { return };
        instance.active_jobs -= 1;
        if instance.outdated && instance.active_jobs == 0 {
            self.remove(id);
        }
    }

    /// Starts an idle period of an instance. Returns false if the instance does not exist or a job runs on it.
    pub(super) fn begin_idle_period(&mut self, id: u64, period: u64) -> bool {
        let idle = self.instances.get_mut(&id).filter(|instance| instance.active_jobs == 0);
        idle.map(|instance| instance.idle_period = Some(period)).is_some()
    }

    /// Unloads an instance if it is still in this idle period.
    pub(super) fn unload_if_idle_since(&mut self, id: u64, period: u64) {
        if self.instances.get(&id).is_some_and(|instance| instance.idle_period == Some(period)) {
            self.remove(id);
        }
    }

    /// The ids of all instances of a function, including outdated ones.
    pub(super) fn ids(&self, function: u32) -> Vec<u64> {
        let of_function = self.instances.iter().filter(|(_, instance)| instance.function == function);
        of_function.map(|(id, _)| *id).collect()
    }

    /// Unloads the instances of a function on which no job runs.
    pub(super) fn unload_idle(&mut self, function: u32) {
        let is_idle = |instance: &Instance| instance.function == function && instance.active_jobs == 0;
        let idle = self.instances.iter().filter(|(_, instance)| is_idle(instance));
        let idle: Vec<u64> = idle.map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|id| self.remove(id));
    }

    /// Marks the instances of a function as outdated by a new version; idle ones are unloaded immediately.
    pub(super) fn invalidate(&mut self, function: u32) {
        self.unload_idle(function);
        let of_function = self.instances.values_mut().filter(|instance| instance.function == function);
        of_function.for_each(|instance| instance.outdated = true);
    }

    /// MB of the instances on which a job runs.
    pub(super) fn busy_memory(&self) -> f64 {
        let busy = self.instances.values().filter(|instance| instance.active_jobs > 0);
        busy.map(|instance| instance.model.memory).sum()
    }
}
