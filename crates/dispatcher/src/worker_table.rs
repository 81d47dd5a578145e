//! Workers of the endpoint list, by the dispatcher's dense indices: addresses, processes, states and start times. The
//! dispatcher passes each update of the list to it and queries it when sending; the router decides what a worker's
//! state means for placement.

use crate::interner::Interner;
use crate::start_times::{StartTimes, is_different_process};
use milletpath_policy::{EndpointState, EndpointUpdate};
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of known workers; further workers in a list are ignored.
const MAX_WORKERS: usize = 65_536;

/// Maximum number of saved start times of evicted workers. When it is reached, all are dropped; workers that return
/// then go through slow start again.
const MAX_SAVED_STARTS: usize = 16_384;

/// When a process started.
#[derive(Clone, Copy, Default)]
struct ProcessStart {
    /// Unix timestamp from the endpoint list.
    timestamp: Option<f64>,
    /// Seconds on the monotonic clock; `None` means long ago.
    at: Option<f64>,
}

/// Whether a worker is listed.
#[derive(Clone, Copy)]
enum Presence {
    Listed,
    GoneSince(f64),
    /// Its name was released, and its index may be reused for another worker.
    Evicted,
}

/// A worker that is gone and still has its index, ordered by when it left the list.
#[derive(Clone, Copy, PartialEq)]
struct GoneWorker {
    since: f64,
    worker: usize,
}

impl Eq for GoneWorker {}

impl Ord for GoneWorker {
    fn cmp(&self, other: &Self) -> Ordering {
        self.since.total_cmp(&other.since).then(self.worker.cmp(&other.worker))
    }
}

impl PartialOrd for GoneWorker {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

struct Worker {
    address: SocketAddr,
    /// Changes with every new process at this index.
    process: u64,
    start: ProcessStart,
    state: EndpointState,
    presence: Presence,
}

/// The address of a worker and the number of the process there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerProcess {
    /// Address from the endpoint list.
    pub address: SocketAddr,
    /// Number that changes when another process takes over the worker's name or index.
    pub process: u64,
}

/// Identifies a version of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointRevision {
    /// Number of restarts of the dispatcher; worker indices are reassigned after each.
    pub generation: u64,
    /// Number of updates since the last restart.
    pub revision: u64,
}

pub(crate) struct WorkerTable {
    /// Bounded by [`MAX_WORKERS`].
    names: Interner,
    /// All zones and cells that were ever listed; their names are never released.
    zones: Interner,
    cells: Interner,
    kinds: Vec<String>,
    /// By index. Its length is the largest number of workers known at once.
    workers: Vec<Worker>,
    /// The workers that are to be evicted, each once.
    gone: BTreeSet<GoneWorker>,
    /// Seconds after which nothing sent to a worker that is gone can still be in flight, so that its index may be
    /// reused.
    evict_after: f64,
    pub(crate) start_times: StartTimes,
    /// Start times, by name, of evicted workers and of workers known before the last restart, so that a process that
    /// is listed again is not taken for a new one. Bounded by [`MAX_SAVED_STARTS`] plus the workers of one table.
    saved_starts: BTreeMap<Arc<str>, ProcessStart>,
    revision: u64,
    /// Number of tables before this one. It is part of every process number, so that a connection to a worker of an
    /// earlier table is never taken for one to a worker of this table.
    generation: u64,
}

