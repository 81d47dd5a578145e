//! What is known of each worker: its endpoint, what this router has in flight there, and what came back of it.

use crate::decay::Fading;
use crate::events::{Listing, State};
use std::ops::{Index, IndexMut};

/// When a worker last rejected attempts, apart for those that had to load and those that met an instance.
#[derive(Clone, Copy)]
pub(crate) struct RejectedAt {
    pub(crate) loading: f64,
    pub(crate) loaded: f64,
}

impl RejectedAt {
    pub(crate) fn last(self, warm: bool) -> f64 {
        if warm { self.loaded } else { self.loading }
    }

    pub(crate) fn set(&mut self, now: f64, warm: bool) {
        *(if warm { &mut self.loaded } else { &mut self.loading }) = now;
    }
}

/// A turn of a cold worker's window: when it began, and the shots that may still be sent in it.
#[derive(Clone, Copy)]
pub(crate) struct SlowStartTurn {
    pub(crate) began: f64,
    pub(crate) left: f64,
}

impl SlowStartTurn {
    const NONE: Self = Self { began: f64::NEG_INFINITY, left: 0.0 };
}

#[derive(Clone)]
pub(crate) struct Worker {
    /// What it is called on every router: its place on the ring.
    pub(crate) name: u64,
    pub(crate) state: State,
    /// When its process started; minus infinity means long ago.
    pub(crate) started: f64,
    pub(crate) size: f64,
    /// In MB; boundless where it is not known.
    pub(crate) memory: f64,
    pub(crate) zone: usize,
    pub(crate) cell: usize,
    /// This router's shots out there, and those of them that met an instance.
    pub(crate) in_flight: usize,
    pub(crate) in_flight_loaded: f64,
    /// When it last answered anything.
    pub(crate) answered_at: f64,
    pub(crate) rejected_at: RejectedAt,
    /// Reported load that is not this router's own; none until it reports.
    pub(crate) foreign_load: Option<f64>,
    /// How busy its cores were by that, 0 to 1; 1 where it does not say.
    pub(crate) utilization: f64,
    /// Whether that counts requests at work as well as those that wait.
    pub(crate) counts_running: bool,
    /// When the last report came.
    pub(crate) reported_at: f64,
    /// When a probe went out that is not answered yet; minus infinity where there is none.
    pub(crate) probed_at: f64,
    /// Distrust, 0 to 1.
    pub(crate) outlier_score: Fading,
    /// Where it is cold.
    pub(crate) turn: SlowStartTurn,
}

impl Worker {
    const UNKNOWN: Self = Self {
        name: 0,
        state: State::Gone,
        started: f64::NEG_INFINITY,
        size: 1.0,
        memory: f64::INFINITY,
        zone: 0,
        cell: 0,
        in_flight: 0,
        in_flight_loaded: 0.0,
        answered_at: f64::NEG_INFINITY,
        rejected_at: RejectedAt { loading: f64::NEG_INFINITY, loaded: f64::NEG_INFINITY },
        foreign_load: None,
        utilization: 1.0,
        counts_running: false,
        reported_at: f64::NEG_INFINITY,
        probed_at: f64::NEG_INFINITY,
        outlier_score: Fading { sum: 0.0, at: 0.0 },
        turn: SlowStartTurn::NONE,
    };

    pub(crate) fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// Takes on one endpoint of the list, with the memory of its kind; tells whether it is another process than before.
    fn listed(&mut self, endpoint: &Listing, memory: f64) -> bool {
        let started = endpoint.started.unwrap_or(f64::NEG_INFINITY);
        // The index of one that is forgotten: nothing of that one holds for this.
        let other = self.name != endpoint.name;
        let anew = other || started > self.started;
        if anew {
            // A new process: empty, cold, and not to be blamed for the old one.
            self.started = started;
            self.outlier_score = Fading::default();
            self.foreign_load = None;
            self.turn = SlowStartTurn::NONE;
        }
        self.name = endpoint.name;
        self.state = endpoint.state;
        self.size = if endpoint.size.is_finite() && endpoint.size > 0.0 { endpoint.size } else { 1.0 };
        self.memory = memory;
        self.zone = endpoint.zone;
        self.cell = endpoint.cell;
        anew
    }
}

/// All workers, under the host's index.
#[derive(Default)]
pub(crate) struct WorkerTable {
    workers: Vec<Worker>,
}

impl WorkerTable {
    /// Takes on one endpoint of the list; tells whether it is another process than before.
    pub(crate) fn listed(&mut self, endpoint: &Listing, memory: f64) -> bool {
        if endpoint.worker >= self.workers.len() {
            self.workers.resize(endpoint.worker + 1, Worker::UNKNOWN);
        }
        self.workers[endpoint.worker].listed(endpoint, memory)
    }

    /// A complete list begins: who is not on it is gone.
    pub(crate) fn renewed(&mut self) {
        self.workers.iter_mut().for_each(|w| w.state = State::Gone);
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
