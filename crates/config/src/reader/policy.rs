//! The configuration of the routing policy, from the settings in the sections `limits` and `workers`.

use super::bounds::MAX_SECONDS;
use super::host::random_seed;
use super::optional_section::OptionalSection;
use crate::document::Section;
use crate::model::WorkerSource;
use milletpath_policy::{DEFAULT_FUNCTION_MEMORY, PolicyConfig, Profile, RequestBudget, SizeMeaning};
use milletpath_protocol::registry;

/// Resolution of the gateway's timers, in seconds: the interval that an event loop sustains on a busy core.
const CLOCK_RESOLUTION: f64 = 0.004;

/// The sections with the policy's settings, and the values that were already read from other sections.
pub struct PolicyInputs<'s, 'p> {
    pub top: &'s Section<'p>,
    pub limits: Option<&'s Section<'p>>,
    pub workers: Option<&'s Section<'p>>,
    /// Maximum number of gateways in the fleet.
    pub gateways: usize,
    pub profiles: Vec<Profile>,
    pub quotas: Vec<f64>,
    pub ceilings: Vec<f64>,
    /// Memory of each kind of worker, in MB.
    pub memory: Vec<f64>,
    /// Seconds for which a draining worker may still be sent requests.
    pub drain_grace: f64,
}

impl PolicyInputs<'_, '_> {
    /// Reads the policy's configuration. `source` determines whether the gateway subscribes to changes of the worker list,
    /// and for how long the list is valid.
    pub fn read(self, source: &WorkerSource) -> PolicyConfig {
        let (limits, workers) = (OptionalSection(self.limits), OptionalSection(self.workers));
        let seconds = |key, min, default| workers.number(key, "seconds", min..=MAX_SECONDS, default);
        PolicyConfig {
            seed: self.top.number("seed", "", 0.0..=9e15).map_or_else(random_seed, |seed| seed as u64),
            routers: self.gateways,
            profiles: self.profiles,
            quotas: self.quotas,
            rate_limits: self.ceilings,
            // The number of free retries is configured for the whole fleet, and each gateway gets an equal part.
            retry_budget: self
                .limits
                .and_then(|limits| read_budget(limits, "retries"))
                .map(|budget| RequestBudget { free: budget.free / self.gateways as f64, ..budget }),
            max_in_flight: self
                .limits
                .and_then(|limits| read_max_in_flight(limits, self.gateways))
                .unwrap_or(f64::INFINITY),
            over_quota_weight: limits.number("over_quota", "", 0.0..=1.0, 1.0),
            max_attempts: limits.count("shots", "attempts", 1..=16, 4),
            can_cancel: workers.flag("cancels", true),
            can_request_loads: workers.flag("load_requests", true),
            reports_missing_functions: workers.flag("rejects_unloaded", false),
            // The registry streams changes to subscribers only, and a gateway subscribes again when its stream ends.
            watches_on_request: matches!(source, WorkerSource::Registry(_)),
            can_check_health: workers.flag("health_checks", true),
            health_checks_report_load: true,
            list_valid_for: match source {
                WorkerSource::List(_) => f64::INFINITY,
                WorkerSource::Registry(_) => registry::NOTICE_AFTER_END + self.drain_grace,
            },
            // The protocol leaves it to the worker whether it rejects requests while it drains.
            draining_workers_reject: false,
            acceptance_valid_for: self.drain_grace,
            max_retry_after: Some(limits.number("come_back", "seconds", 0.0..=MAX_SECONDS, 1.0))
                .filter(|seconds| *seconds > 0.0),
            keep_alive: seconds("idle_timeout", 0.0, 10.0),
            load_budget: self.limits.and_then(|limits| read_budget(limits, "load_rate_limit")),
            load_request_timeout: seconds("order_wait", 0.01, 30.0),
            initial_capacity: workers.number("initial_capacity", "capacity", 0.0..=1.0, 0.2),
            warm_up: seconds("warm_up", 0.0, 15.0),
            overload_multiple: workers.number("overload_multiple", "capacities", 0.0..=1000.0, 2.5),
            overload_window: seconds("overload_window", 0.0, 1.0),
            size_meaning: SizeMeaning::Capacity,
            function_memory: DEFAULT_FUNCTION_MEMORY,
            memory: self.memory,
            clock_resolution: CLOCK_RESOLUTION,
        }
    }
}

/// Reads a request budget: the length of its window in seconds, the free requests in each window, and the requests earned
/// by each accepted request.
fn read_budget(limits: &Section<'_>, key: &'static str) -> Option<RequestBudget> {
    let section = limits.block(key)?;
    let window = section.number("window", "seconds", 0.001..=MAX_SECONDS);
    if !section.has("window") {
        section.report_missing("window", "10");
    }
    let free = section.number("free", "", 0.0..=1e9).unwrap_or(0.0);
    // Read even if the window is missing, since a key that is never requested is reported as unknown.
    let earned_per_request = section.number("share", "", 0.0..=1e3).unwrap_or(0.0);
    Some(RequestBudget { window: window?, free, earned_per_request })
}

/// Reads the maximum number of attempts in flight at one worker, over all gateways. It must allow at least one for each
/// gateway, for the time when a gateway can't reach any other.
fn read_max_in_flight(limits: &Section<'_>, gateways: usize) -> Option<f64> {
    let max_in_flight = limits.number("in_flight", "attempts at one worker", 1.0..=1e9)?;
    if max_in_flight < gateways as f64 {
        let problem =
            format!("in_flight of {max_in_flight} is less than one attempt for each of {gateways} gateways");
        limits.report(limits.offset_of("in_flight"), problem, format!("make it {gateways} or more"));
    }
    Some(max_in_flight)
}
