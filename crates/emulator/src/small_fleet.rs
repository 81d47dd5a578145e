//! Small workers that play without effort: what a newcomer's machine and a scale run's real gateways have.

use crate::context::{EmulatorContext, ReportedFields};
use crate::store::StoreSpec;
use crate::worker_model::{FunctionModel, WorkerSpec};
use std::rc::Rc;
use std::time::Instant;

/// A worker that has room for all that it is asked there.
pub const WORKER_SPEC: WorkerSpec = WorkerSpec {
    cores: 4,
    speed: 1.0,
    memory: 4096.0,
    concurrent_loads: 4,
    queue: 256,
    idle_timeout: 30.0,
    rejects_unloaded: false,
    loads_ahead: true,
    initial_capacity: 0.2,
    warm_up: 5.0,
    overload_multiple: 2.5,
    overload_window: 1.0,
};

/// Functions that load in a moment, so that the first call shows a load without making one wait.
const PACK: FunctionModel = FunctionModel { concurrency: 4, memory: 128.0, fetch: 0.1, start: 0.1 };

/// What such workers stand in.
pub fn context(seed: u64) -> Rc<EmulatorContext> {
    let store_spec =
        StoreSpec { unslowed_fetches: 16.0, max_fetches: 64, overload_rate: None, outage_seconds: 1.0 };
    let tells = ReportedFields { found: true, concurrent_requests: true, load: true };
    EmulatorContext::new(Instant::now(), seed, store_spec, PACK, tells, 60.0)
}
