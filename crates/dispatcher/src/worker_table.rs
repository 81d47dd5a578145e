//! The workers of the endpoint list, under the dispatcher's dense indices: addresses, processes, states and start times.
//! The dispatcher passes each revision of the list to it, and asks it what must be known at the moment of sending; what
//! a worker's state means for placement, the router decides.

use crate::interner::Interner;
use crate::start_times::{StartTimes, is_different_process};
use milletpath_policy::{EndpointState, EndpointUpdate};
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Workers that may be known at a time; of a list that names more, the rest is ignored.
const MAX_WORKERS: usize = 65_536;

/// Start times that are kept of workers whose names were forgotten. Past so many all are dropped, at the price of a
/// slow start for those that come back.
const MAX_SAVED_STARTS: usize = 16_384;

/// When a process started.
#[derive(Clone, Copy, Default)]
struct ProcessStart {
    /// Unix time as the endpoint list states it.
    timestamp: Option<f64>,
    /// Seconds on the monotonic clock; none means long ago.
    at: Option<f64>,
}

/// Whether a worker is listed.
#[derive(Clone, Copy)]
enum Presence {
    Listed,
    GoneSince(f64),
    /// Its name is forgotten, and its index may be given to another worker.
    Evicted,
}

struct Worker {
    address: SocketAddr,
    /// Changes with every process that has the index.
    process: u64,
    start: ProcessStart,
    state: EndpointState,
    presence: Presence,
}

/// Where a worker is reached, and which process that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerProcess {
    /// The address that the endpoint list states.
    pub address: SocketAddr,
    /// A number that changes when another process takes the worker's name or index.
    pub process: u64,
}

/// Identifies a state of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointRevision {
    /// Number of restarts of the dispatcher: after one, indices of workers are given out anew.
    pub generation: u64,
    /// Number of updates since the restart.
    pub revision: u64,
}

pub(crate) struct WorkerTable {
    /// Bounded by [`MAX_WORKERS`].
    names: Interner,
    /// Zones and cells that were ever listed; these names are not forgotten.
    zones: Interner,
    cells: Interner,
    kinds: Vec<String>,
    /// By index; as long as the largest number of names that were known at a time.
    workers: Vec<Worker>,
    /// Seconds after which nothing that was sent to a worker that is gone can be in flight any more: its index may be
    /// given to another.
    evict_after: f64,
    pub(crate) start_times: StartTimes,
    /// Start times by name, of workers that were forgotten or that the table before this one knew: a process that is
    /// listed again is not a new one. Bounded by [`MAX_FORMER_STARTS`] and the workers of one table.
    saved_starts: BTreeMap<Arc<str>, ProcessStart>,
    revision: u64,
    /// Number of tables before this one. It is part of each process's number, so that no connection made for a worker
    /// of one table is taken for that of another.
    generation: u64,
}

impl WorkerTable {
    /// An empty table; `kinds` are the configured kinds of workers, in the order of the router's configuration.
    pub(crate) fn new(
        kinds: &[String],
        seed: u64,
        start_times: StartTimes,
        generation: u64,
        evict_after: f64,
    ) -> Self {
        Self {
            names: Interner::new(seed),
            zones: Interner::new(seed),
            cells: Interner::new(seed),
            kinds: kinds.to_vec(),
            workers: Vec::new(),
            evict_after,
            start_times,
            saved_starts: BTreeMap::new(),
            revision: 0,
            generation,
        }
    }

    /// An empty table that takes this one's place. It keeps when processes started, because their stamps would be
    /// judged anew by a clock that may have been stepped since.
    pub(crate) fn next_generation(&self, seed: u64) -> Self {
        let mut saved_starts = self.saved_starts.clone();
        saved_starts
            .extend(self.workers().into_iter().map(|(worker, name)| (name, self.workers[worker].start)));
        let start_times = self.start_times.clone();
        let generation = self.generation + 1;
        Self { saved_starts, ..Self::new(&self.kinds, seed, start_times, generation, self.evict_after) }
    }

    /// The state of the list that is known; its revision is 0 where none is.
    pub(crate) fn revision(&self) -> EndpointRevision {
        EndpointRevision { generation: self.generation, revision: self.revision }
    }

    /// Index and name of each worker that is not gone.
    pub(crate) fn workers(&self) -> Vec<(usize, Arc<str>)> {
        let workers = self.workers.iter().enumerate();
        let listed = workers.filter(|(_, worker)| worker.state != EndpointState::Gone);
        listed.map(|(index, _)| (index, self.names.name(index))).collect()
    }

    pub(crate) fn name(&self, worker: usize) -> Arc<str> {
        self.names.name(worker)
    }

