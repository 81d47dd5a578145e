//! Load shedding for a worker's sake: whether what it was sent takes too much of a request's time.

use crate::router_state::RouterState;

/// Part of the due time that may pass at a worker on average; the rest is for luck and waiting here. The second part shrinks
/// with the number of routers, as more of a worker's queue is what others send unseen.
const TIME_SHARE: f64 = 0.36;
const TIME_SHARE_ALONE: f64 = 0.24;

/// While answers are quick the rate is what clients ask, not what it can do: so much more.
const GROWTH: f64 = 2.0;

/// Shots beyond that, at the least; else one for each unit of a worker's size that is done in that time.
const FLOOR: f64 = 1.0;

/// The times of a request that bound what its worker may have in flight, in seconds.
#[derive(Clone, Copy)]
pub(crate) struct TimeBounds {
    /// Its due time, and what its client has left.
    pub(crate) due: f64,
    pub(crate) left: f64,
    /// How slow its function is, over the mean of all.
    pub(crate) relative_latency: f64,
}

impl RouterState {
    /// Whether what a worker was sent takes too much of the due time at the rate for its size: our own shots where `warm`,
    /// and what its report tells; by chance near the bound, as others read it too.
    pub(crate) fn is_overloaded(&mut self, now: f64, worker: usize, times: TimeBounds, warm: bool) -> bool {
        /// Part of its client's time that may pass there on average: less would turn all of an impatient client group,
        /// which comes again at once, away from workers that answer in time.
        const CLIENT_TIME: f64 = 0.7;
        /// With less of its cores in use a worker has no queue to speak of.
        const BUSY: f64 = 0.9;
        let TimeBounds { due, left, relative_latency } = times;
        let time_share = TIME_SHARE + TIME_SHARE_ALONE / self.routers.sqrt();
        let (time, worker_state) = ((time_share * due).min(CLIENT_TIME * left), &self.workers[worker]);
        let rate = self.throughput.peak(now) * self.routers * worker_state.size;
        let running = if worker_state.counts_running { self.latency.min(time) } else { 0.0 };
        let quick = time / (self.latency * relative_latency).max(1e-3);
        let (growth, floor) = (quick.clamp(1.0, GROWTH), (worker_state.size * quick.min(1.0)).max(FLOOR));
        let own_overload =
            warm && worker_state.in_flight_loaded + 1.0 > (rate * time / self.routers + FLOOR) * growth;
        let reported = worker_state.recent_foreign_load(now).filter(|_| worker_state.utilization > BUSY);
        let (in_flight, bound) = (worker_state.in_flight as f64, (rate * (time + running) + floor) * growth);
        own_overload
            || self.routers > 1.0
                && reported.is_some_and(|foreign_load| {
                    in_flight + foreign_load > bound * (0.5 + self.random.uniform())
                })
    }
}
