//! What a router is notified of: arrivals, endpoints, results of attempts, load reports. Times are seconds.

/// One activation as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub function: usize,
    /// What the function is called everywhere: its place on the ring.
    pub name: u64,
    pub profile: usize,
    pub client: usize,
    /// Seconds until the client gives up.
    pub patience: f64,
    /// A client's marked repeat.
    pub repeat: bool,
    /// Activations that one instance runs at a time.
    pub lanes: f64,
    /// Memory of one instance, in MB.
    pub memory: f64,
    /// The usual seconds of a load, where told.
    pub load: Option<f64>,
}

/// What a list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

/// One line of the worker list.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub worker: usize,
    /// What the worker is called everywhere: its place on the ring.
    pub name: u64,
    /// When it last started; none means long ago.
    pub started: Option<f64>,
    pub size: f64,
    pub kind: usize,
    pub zone: usize,
    pub cell: usize,
    pub state: State,
}

/// How a shot ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Handled,
    /// The worker reported an error; it may have run.
    Failed,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run, or may still.
    Overdue,
    /// No connection.
    Unreached,
    /// The connection broke; it may have run.
    Cut,
    /// Called off; it may have run.
    Withdrawn,
    /// Never sent.
    Unsent,
    /// The function is not loaded there, or its load failed.
    Missed,
}

impl Outcome {
    /// Whether this proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::Unreached | Self::Unsent | Self::Missed)
    }
}

/// What an answer tells of the instance it met.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Found {
    Loaded,
    BeganLoad,
    AwaitedLoad,
    LoadFailed,
}

/// A worker's report on itself; what it does not say is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Activations it holds.
    pub held: Option<f64>,
    /// Activations that wait there.
    pub waiting: Option<f64>,
    /// How busy its cores are, 0 to 1.
    pub busy: Option<f64>,
    /// Share of its memory that cannot be freed.
    pub memory: Option<f64>,
    /// Loads under way or waiting.
    pub loading: Option<f64>,
}

/// What came back of a shot.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    pub shot: usize,
    pub outcome: Outcome,
    /// The client has its final answer.
    pub settled: bool,
    /// Seconds since the shot was sent.
    pub latency: f64,
    pub found: Option<Found>,
    /// Activations of the same function that the worker held when this one came, where told.
    pub company: f64,
    pub report: Option<Report>,
}
