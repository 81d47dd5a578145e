//! Load shedding for a worker's sake: whether what it was sent takes too much of a request's time.

use crate::router_state::RouterState;

/// Part of the due time that may pass at a worker on average; the rest is for luck and waiting here. The second part shrinks
/// with the number of routers, as more of a worker's queue is what others send unseen.
const TIME: f64 = 0.36;
const TIME_ALONE: f64 = 0.24;

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
    pub(crate) slow: f64,
}

impl RouterState {
    /// Whether what a worker was sent takes too much of the due time at the rate for its size: our own shots where `warm`,
    /// and what its report tells; by chance near the bound, as others read it too.
    pub(crate) fn swamped(&mut self, now: f64, w: usize, times: TimeBounds, warm: bool) -> bool {
        /// Part of its client's time that may pass there on average: less would turn all of an impatient client group,
        /// which comes again at once, away from workers that answer in time.
        const LEFT: f64 = 0.7;
        /// With less of its cores in use a worker has no queue to speak of.
        const BUSY: f64 = 0.9;
        let TimeBounds { due, left, slow } = times;
        let part = TIME + TIME_ALONE / self.routers.sqrt();
        let (time, worker) = ((part * due).min(LEFT * left), &self.fleet[w]);
        let rate = self.throughput.peak(now) * self.routers * worker.size;
        let work = if worker.held { self.latency.min(time) } else { 0.0 };
        let quick = time / (self.latency * slow).max(1e-3);
        let (growth, floor) = (quick.clamp(1.0, GROWTH), (worker.size * quick.min(1.0)).max(FLOOR));
        let own = warm && worker.busy + 1.0 > (rate * time / self.routers + FLOOR) * growth;
        let told = worker.told(now).filter(|_| worker.cores > BUSY);
        let (out, bound) = (worker.out as f64, (rate * (time + work) + floor) * growth);
        own || self.routers > 1.0
            && told.is_some_and(|foreign| out + foreign > bound * (0.5 + self.random.luck()))
    }
}
