//! State of each worker: its endpoint, this router's attempts there, and their results. Times are in seconds.

use crate::acceptance::Acceptance;
use crate::decay::DecayingSum;
use crate::events::{EndpointState, EndpointUpdate};
use crate::request_state::Attempt;
use crate::worker_size::{LargestByKind, SizeMeaning};
use std::ops::{Index, IndexMut};

/// When a worker last rejected attempts, separately for those that needed a load and those to a loaded instance.
#[derive(Clone, Copy)]
pub(crate) struct RejectedAt {
    pub(crate) loading: f64,
    pub(crate) loaded: f64,
}

impl RejectedAt {
    /// When it last rejected an attempt of this kind.
    pub(crate) fn last(self, warm: bool) -> f64 {
        if warm { self.loaded } else { self.loading }
    }

    /// Records that it rejects an attempt of this kind now.
    pub(crate) fn set(&mut self, now: f64, warm: bool) {
        *(if warm { &mut self.loaded } else { &mut self.loading }) = now;
    }
}

/// A slot of a worker's slow-start window: when it began, and the attempts that may still be sent in it.
#[derive(Clone, Copy)]
pub(crate) struct SlowStartSlot {
    pub(crate) began_at: f64,
    pub(crate) attempts_left: f64,
}

impl SlowStartSlot {
    const NONE: Self = Self { began_at: f64::NEG_INFINITY, attempts_left: 0.0 };
}

/// A worker, as far as this router knows it.
#[derive(Clone)]
pub(crate) struct Worker {
    /// Hash of the worker's name, the same on every router: determines its points on the hash ring.
    pub(crate) name: u64,
    pub(crate) state: EndpointState,
    /// Counts the processes that this router has known by this index.
    pub(crate) process: u64,
    /// When its process started; minus infinity means long ago.
    pub(crate) started_at: f64,
    /// Its capacity in relation to other workers.
    pub(crate) size: f64,
    /// Index of its kind.
    pub(crate) kind: usize,
    /// In MB; infinite if unknown.
    pub(crate) memory: f64,
    pub(crate) zone: usize,
    pub(crate) cell: usize,
    /// This router's attempts in flight there, and those of them that were sent to a loaded instance.
    pub(crate) in_flight: usize,
    pub(crate) in_flight_loaded: f64,
    /// When it last answered an attempt.
    pub(crate) answered_at: f64,
    pub(crate) rejected_at: RejectedAt,
    /// Requests of other routers there by its last report; `None` until it reports.
    pub(crate) other_routers_load: Option<f64>,
    /// CPU utilization by that report, 0 to 1; 1 if the report does not contain it.
    pub(crate) utilization: f64,
    /// Whether that report counts running requests as well as queued ones.
    pub(crate) counts_running: bool,
    /// When the last report arrived.
    pub(crate) reported_at: f64,
    /// When the unanswered health check was sent; minus infinity if there is none.
    pub(crate) health_check_sent_at: f64,
    /// Its own statements on whether it takes new work.
    pub(crate) acceptance: Acceptance,
    /// Outlier score, 0 to 1.
    pub(crate) outlier_score: DecayingSum,
    /// The current slot of its slow-start window.
    pub(crate) slow_start_slot: SlowStartSlot,
}

impl Worker {
    const UNKNOWN: Self = Self {
        name: 0,
        state: EndpointState::Gone,
        process: 0,
        started_at: f64::NEG_INFINITY,
        size: 1.0,
        kind: usize::MAX,
        memory: f64::INFINITY,
        zone: 0,
        cell: 0,
        in_flight: 0,
        in_flight_loaded: 0.0,
        answered_at: f64::NEG_INFINITY,
        rejected_at: RejectedAt { loading: f64::NEG_INFINITY, loaded: f64::NEG_INFINITY },
        other_routers_load: None,
        utilization: 1.0,
        counts_running: false,
        reported_at: f64::NEG_INFINITY,
        health_check_sent_at: f64::NEG_INFINITY,
        acceptance: Acceptance::UNKNOWN,
        outlier_score: DecayingSum { sum: 0.0, at: 0.0 },
        slow_start_slot: SlowStartSlot::NONE,
    };

