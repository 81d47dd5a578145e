//! The values of a scenario.

use super::faults::ScheduledFault;
use crate::store::StoreSpec;
use crate::worker_model::{FunctionModel, WorkerSpec};
use milletpath_history_checker::{Idempotency, WindowLimit};

/// A fleet, its traffic, its rules, and the faults that are injected.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name of its file without the extension.
    pub name: String,
    /// Seed for all random numbers.
    pub seed: u64,
    /// Seconds for which clients send requests.
    pub seconds: f64,
    /// The number of gateways.
    pub gateways: usize,
    /// The number of cores of each gateway; `None` for all cores of the machine.
    pub cores: Option<usize>,
    /// Whether the gateways form a cluster and share their budgets; link faults apply only then.
    pub sharing: bool,
    /// The share of the clients' attempts that the busiest gateway gets, as a multiple of the mean.
    pub uneven: f64,
    /// The number of workers.
    pub workers: usize,
    /// The resources and behaviour of each worker.
    pub worker_spec: WorkerSpec,
    /// The store from which they load functions.
    pub store_spec: StoreSpec,
    /// The number of functions in the regular traffic.
    pub functions: usize,
    /// The Zipf exponent of the functions' popularity.
    pub zipf: f64,
    /// The resource needs of each function.
    pub function_model: FunctionModel,
    /// Parameters of the clients' requests.
    pub traffic: Traffic,
    /// The request profiles.
    pub profiles: Vec<Profile>,
    /// The client groups.
    pub groups: Vec<Group>,
    /// Settings of the checked rules and of the service counts.
    pub rules: RuleSettings,
    /// The faults, in the order of the file.
    pub faults: Vec<ScheduledFault>,
}

/// Parameters of the clients' requests.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Calls per second.
    pub rate: f64,
    /// Mean seconds of work on a core of speed 1.
    pub work: f64,
    /// Seconds of waiting for I/O after the work.
    pub io: f64,
    /// The size of a request's body in bytes.
    pub body: usize,
    /// The shortest timeout of an attempt, as a fraction of the profile's deadline; timeouts are uniformly distributed
    /// between it and the deadline.
    pub shortest_timeout: f64,
    /// The maximum number of retries by the client.
    pub retries: u32,
    /// Seconds before each retry.
    pub backoff: f64,
    /// The fraction of the calls that the client cancels.
    pub abandonment: f64,
}

/// The properties of one kind of request.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Its name in the gateways' configuration.
    pub name: String,
    /// Its share of the calls, relative to the others.
    pub share: f64,
    /// Seconds within which a response is on time.
    pub latency_objective: f64,
    /// Seconds after which a response is useless.
    pub deadline: f64,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// The weight of a response on time.
    pub importance: f64,
}

/// A group of clients that share a quota.
#[derive(Clone, Debug)]
pub struct Group {
    /// Its name in the gateways' configuration.
    pub name: String,
    /// Its share of the calls, relative to the others.
    pub share: f64,
    /// Calls per second to which it is entitled.
    pub quota: Option<f64>,
    /// The maximum number of its calls per second that are sent to workers, summed over all gateways.
    pub ceiling: Option<f64>,
}

/// Settings of the checked rules and of the service counts.
#[derive(Clone, Debug)]
pub struct RuleSettings {
    /// Seconds for which a draining worker still accepts requests.
    pub drain_grace: f64,
    /// The limit on load requests to one worker, summed over all gateways.
    pub load_rate_limit: Option<WindowLimit>,
    /// The limit on the gateways' retries, summed over all gateways.
    pub retries: Option<WindowLimit>,
    /// The limit on attempts in flight at one worker, summed over all gateways.
    pub in_flight: Option<f64>,
    /// Seconds for which an idempotency key is remembered.
    pub idempotency_window: f64,
    /// The weight of a late response, relative to one on time.
    pub late_weight: f64,
    /// The weight of calls beyond a quota, relative to those within it.
    pub over_quota_weight: f64,
    /// Seconds until the registry and the clients' load balancer notice that a process has ended.
    pub notification_delay: f64,
}
