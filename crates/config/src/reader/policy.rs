//! What the routing decisions go by: the policy's configuration, from the settings of limits and workers.

use super::bounds::MAX_SECONDS;
use super::host::random_seed;
use super::optional_section::OptionalSection;
use crate::document::Section;
use crate::model::WorkerSource;
use milletpath_policy::{PolicyConfig, Profile, RequestBudget};
use milletpath_protocol::registry;

/// Seconds between two turns of the gateway's clock: what a loop on a busy core keeps.
const TICK: f64 = 0.004;

/// The sections that hold the policy's settings, and what was read from others before.
pub struct PolicySources<'s, 'p> {
    pub top: &'s Section<'p>,
    pub limits: Option<&'s Section<'p>>,
    pub workers: Option<&'s Section<'p>>,
    /// Gateways of the fleet, at most.
    pub gateways: usize,
    pub profiles: Vec<Profile>,
    pub quotas: Vec<f64>,
    pub ceilings: Vec<f64>,
    /// Memory of each kind of worker, in MB.
    pub memory: Vec<f64>,
    /// Seconds for which a draining worker may still be sent requests.
    pub drain_grace: f64,
}

impl PolicySources<'_, '_> {
    /// Reads the policy's configuration. `source` decides whether the gateway subscribes to changes of the worker list.
    pub fn read(self, source: &WorkerSource) -> PolicyConfig {
        let (limits, workers) = (OptionalSection(self.limits), OptionalSection(self.workers));
        let seconds = |key, least, default| workers.number(key, "seconds", least..=MAX_SECONDS, default);
        PolicyConfig {
            seed: self.top.number("seed", "", 0.0..=9e15).map_or_else(random_seed, |seed| seed as u64),
            routers: self.gateways,
            profiles: self.profiles,
            quotas: self.quotas,
            rate_limits: self.ceilings,
            // Free retries are stated for the fleet: each gateway has its part of them.
            retry_budget: self
                .limits
                .and_then(|limits| rate_limit(limits, "retries"))
                .map(|budget| RequestBudget { free: budget.free / self.gateways as f64, ..budget }),
            max_in_flight: self
                .limits
                .and_then(|limits| in_flight(limits, self.gateways))
                .unwrap_or(f64::INFINITY),
            over_quota_weight: limits.number("over_quota", "", 0.0..=1.0, 1.0),
            max_attempts: limits.count("shots", "attempts", 1..=16, 4),
            can_cancel: workers.flag("cancels", true),
            can_request_loads: workers.flag("load_requests", true),
            reports_missing_functions: workers.flag("rejects_unloaded", false),
            // The registry streams to whoever asks, and is asked again when the stream breaks.
            watches_on_request: matches!(source, WorkerSource::Registry(_)),
            can_check_health: workers.flag("health_checks", true),
            health_checks_report_load: true,
            list_valid_for: match source {
                WorkerSource::List(_) => f64::INFINITY,
                WorkerSource::Registry(_) => registry::NOTICE_AFTER_END + self.drain_grace,
            },
            // The protocol leaves it to workers.
            draining_workers_reject: false,
            acceptance_valid_for: self.drain_grace,
            max_retry_after: Some(limits.number("come_back", "seconds", 0.0..=MAX_SECONDS, 1.0))
                .filter(|seconds| *seconds > 0.0),
            keep_alive: seconds("idle_timeout", 0.0, 10.0),
            load_budget: self.limits.and_then(|limits| rate_limit(limits, "load_rate_limit")),
            load_request_timeout: seconds("order_wait", 0.01, 30.0),
            initial_capacity: workers.number("initial_capacity", "capacity", 0.0..=1.0, 0.2),
            warm_up: seconds("warm_up", 0.0, 15.0),
            overload_multiple: workers.number("overload_multiple", "capacities", 0.0..=1000.0, 2.5),
            overload_window: seconds("overload_window", 0.0, 1.0),
            memory: self.memory,
            clock_resolution: TICK,
        }
    }
}

/// A rate limit as the policy has it: seconds of its window, how many are free in each, and for each request accepted.
fn rate_limit(limits: &Section<'_>, key: &'static str) -> Option<RequestBudget> {
    let section = limits.block(key)?;
    let window = section.number("window", "seconds", 0.001..=MAX_SECONDS);
    if !section.has("window") {
        section.report_missing("window", "10");
    }
    let free = section.number("free", "", 0.0..=1e9).unwrap_or(0.0);
    // Asked for also where the window is missing: a key that nobody asked for would be reported as unknown.
    let earned_per_request = section.number("share", "", 0.0..=1e3).unwrap_or(0.0);
    Some(RequestBudget { window: window?, free, earned_per_request })
}

/// Attempts in flight at one worker, over all gateways. Each gateway needs one at least, for when it reaches no other.
fn in_flight(limits: &Section<'_>, gateways: usize) -> Option<f64> {
    let most = limits.number("in_flight", "attempts at one worker", 1.0..=1e9)?;
    if most < gateways as f64 {
        let problem = format!("in_flight of {most} is less than one attempt for each of {gateways} gateways");
        limits.report(limits.offset_of("in_flight"), problem, format!("make it {gateways} or more"));
    }
    Some(most)
}
