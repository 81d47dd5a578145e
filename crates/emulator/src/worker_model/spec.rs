//! The parameters, inputs and outputs of a worker model.

use milletpath_protocol::worker::{InstanceState, Rejection};

/// The resources and the behaviour of a worker. Times are in seconds, memory is in MB.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSpec {
    /// The number of cores, each of which runs one job.
    pub cores: usize,
    /// Seconds of work that a core does per second; 1 for the core on which work is measured.
    pub speed: f64,
    /// Memory for instances.
    pub memory: f64,
    /// The maximum number of concurrent loads; more are queued.
    pub concurrent_loads: usize,
    /// The maximum number of jobs, running and waiting.
    pub queue: usize,
    /// Seconds after which an idle instance is unloaded.
    pub idle_timeout: f64,
    /// Whether it rejects a job whose function is not loaded, instead of loading it.
    pub rejects_unloaded: bool,
    /// Whether it loads further instances on its own when all slots of a function are taken.
    pub loads_ahead: bool,
    /// The fraction of its capacity that is available right after its start.
    pub initial_capacity: f64,
    /// Seconds after its start until its full capacity is available.
    pub warm_up: f64,
    /// While it warms up, work beyond this multiple of its current capacity overloads it.
    pub overload_multiple: f64,
    /// Seconds over which that work is summed.
    pub overload_window: f64,
}

impl WorkerSpec {
    /// Seconds of work that a warm worker does per second.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * self.speed
    }
}

/// The resource needs of a function, which are the same on all workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionModel {
    /// The number of jobs that an instance runs concurrently.
    pub concurrency: u32,
    /// The memory of an instance in MB.
    pub memory: f64,
    /// Seconds that a fetch from an idle store takes.
    pub fetch: f64,
    /// Seconds that an instance takes to start after its fetch.
    pub start: f64,
}

/// An invocation that arrives at a worker.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The function's number.
    pub function: u32,
    /// The function's resource needs.
    pub function_model: FunctionModel,
    /// Seconds of work on a core of speed 1.
    pub work: f64,
    /// Seconds of waiting for I/O after the work, without a core.
    pub io: f64,
}

/// An event at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerEvent {
    /// A job starts to run: it takes effect.
    JobStarted {
        /// The job.
        job: u64,
    },
    /// A job is completed.
    JobCompleted {
        /// The job.
        job: u64,
        /// The instance state that it found on arrival.
        instance_state: InstanceState,
        /// The number of jobs of the same function on this worker when it arrived.
        concurrent_requests: u32,
    },
    /// A job was rejected and did not run.
    JobRejected {
        /// The job.
        job: u64,
        /// The reason.
        reason: Rejection,
        /// Whether a failed load is the cause.
        load_failed: bool,
    },
    /// A load needs a fetch from the store; [`fetch_ended`](super::WorkerModel::fetch_ended) reports the result.
    FetchStarted {
        /// The load.
        load: u64,
        /// The function's number.
        function: u32,
        /// Seconds that the fetch takes on an idle store.
        seconds: f64,
    },
    /// A load request has ended.
    LoadRequestCompleted {
        /// The load request.
        load_request: u64,
        /// The number of instances that now exist.
        instances: u32,
        /// Whether these are fewer than requested.
        failed: bool,
    },
    /// The worker is overloaded and no longer responds.
    Overloaded,
}

/// The figures of a worker's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadFigures {
    /// The number of jobs, running and waiting.
    pub in_flight: f64,
    /// The number of jobs without a core.
    pub queued: f64,
    /// The fraction of its cores that are busy.
    pub utilization: f64,
    /// The fraction of its memory that loading and busy instances use.
    pub memory: f64,
    /// The number of loads that are running or queued.
    pub loading: f64,
}
