//! Workers that use few resources of the machine but have ample capacity for the requests that they get: for a first
//! run of a gateway and for the real gateways of a scale test.

use crate::context::{ContextOptions, EmulatorContext, ReportedFields};
use crate::store::StoreSpec;
use crate::worker::WorkerOptions;
use crate::worker_model::{FunctionModel, WorkerSpec};
use std::rc::Rc;
use std::time::Instant;

/// The resources and behaviour of such a worker.
const WORKER_SPEC: WorkerSpec = WorkerSpec {
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

/// Functions load quickly, so that the first request shows a load but does not wait long for it.
const FUNCTION: FunctionModel = FunctionModel { concurrency: 4, memory: 128.0, fetch: 0.1, start: 0.1 };

const STORE: StoreSpec =
    StoreSpec { unslowed_fetches: 16.0, max_fetches: 64, overload_rate: None, outage_seconds: 1.0 };

/// Seconds for which an idempotency key is remembered.
const IDEMPOTENCY_WINDOW: f64 = 60.0;

/// The group in which all of these workers share their idempotency keys.
const KEY_GROUP: u32 = 0;

/// The start options of such a worker, which is warm from the beginning.
#[must_use]
pub fn worker_options(number: usize) -> WorkerOptions {
    let started = -WORKER_SPEC.warm_up;
    WorkerOptions { number, key_group: KEY_GROUP, spec: WORKER_SPEC, started }
}

/// Creates the context of such workers.
#[must_use]
pub fn context(seed: u64) -> Rc<EmulatorContext> {
    let options = ContextOptions {
        seed,
        store: STORE,
        function_model: FUNCTION,
        reported_fields: ReportedFields::ALL,
        idempotency_window: IDEMPOTENCY_WINDOW,
    };
    EmulatorContext::new(Instant::now(), options)
}
