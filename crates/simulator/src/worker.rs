//! A worker's process: the emulator's model of it, and what gateways wait for there.

use crate::event::{GatewayAttempt, LoadRequest};
use milletpath_emulator::worker_model::{LoadFigures, WorkerModel, WorkerSpec};
use milletpath_policy::{InstanceState, LoadReport};
use milletpath_protocol::worker::InstanceState as WireInstanceState;
use std::collections::BTreeMap;

/// An attempt that a worker has accepted.
#[derive(Clone, Copy)]
pub(crate) struct AcceptedAttempt {
    pub attempt: GatewayAttempt,
    pub call: usize,
    /// Whether it has an idempotency key.
    pub has_key: bool,
}

/// The process of a worker that runs, or that ran last.
pub(crate) struct Worker {
    pub model: WorkerModel,
    /// Counts the worker's processes from 0.
    pub process: u64,
    pub alive: bool,
    /// By the model's number of the job.
    pub jobs: BTreeMap<u64, AcceptedAttempt>,
    /// By the model's number of the load request.
    pub load_requests: BTreeMap<u64, LoadRequest>,
    /// The fraction of its attempts that it fails at once.
    pub failure_fraction: f64,
    /// When its timer is due; infinite where none is set.
    pub timer: f64,
}

impl Worker {
    /// A process that starts at a time, in seconds.
    pub fn new(spec: WorkerSpec, started: f64, process: u64) -> Self {
        Self {
            model: WorkerModel::new(spec, started),
            process,
            alive: true,
            jobs: BTreeMap::new(),
            load_requests: BTreeMap::new(),
            failure_fraction: 0.0,
            timer: f64::INFINITY,
        }
    }

    /// The load that the worker reports to gateways.
    pub fn load_report(&self) -> LoadReport {
        let LoadFigures { in_flight, queued, utilization, memory, loading } = self.model.load_figures();
        LoadReport {
            in_flight: Some(in_flight),
            queued: Some(queued),
            utilization: Some(utilization),
            memory: Some(memory),
            loading: Some(loading),
        }
    }
}

/// The state in which a request found its function, as the decisions know it.
pub(crate) fn instance_state(found: WireInstanceState) -> InstanceState {
    match found {
        WireInstanceState::Loaded => InstanceState::Loaded,
        WireInstanceState::LoadStarted => InstanceState::LoadStarted,
        WireInstanceState::LoadAwaited => InstanceState::LoadAwaited,
        WireInstanceState::LoadFailed => InstanceState::LoadFailed,
    }
}
