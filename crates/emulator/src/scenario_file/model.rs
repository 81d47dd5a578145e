//! The values of a scenario.

use super::faults::ScheduledFault;
use crate::store::StoreSpec;
use crate::worker_model::{FunctionModel, WorkerSpec};
use milletpath_history_checker::{Idempotency, WindowLimit};

/// A fleet, its traffic, its rules, and the faults that are injected.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its file's name without the ending.
    pub name: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Seconds for which there are requests.
    pub seconds: f64,
    /// Gateways of the fleet.
    pub gateways: usize,
    /// Cores of each gateway; none for as many as the machine has.
    pub cores: Option<usize>,
    /// Whether the gateways are members of one cluster, over links on which faults can be injected, and share their budgets.
    pub sharing: bool,
    /// The busiest gateway gets so many times the mean of the clients' attempts.
    pub uneven: f64,
    /// Workers of the fleet.
    pub workers: usize,
    /// Each worker.
    pub worker_spec: WorkerSpec,
    /// The store that they load from.
    pub store_spec: StoreSpec,
    /// Functions that the usual traffic is for.
    pub functions: usize,
    /// The exponent of Zipf's law for the popularity of these.
    pub zipf: f64,
    /// Each function.
    pub function_model: FunctionModel,
    /// The clients' requests.
    pub traffic: Traffic,
    /// What requests are like.
    pub profiles: Vec<Profile>,
    /// Who sends them.
    pub groups: Vec<Group>,
    /// What is checked and how service is counted.
    pub rules: RuleSettings,
    /// The faults, in the order of the file.
    pub faults: Vec<ScheduledFault>,
}

/// The clients' requests.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Calls a second.
    pub rate: f64,
    /// Mean seconds of work on a core of speed 1.
    pub work: f64,
    /// Seconds of waiting on others after the work.
    pub io: f64,
    /// Bytes of a request's body.
    pub body: usize,
    /// The shortest timeout of an attempt, as a fraction of the profile's deadline; timeouts are spread evenly from there.
    pub shortest_timeout: f64,
    /// Retries by the client.
    pub retries: u32,
    /// Seconds before each retry.
    pub backoff: f64,
    /// The fraction of the calls that the client cancels.
    pub abandonment: f64,
}

/// What a kind of request is like.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Its name in the gateways' configuration.
    pub name: String,
    /// Its share of the calls, relative to the others.
    pub share: f64,
    /// Seconds within which a response is on time.
    pub latency_objective: f64,
    /// Seconds after which a response is of no use.
    pub deadline: f64,
    /// Whether it may run twice.
    pub idempotency: Idempotency,
    /// What a response on time counts.
    pub importance: f64,
}

/// A group of clients that share a quota.
#[derive(Clone, Debug)]
pub struct Group {
    /// Its name in the gateways' configuration.
    pub name: String,
    /// Its share of the calls, relative to the others.
    pub share: f64,
    /// Calls a second that it is entitled to.
    pub quota: Option<f64>,
    /// Calls a second that it may have sent to workers at all, over all gateways.
    pub ceiling: Option<f64>,
}

/// What the rules and the count of service go by.
#[derive(Clone, Debug)]
pub struct RuleSettings {
    /// Seconds that a draining worker still takes requests.
    pub drain_grace: f64,
    /// Load requests to one worker, over all gateways.
    pub load_rate_limit: Option<WindowLimit>,
    /// The gateways' retries, over all gateways.
    pub retries: Option<WindowLimit>,
    /// Attempts in flight at one worker, over all gateways.
    pub in_flight: Option<f64>,
    /// Seconds for which an idempotency key is known.
    pub idempotency_window: f64,
    /// What a late response counts, relative to one on time.
    pub late_weight: f64,
    /// What calls beyond a quota count, relative to those within it.
    pub over_quota_weight: f64,
    /// Seconds until the registry and the clients notice that a process is gone.
    pub notification_delay: f64,
}
