//! Overload protection: whether the requests on a worker would take too much of a new request's time.

use crate::router_state::RouterState;

/// Fraction of the latency objective that may pass on a worker on average; the rest is for variance and for queueing
/// in the router. The second part shrinks with the square root of the number of routers, because less of a worker's
/// queue is known to each of them.
const TIME_SHARE: f64 = 0.36;
const SINGLE_ROUTER_TIME_SHARE: f64 = 0.24;

/// While answers are fast, the measured rate is the demand rather than the worker's capacity. The capacity may be up
/// to this multiple of it.
const MAX_GROWTH: f64 = 2.0;

/// Minimum number of attempts allowed beyond the measured rate. The limit for reported load allows one per unit of
/// worker size, or fewer if the mean latency exceeds the allowed time, but no less than this.
const MIN_EXTRA_ATTEMPTS: f64 = 1.0;

/// The times that limit how much a worker may have in flight for a request, in seconds.
#[derive(Clone, Copy)]
pub(crate) struct TimeBounds {
    /// The request's latency objective.
    pub(crate) latency_objective: f64,
    /// Time until the client gives up.
    pub(crate) time_left: f64,
    /// Latency of the function, relative to the mean of all functions.
    pub(crate) relative_latency: f64,
}

impl RouterState {
    /// Whether the requests on a worker would take too much of a new request's time, at the peak throughput for the
    /// worker's size (Little's law). Counts this router's attempts, if `warm`, and the requests of the worker's load
    /// report. Near the limit the decision is random, because all routers read the same report.
    pub(crate) fn is_overloaded(&mut self, now: f64, worker: usize, times: TimeBounds, warm: bool) -> bool {
        /// Fraction of the client's remaining time that may pass on the worker on average. With less, all requests of a
        /// client group with short timeouts that retries at once would be rejected although workers answer in time.
        const CLIENT_TIME_SHARE: f64 = 0.7;
        /// Below this CPU utilization a worker has no queue.
        const BUSY_UTILIZATION: f64 = 0.9;
        let TimeBounds { latency_objective, time_left, relative_latency } = times;
        let time_share = TIME_SHARE + SINGLE_ROUTER_TIME_SHARE / self.routers.sqrt();
        let (time, worker_state) =
            ((time_share * latency_objective).min(CLIENT_TIME_SHARE * time_left), &self.workers[worker]);
        let rate = self.throughput.peak(now) * self.routers * worker_state.size;
        let running_time = if worker_state.counts_running { self.latency.min(time) } else { 0.0 };
        let latencies_in_time = time / (self.latency * relative_latency).max(1e-3);
        let (growth, floor) = (
            latencies_in_time.clamp(1.0, MAX_GROWTH),
            (worker_state.size * latencies_in_time.min(1.0)).max(MIN_EXTRA_ATTEMPTS),
        );
        let own_overload = warm
            && worker_state.in_flight_loaded + 1.0
                > (rate * time / self.routers + MIN_EXTRA_ATTEMPTS) * growth;
        let reported = worker_state
            .recent_other_routers_load(now)
            .filter(|_| worker_state.utilization > BUSY_UTILIZATION);
        let (in_flight, bound) =
            (worker_state.in_flight as f64, (rate * (time + running_time) + floor) * growth);
        own_overload
            || self.routers > 1.0
                && reported.is_some_and(|other_routers_load| {
                    in_flight + other_routers_load > bound * (0.5 + self.random.uniform())
                })
    }
}