impl WorkerTable {
    /// Creates an empty table. `kinds` are the configured kinds of workers, in the order of the router's
    /// configuration.
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
            gone: BTreeSet::new(),
            evict_after,
            start_times,
            saved_starts: BTreeMap::new(),
            revision: 0,
            generation,
        }
    }

    /// Creates the empty table that replaces this one after a restart. It keeps the start times of processes; if it
    /// converted their timestamps again, a wall clock stepped in the meantime could change them.
    pub(crate) fn next_generation(&self, seed: u64) -> Self {
        let mut saved_starts = self.saved_starts.clone();
        saved_starts
            .extend(self.workers().into_iter().map(|(worker, name)| (name, self.workers[worker].start)));
        let start_times = self.start_times.clone();
        let generation = self.generation + 1;
        Self { saved_starts, ..Self::new(&self.kinds, seed, start_times, generation, self.evict_after) }
    }

    /// The version of the list; its revision is 0 if no list has been received.
    pub(crate) fn revision(&self) -> EndpointRevision {
        EndpointRevision { generation: self.generation, revision: self.revision }
    }

    /// Index and name of each worker that is not gone.
    pub(crate) fn workers(&self) -> Vec<(usize, Arc<str>)> {
        let workers = self.workers.iter().enumerate();
        let listed = workers.filter(|(_, worker)| worker.state != EndpointState::Gone);
        listed.map(|(index, _)| (index, self.names.name(index))).collect()
    }

    /// Index of the worker with this name, unless it is gone.
    pub(crate) fn listed_worker(&self, name: &str) -> Option<usize> {
        self.names.get(name).filter(|&index| self.workers[index].state != EndpointState::Gone)
    }

    /// Number of workers that have an index, including those that are gone and not evicted yet.
    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }

    pub(crate) fn name(&self, worker: usize) -> Arc<str> {
        self.names.name(worker)
    }

    /// The process of a worker. For an index that was never assigned, it has an address that cannot be reached.
    pub(crate) fn process(&self, worker: usize) -> WorkerProcess {
        let unknown = WorkerProcess { address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)), process: 0 };
        self.workers.get(worker).map_or(unknown, |worker| {
            let Worker { address, process, .. } = *worker;
            WorkerProcess { address, process }
        })
    }

    /// When a worker's process started, in seconds on the monotonic clock; `None` means long ago.
    pub(crate) fn started(&self, worker: usize) -> Option<f64> {
        self.workers.get(worker).and_then(|worker| worker.start.at)
    }

    /// Applies one update of the list: the `complete` list, or only the entries that changed. Reports each entry to
    /// `on_update`.
    pub(crate) fn update(
        &mut self,
        now: f64,
        complete: bool,
        entries: &[EndpointEntry],
        mut on_update: impl FnMut(EndpointUpdate),
    ) {
        self.revision += 1;
        if complete {
            (0..self.workers.len()).for_each(|worker| self.set_state(now, worker, EndpointState::Gone));
        }
        self.evict_gone(now);
        for entry in entries {
            if let Some(worker) = self.update_worker(now, entry) {
                on_update(self.endpoint_update(worker, entry));
            }
        }
    }

    /// Applies one entry. Returns the worker's index, or `None` if too many workers are known.
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
        self.set_state(now, worker, state);
        Some(worker)
    }

    /// Adds a worker with an unknown name at an index that is new or was released.
    fn add_worker(&mut self, now: f64, worker: usize, entry: &EndpointEntry) {
        // A previous worker at this index was another process, with which this one shares nothing.
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

    /// Updates a worker with a known name. A different address or timestamp means a new process, in which nothing is
    /// loaded; without a new timestamp, the process counts as started now.
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
        // The router distinguishes processes by their start times, so a new process must start later than its
        // predecessor.
        let at = before.at.map_or(at, |before| at.max(before.next_up()));
        worker.start = ProcessStart { timestamp: entry.started, at: Some(at) };
    }

    /// Start of a worker with an unknown name.
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

    /// Converts an entry to an update for the router.
    fn endpoint_update(&mut self, worker: usize, entry: &EndpointEntry) -> EndpointUpdate {
        // A worker without a zone or cell is alone in its group: no other worker knows the idempotency keys that it
        // remembers.
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

    /// Evicts workers that have been gone for long. Otherwise the table would keep growing where workers are replaced
    /// by others with new names.
    fn evict_gone(&mut self, now: f64) {
        let is_due = |gone: &&GoneWorker| now - gone.since >= self.evict_after;
        let mut due: Vec<_> = self.gone.iter().take_while(is_due).copied().collect();
        due.sort_unstable_by_key(|gone| gone.worker);
        for gone in due {
            self.gone.remove(&gone);
            self.save_start(gone.worker);
            self.names.release(gone.worker);
            self.workers[gone.worker].presence = Presence::Evicted;
        }
    }

    fn set_state(&mut self, now: f64, worker: usize, state: EndpointState) {
        let record = &mut self.workers[worker];
        record.state = state;
        match record.presence {
            Presence::Listed if state == EndpointState::Gone => {
                record.presence = Presence::GoneSince(now);
                self.gone.insert(GoneWorker { since: now, worker });
            }
            Presence::GoneSince(since) if state != EndpointState::Gone => {
                record.presence = Presence::Listed;
                self.gone.remove(&GoneWorker { since, worker });
            }
            Presence::Listed | Presence::GoneSince(_) | Presence::Evicted => {}
        }
    }

    /// Saves the start of a worker that is being evicted, unless it started long ago.
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

#[cfg(test)]
mod tests;
