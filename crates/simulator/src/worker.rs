//! A worker process: the emulator's model, and the attempts and load requests that await an answer.

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

/// The current process of a worker, or the last one if none is running.
pub(crate) struct Worker {
    pub model: WorkerModel,
    /// Number of the process among those of the worker, from 0.
    pub process: u64,
    pub alive: bool,
    /// Accepted attempts, by the model's job ID.
    pub jobs: BTreeMap<u64, AcceptedAttempt>,
    /// Pending load requests, by the model's load request ID.
    pub load_requests: BTreeMap<u64, LoadRequest>,
    /// The fraction of attempts that the worker fails immediately.
    pub failure_fraction: f64,
    /// Time at which its timer is due; infinity if none is set.
    pub timer: f64,
}

impl Worker {
    /// Creates a process that starts at the given time, in seconds.
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

/// Converts the state in which a request found its function from the protocol's type to the policy's.
pub(crate) fn instance_state(found: WireInstanceState) -> InstanceState {
    match found {
        WireInstanceState::Loaded => InstanceState::Loaded,
        WireInstanceState::LoadStarted => InstanceState::LoadStarted,
        WireInstanceState::LoadAwaited => InstanceState::LoadAwaited,
        WireInstanceState::LoadFailed => InstanceState::LoadFailed,
    }
}
