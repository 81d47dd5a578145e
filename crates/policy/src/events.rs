//! Events that a router is notified of: arrivals, endpoints, results of attempts, load reports. Times are
//! seconds.

/// A request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Index of its function.
    pub function: usize,
    /// A hash of the function's name that is the same on every router: its key on the hash ring.
    pub name: u64,
    /// Index of its profile.
    pub profile: usize,
    /// Index of its client group.
    pub client: usize,
    /// Seconds until the client gives up.
    pub timeout: f64,
    /// The client marked it as a retry of its own.
    pub is_retry: bool,
    /// Requests that one instance runs at a time.
    pub concurrency: f64,
    /// Memory of one instance, in MB.
    pub memory: f64,
    /// The usual seconds of a load, where they are known.
    pub load_time: Option<f64>,
}

/// EndpointState of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It shuts down gracefully and takes no new requests.
    Draining,
    /// It is not in the list any more.
    Gone,
}

/// An endpoint of the list of workers.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate {
    /// Index of the worker.
    pub worker: usize,
    /// A hash of the worker's name that is the same on every router: its place on the hash ring.
    pub name: u64,
    /// When its process started, in seconds of the router's clock; none means long ago.
    pub started_at: Option<f64>,
    /// Its size in relation to other workers; 1 where this is not a positive number.
    pub size: f64,
    /// Index of its kind, which states its memory.
    pub kind: usize,
    /// Its zone.
    pub zone: usize,
    /// Its cell, a part of a zone.
    pub cell: usize,
    /// Whether it takes requests.
    pub state: EndpointState,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The worker answered.
    Succeeded,
    /// The worker reported an error; the request may have run.
    Failed,
    /// The worker rejected it before it ran, as its queue was full.
    Rejected,
    /// No answer in time; it may have run, or may still.
    TimedOut,
    /// No connection could be made.
    Unreachable,
    /// The connection was lost; it may have run.
    ConnectionLost,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// The function is not loaded there, or its load failed.
    NotLoaded,
}

impl Outcome {
    /// Whether this proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::Unreachable | Self::NotSent | Self::NotLoaded)
    }
}

/// EndpointState of the instance that an attempt met.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InstanceState {
    /// It was loaded.
    Loaded,
    /// The attempt started its load.
    LoadStarted,
    /// The attempt waited for a load that was under way.
    LoadAwaited,
    /// Its load failed.
    LoadFailed,
}

/// A worker's load report; what it does not state is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests there, running and queued.
    pub in_flight: Option<f64>,
    /// Requests that are queued there.
    pub queued: Option<f64>,
    /// Utilization of its cores, 0 to 1.
    pub utilization: Option<f64>,
    /// Part of its memory that cannot be freed, 0 to 1.
    pub memory: Option<f64>,
    /// Loads under way or queued.
    pub loading: Option<f64>,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCompletion {
    /// Index of the attempt among those of its request.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// The client has its final answer.
    pub is_final: bool,
    /// Seconds since the attempt was sent.
    pub latency: f64,
    /// EndpointState of the instance that it met, where it is known.
    pub instance_state: Option<InstanceState>,
    /// Requests of the same function that the worker had when this one came, where known.
    pub in_flight_of_function: f64,
    /// The load report that came with it.
    pub report: Option<LoadReport>,
}