    /// Whether an attempt was decided on for an earlier process.
    pub(crate) fn has_replaced_process_of(&self, attempt: &Attempt) -> bool {
        attempt.process != self.process
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Updates the worker from an endpoint of the list and the memory of its kind; returns whether it is a new
    /// process.
    fn update(&mut self, endpoint: &EndpointUpdate, memory: f64, size_meaning: SizeMeaning) -> bool {
        let started_at = endpoint.started_at.unwrap_or(f64::NEG_INFINITY);
        // The index belonged to another worker, whose state does not apply to this one.
        let is_other_worker = self.name != endpoint.name;
        let is_new_process = is_other_worker || started_at > self.started_at;
        if is_new_process {
            // A new process has no instances, is in slow start, and is not responsible for the faults of the old one.
            self.started_at = started_at;
            self.process += 1;
            self.outlier_score = DecayingSum::default();
            self.other_routers_load = None;
            self.acceptance = Acceptance::UNKNOWN;
            self.slow_start_slot = SlowStartSlot::NONE;
        }
        self.name = endpoint.name;
        self.state = endpoint.state;
        let listed_size = if endpoint.size.is_finite() && endpoint.size > 0.0 { endpoint.size } else { 1.0 };
        let known_size = (!is_new_process).then_some(self.size);
        self.size = size_meaning.capacity(listed_size, known_size);
        self.kind = endpoint.kind;
        self.memory = memory;
        self.zone = endpoint.zone;
        self.cell = endpoint.cell;
        is_new_process
    }
}

/// What an update of a worker has changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerChange {
    /// Whether it is a new process.
    pub(crate) is_new_process: bool,
    /// Factor by which the capacity assumed for the workers of its kind has grown, at least 1.
    pub(crate) capacity_growth: f64,
}

/// All workers, by the host's index.
#[derive(Default)]
pub(crate) struct WorkerTable {
    workers: Vec<Worker>,
    size_meaning: SizeMeaning,
    largest_by_kind: LargestByKind,
    /// Workers that were updated since [`take_updated`](Self::take_updated) was last called.
    updated: Vec<usize>,
}

impl WorkerTable {
    /// Creates an empty table.
    pub(crate) fn new(size_meaning: SizeMeaning) -> Self {
        Self { size_meaning, ..Self::default() }
    }

    /// Updates a worker from an endpoint of the list and the memory of its kind.
    pub(crate) fn update(&mut self, endpoint: &EndpointUpdate, memory: f64) -> WorkerChange {
        if endpoint.worker >= self.workers.len() {
            self.workers.resize(endpoint.worker + 1, Worker::UNKNOWN);
        }
        self.updated.push(endpoint.worker);
        let worker = &mut self.workers[endpoint.worker];
        let is_new_process = worker.update(endpoint, memory, self.size_meaning);
        let capacity_growth = match self.size_meaning {
            SizeMeaning::Capacity => 1.0,
            SizeMeaning::FreeCapacity => self.largest_by_kind.record(worker.kind, worker.size),
        };
        WorkerChange { is_new_process, capacity_growth }
    }

    /// An upper bound of a worker's capacity, as far as it is known. A busy worker whose size shrinks with its load may
    /// have the capacity of the largest worker of its kind.
    pub(crate) fn max_size(&self, worker: &Worker) -> f64 {
        match self.size_meaning {
            SizeMeaning::Capacity => worker.size,
            SizeMeaning::FreeCapacity => self.largest_by_kind.at_least(worker.kind, worker.size),
        }
    }

    /// Returns the workers that were updated since the last call, with repetitions.
    pub(crate) fn take_updated(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.updated)
    }

    /// Begins a complete list: endpoints that are not in it are gone.
    pub(crate) fn begin_full_list(&mut self) {
        self.workers.iter_mut().for_each(|w| w.state = EndpointState::Gone);
        self.updated = (0..self.workers.len()).collect();
    }

    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(crate) fn get(&self, worker: usize) -> Option<&Worker> {
        self.workers.get(worker)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter()
    }
}

impl Index<usize> for WorkerTable {
    type Output = Worker;

    fn index(&self, worker: usize) -> &Worker {
        &self.workers[worker]
    }
}

impl IndexMut<usize> for WorkerTable {
    fn index_mut(&mut self, worker: usize) -> &mut Worker {
        &mut self.workers[worker]
    }
}