    /// The process of a worker; an address that can't be reached for an index that was never given out.
    pub(crate) fn process(&self, worker: usize) -> WorkerProcess {
        let unknown = WorkerProcess { address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)), process: 0 };
        self.workers.get(worker).map_or(unknown, |worker| {
            let Worker { address, process, .. } = *worker;
            WorkerProcess { address, process }
        })
    }

    /// When a worker's process started, in seconds on the monotonic clock; none means long ago.
    pub(crate) fn started(&self, worker: usize) -> Option<f64> {
        self.workers.get(worker).and_then(|worker| worker.start.at)
    }

    /// Takes one revision of the list, `complete` or only the entries that changed, and passes on what each entry states.
    pub(crate) fn update(
        &mut self,
        now: f64,
        complete: bool,
        entries: &[EndpointEntry],
        mut on_update: impl FnMut(EndpointUpdate),
    ) {
        self.revision += 1;
        if complete {
            for worker in &mut self.workers {
                worker.set_state(now, EndpointState::Gone);
            }
        }
        self.evict_gone(now);
        for entry in entries {
            if let Some(worker) = self.update_worker(now, entry) {
                on_update(self.endpoint_update(worker, entry));
            }
        }
    }

    /// Takes one entry. Gives the worker's index, or none where too many workers are named.
    fn update_worker(&mut self, now: f64, entry: &EndpointEntry) -> Option<usize> {
        let is_new = self.names.get(&entry.name).is_none();
        if is_new && self.names.len() >= MAX_WORKERS {
            tracing::error!(
                worker = entry.name,
                "the endpoint list names over {MAX_WORKERS} workers: this one is ignored; check what registers there"
            );
            return None;
        }
        let worker = self.names.intern(&entry.name);
        if is_new {
            self.add_worker(now, worker, entry);
        } else {
            self.update_known_worker(now, worker, entry);
        }
        let state = match entry.state {
            EndpointStatus::Ready => EndpointState::Ready,
            EndpointStatus::Draining => EndpointState::Draining,
            EndpointStatus::Gone => EndpointState::Gone,
        };
        self.workers[worker].set_state(now, state);
        Some(worker)
    }

    /// Adds a worker whose name was not known, at an index that is new or was forgotten.
    fn add_worker(&mut self, now: f64, worker: usize, entry: &EndpointEntry) {
        // What had the index before is another process, with which this one shares nothing.
        let previous = self.workers.get(worker);
        let process = previous.map_or(self.generation << 32 | 1, |previous| previous.process + 1);
        let added = Worker {
            address: entry.address,
            process,
            start: self.initial_start(now, entry),
            state: EndpointState::Gone,
            presence: Presence::Listed,
        };
        match self.workers.get_mut(worker) {
            Some(previous) => *previous = added,
            None => self.workers.push(added),
        }
    }

    /// Updates a worker whose name is known. Another address or another stamp is another process, in which nothing is
    /// loaded; one whose start time nobody states started now at the latest.
    fn update_known_worker(&mut self, now: f64, worker: usize, entry: &EndpointEntry) {
        let worker = &mut self.workers[worker];
        let before = worker.start;
        let is_different = is_different_process(entry.started, before.timestamp);
        if !is_different && worker.address == entry.address {
            return;
        }
        worker.process += 1;
        worker.address = entry.address;
        let timestamp = entry.started.filter(|_| is_different);
        let at = timestamp.map_or(now, |timestamp| self.start_times.start_time(now, timestamp, before.at));
        // The router distinguishes processes by their start times.
        let at = before.at.map_or(at, |before| at.max(before.next_up()));
        worker.start = ProcessStart { timestamp: entry.started, at: Some(at) };
    }

    /// The start of a worker whose name was not known.
    fn initial_start(&mut self, now: f64, entry: &EndpointEntry) -> ProcessStart {
        let previous = self.saved_starts.remove(entry.name.as_str());
        match previous {
            Some(start) if !is_different_process(entry.started, start.timestamp) => start,
            _ => {
                let predecessor = previous.and_then(|start| start.at);
                let at =
                    entry.started.map(|timestamp| self.start_times.start_time(now, timestamp, predecessor));
                ProcessStart { timestamp: entry.started, at }
            }
        }
    }

    /// What the router is notified of about a worker.
    fn endpoint_update(&mut self, worker: usize, entry: &EndpointEntry) -> EndpointUpdate {
        // Workers without a zone or cell share none: nobody else knows the idempotency keys that they remember.
        let unshared = usize::MAX - worker;
        let intern_group = |groups: &mut Interner, name: &str| {
            if name.is_empty() { unshared } else { groups.intern(name) }
        };
        EndpointUpdate {
            worker,
            name: xxh3_64(entry.name.as_bytes()),
            started_at: self.workers[worker].start.at,
            size: entry.size,
            kind: self.kinds.iter().position(|kind| *kind == entry.kind).unwrap_or(usize::MAX),
            zone: intern_group(&mut self.zones, &entry.zone),
            cell: intern_group(&mut self.cells, &entry.cell),
            state: self.workers[worker].state,
        }
    }

    /// Forgets the names of workers that are long gone: where workers are replaced by others all day, they would pile
    /// up.
    fn evict_gone(&mut self, now: f64) {
        for worker in 0..self.workers.len() {
            let Presence::GoneSince(since) = self.workers[worker].presence else { continue };
            if now - since >= self.evict_after {
                self.save_start(worker);
                self.names.release(worker);
                self.workers[worker].presence = Presence::Evicted;
            }
        }
    }

    /// Keeps the start of a worker whose name is forgotten; one that started long ago needs none.
    fn save_start(&mut self, worker: usize) {
        let start = self.workers[worker].start;
        if start.at.is_none() {
            return;
        }
        if self.saved_starts.len() >= MAX_SAVED_STARTS {
            self.saved_starts.clear();
        }
        self.saved_starts.insert(self.names.name(worker), start);
    }
}

impl Worker {
    fn set_state(&mut self, now: f64, state: EndpointState) {
        self.state = state;
        self.presence = match self.presence {
            _ if state != EndpointState::Gone => Presence::Listed,
            Presence::Listed => Presence::GoneSince(now),
            gone => gone,
        };
    }
}

#[cfg(test)]
mod tests;
