//! What a worker model is built from, what it is given and what it reports.

use milletpath_protocol::worker::{InstanceState, Rejection};

/// The resources and the behaviour of a worker. Times are in seconds, memory is in MB.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSpec {
    /// Cores: jobs that run at the same time.
    pub cores: usize,
    /// Seconds of work that a core does in a second; 1 for the core that work is measured on.
    pub speed: f64,
    /// Memory for instances.
    pub memory: f64,
    /// Loads that proceed at the same time; more wait.
    pub concurrent_loads: usize,
    /// Jobs that it holds at most, running and waiting.
    pub queue: usize,
    /// Seconds after which an idle instance is unloaded.
    pub idle_timeout: f64,
    /// Whether it rejects a job whose function is not loaded, instead of loading it.
    pub rejects_unloaded: bool,
    /// Whether it loads one more instance by itself when all slots of a function are taken.
    pub loads_ahead: bool,
    /// The fraction of its capacity that it has right after its start.
    pub initial_capacity: f64,
    /// Seconds until it has its full capacity.
    pub warm_up: f64,
    /// While it warms up, work beyond this multiple of its present capacity overloads it.
    pub overload_multiple: f64,
    /// Seconds over which that work is summed.
    pub overload_window: f64,
}

impl WorkerSpec {
    /// Seconds of work that a warm worker does in a second.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * self.speed
    }
}

/// What all workers know of a function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionModel {
    /// Jobs that an instance runs at the same time.
    pub concurrency: u32,
    /// MB that an instance takes.
    pub memory: f64,
    /// Seconds of a fetch from an idle store.
    pub fetch: f64,
    /// Seconds that an instance takes to start once it is fetched.
    pub start: f64,
}

/// One invocation as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The function's number.
    pub function: u32,
    /// The function's figures.
    pub function_model: FunctionModel,
    /// Seconds on a core of speed 1.
    pub work: f64,
    /// Seconds of waiting on others after that, without a core.
    pub io: f64,
}

/// What happened at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerEvent {
    /// A job begins to run: its effect happens.
    JobStarted {
        /// The job.
        job: u64,
    },
    /// A job is done.
    JobCompleted {
        /// The job.
        job: u64,
        /// Whether an instance was there when it arrived.
        instance_state: InstanceState,
        /// Jobs of the same function that were here when it arrived.
        concurrent_requests: u32,
    },
    /// A job was rejected and did not run.
    JobRejected {
        /// The job.
        job: u64,
        /// Why.
        reason: Rejection,
        /// Whether a load that failed is the cause.
        load_failed: bool,
    },
    /// A load needs a fetch from the store, which [`fetch_ended`](super::WorkerModel::fetch_ended) answers.
    FetchStarted {
        /// The load.
        load: u64,
        /// The function's number.
        function: u32,
        /// Seconds that an idle store takes.
        seconds: f64,
    },
    /// A load request is carried out as far as possible.
    LoadRequestCompleted {
        /// The request.
        load_request: u64,
        /// Instances that are there now.
        instances: u32,
        /// Whether these are fewer than it asked for.
        failed: bool,
    },
    /// It is overloaded, and answers nothing from now on.
    Overloaded,
}

/// The figures of a worker's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadFigures {
    /// Jobs that it holds, running and waiting.
    pub in_flight: f64,
    /// Jobs without a core.
    pub queued: f64,
    /// The fraction of its cores that are busy.
    pub utilization: f64,
    /// The fraction of its memory that loading and busy instances take.
    pub memory: f64,
    /// Loads that proceed or wait.
    pub loading: f64,
}
