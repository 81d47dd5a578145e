//! The interface between the decisions and whatever carries them out: the calls a router makes on its host,
//! and the plain words in which both sides speak. Times are seconds; workers, functions and activations are
//! small indices that the host hands out.

/// What a router asks of its surroundings. Nothing here answers at once; results come back as router calls.
pub trait Effects {
    /// Starts one more shot of the activation; it is abandoned at `until`.
    fn send_attempt(&mut self, activation: usize, worker: usize, until: f64);
    /// Stops waiting for a shot that was sent before.
    fn cancel_attempt(&mut self, activation: usize, shot: usize);
    /// Final answer: not taken, trying again does no harm. `come_back` advises how long to stay away.
    fn reject(&mut self, activation: usize, come_back: Option<f64>);
    /// Final answer: failed, with no promise about effects.
    fn fail(&mut self, activation: usize);
    /// Orders that at least `copies` instances of the function be held on the worker; 0 only asks.
    fn request_load(&mut self, worker: usize, function: usize, copies: u8);
    /// Unloads the idle instances of the function on the worker.
    fn unload(&mut self, worker: usize, function: usize);
    /// Asks a worker how it is.
    fn probe(&mut self, worker: usize);
    /// Asks for a [`woken`](crate::policy::Router::woken) call after so many seconds.
    fn wake_after(&mut self, after: f64);
    /// Asks the registry to pass on changes of the worker list from now on.
    fn watch_endpoints(&mut self);
    /// The router will not name this activation again; its index may be given to another.
    fn release_request(&mut self, activation: usize);
    /// The router knows nothing of this function any more; its index may be given to another.
    fn release_function(&mut self, function: usize);
    /// Something was not done for want of a budget that all routers share.
    fn budget_exhausted(&mut self, _what: Budget) {}
}

/// What all routers together may use of something, and this one a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Budget {
    /// Activations a second of a client group within its share.
    Quota(usize),
    /// Activations a second of a client group that may be sent at all.
    Ceiling(usize),
    /// Free orders to load within the ration's window.
    Orders,
    /// Free further shots within their window.
    Retries,
    /// Shots out at a worker.
    Hand(usize),
}

/// How harmful it is to run an activation twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may run again.
    Pure,
    /// Workers of one group drop repeats for `memory` seconds.
    Receipted { group: KeyScope, memory: f64 },
    /// It must never run twice.
    Effectful,
}

/// The workers among which the repeat of a receipted activation is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum KeyScope {
    All,
    Zone,
    Cell,
}

/// A kind of activation.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Seconds within which an answer is wanted.
    pub latency_objective: f64,
    pub idempotency: Idempotency,
}

/// What an installation states when a router starts.
#[derive(Clone, Debug)]
pub struct PolicyConfig {
    pub seed: u64,
    /// Routers that share the workers, this one included.
    pub routers: usize,
    pub profiles: Vec<Profile>,
    /// Activations a second, over all routers, within the share of each client group.
    pub quotas: Vec<f64>,
    /// Activations a second, over all routers, that each client group may have sent at all; boundless where it is not
    /// stated.
    pub rate_limits: Vec<f64>,
    /// Further shots of activations: window, free ones, and for each activation taken; boundless where not stated.
    pub retry_budget: Option<(f64, f64, f64)>,
    /// Shots out at a worker, over all routers.
    pub max_in_flight: f64,
    /// The importance of an activation beyond its client group's share.
    pub over_quota_weight: f64,
    /// Shots an activation may have.
    pub max_attempts: usize,
    pub can_cancel: bool,
    /// Orders to hold and unload are possible.
    pub can_request_loads: bool,
    /// A worker without the function answers a miss rather than load it unasked.
    pub reports_missing_functions: bool,
    /// Changes of the worker list come only when asked for.
    pub watches_on_request: bool,
    /// Workers may be probed, and tell their load when they are.
    pub can_probe: bool,
    /// The longest advice to stay away that clients heed; none where they are told nothing.
    pub max_retry_after: Option<f64>,
    /// Seconds an idle instance remains at least.
    pub keep_alive: f64,
    /// The ration of orders to load: window, free orders, orders for each activation taken.
    pub load_budget: Option<(f64, f64, f64)>,
    /// Seconds after which an order to hold counts as unanswered.
    pub load_request_timeout: f64,
    /// A worker starts at this part of its capacity or above ...
    pub initial_capacity: f64,
    /// ... and is warm after this many seconds.
    pub warm_up: f64,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long, it falls over.
    pub overload_window: f64,
    /// Memory of each kind of worker, in MB; empty where it is not stated.
    pub memory: Vec<f64>,
    /// The least time between two turns of the router.
    pub clock_resolution: f64,
}

/// One activation as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub function: usize,
    /// What the function is called everywhere: its place on the ring.
    pub name: u64,
    pub profile: usize,
    pub client: usize,
    /// Seconds until the client gives up.
    pub timeout: f64,
    /// A client's marked repeat.
    pub is_retry: bool,
    /// Activations that one instance runs at a time.
    pub concurrency: f64,
    /// Memory of one instance, in MB.
    pub memory: f64,
    /// The usual seconds of a load, where told.
    pub load_time: Option<f64>,
}

/// What a list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointState {
    Ready,
    Draining,
    Gone,
}

/// One line of the worker list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate {
    pub worker: usize,
    /// What the worker is called everywhere: its place on the ring.
    pub name: u64,
    /// When it last started; none means long ago.
    pub started_at: Option<f64>,
    pub size: f64,
    pub kind: usize,
    pub zone: usize,
    pub cell: usize,
    pub state: EndpointState,
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
pub enum InstanceState {
    Loaded,
    BeganLoad,
    AwaitedLoad,
    LoadFailed,
}

/// A worker's report on itself; what it does not say is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Activations it holds.
    pub in_flight: Option<f64>,
    /// Activations that wait there.
    pub queued: Option<f64>,
    /// How busy its cores are, 0 to 1.
    pub utilization: Option<f64>,
    /// Share of its memory that cannot be freed.
    pub memory: Option<f64>,
    /// Loads under way or waiting.
    pub loading: Option<f64>,
}

/// What came back of a shot.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCompletion {
    pub attempt: usize,
    pub outcome: Outcome,
    /// The client has its final answer.
    pub is_final: bool,
    /// Seconds since the shot was sent.
    pub latency: f64,
    pub instance_state: Option<InstanceState>,
    /// Activations of the same function that the worker held when this one came, where told.
    pub in_flight_of_function: f64,
    pub report: Option<LoadReport>,
}
