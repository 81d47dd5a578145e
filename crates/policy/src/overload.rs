//! Overload protection: whether the requests at a worker would take too much of a new request's time.

use crate::router_state::RouterState;

/// Part of the latency objective that may pass at a worker on average; the rest is for variance and for the
/// queue here. The second part shrinks with the square root of the number of routers, as more of a worker's
/// queue is unknown to this one.
const TIME_SHARE: f64 = 0.36;
const SINGLE_ROUTER_TIME_SHARE: f64 = 0.24;

/// While answers are quick the measured rate is the demand, not the worker's capacity, which may be so many
/// times as much.
const MAX_GROWTH: f64 = 2.0;

/// Attempts beyond that, at the least; else one for each unit of a worker's size that is served in that time.
const MIN_EXTRA_ATTEMPTS: f64 = 1.0;

/// The times of a request that bound what its worker may have in flight, in seconds.
#[derive(Clone, Copy)]
pub(crate) struct TimeBounds {
    /// Its latency objective.
    pub(crate) latency_objective: f64,
    /// The time until its client gives up.
    pub(crate) time_left: f64,
    /// The latency of its function, over the mean of all.
    pub(crate) relative_latency: f64,
}

impl RouterState {
    /// Whether the requests at a worker take too much of a new request's time, at the peak throughput for its
    /// size (Little's law): this router's attempts, where `warm`, and those of its load report. Near the
    /// bound a random draw decides, as all routers read the same report.
    pub(crate) fn is_overloaded(&mut self, now: f64, worker: usize, times: TimeBounds, warm: bool) -> bool {
        /// Part of its client's time that may pass there on average: with less, all requests of an impatient
        /// client group, which retries at once, would be rejected although workers answer in time.
        const CLIENT_TIME_SHARE: f64 = 0.7;
        /// With a lower utilization of its cores a worker has no queue.
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
