//! The store that all workers load functions from, as a model without I/O: it slows down when crowded, rejects fetches
//! past a limit, and has an outage when it is overloaded.

use std::collections::VecDeque;

/// Seconds for which the rate of fetches must stay above the limit to overload the store.
const OVERLOAD_WINDOW: f64 = 3.0;

/// What the store can do.
#[derive(Clone, Copy, Debug)]
pub struct StoreSpec {
    /// Fetches that it serves at the same time without slowing down.
    pub unslowed_fetches: f64,
    /// Fetches at the same time past which it rejects more.
    pub max_fetches: usize,
    /// Fetches a second that overload it when kept up for three seconds; none if nothing does.
    pub overload_rate: Option<f64>,
    /// Seconds of the outage after an overload.
    pub outage_seconds: f64,
}

/// The model of the store.
pub struct Store {
    spec: StoreSpec,
    /// Multiplies the time of fetches; 1 without a fault.
    pub slowness: f64,
    /// Whether it rejects all fetches, by a fault.
    pub rejecting: bool,
    active_fetches: usize,
    /// When fetches were requested of late.
    recent_requests: VecDeque<f64>,
    /// When the last outage ends.
    outage_ends: f64,
    /// Fetches that it began.
    pub fetches: u64,
    /// Fetches that it rejected.
    pub rejected_fetches: u64,
}

impl Store {
    /// An idle store.
    #[must_use]
    pub fn new(spec: StoreSpec) -> Self {
        Self {
            spec,
            slowness: 1.0,
            rejecting: false,
            active_fetches: 0,
            recent_requests: VecDeque::new(),
            outage_ends: f64::NEG_INFINITY,
            fetches: 0,
            rejected_fetches: 0,
        }
    }

    /// Requests a fetch that takes `seconds` on an idle store; gives how long it will take, none if it is rejected.
    /// Call [`fetch_ended`](Self::fetch_ended) after that time.
    pub fn begin_fetch(&mut self, now: f64, seconds: f64) -> Option<f64> {
        self.detect_overload(now);
        if now < self.outage_ends || self.rejecting || self.active_fetches >= self.spec.max_fetches {
            self.rejected_fetches += 1;
            return None;
        }
        self.fetches += 1;
        self.active_fetches += 1;
        let crowding = (self.active_fetches as f64 / self.spec.unslowed_fetches).max(1.0);
        Some(seconds * self.slowness * crowding)
    }

    fn detect_overload(&mut self, now: f64) {
        // During an outage nothing prolongs it.
        if now >= self.outage_ends {
            self.recent_requests.push_back(now);
        }
        while self.recent_requests.front().is_some_and(|at| now - at > OVERLOAD_WINDOW) {
            self.recent_requests.pop_front();
        }
        let requests = self.recent_requests.len() as f64;
        if self.spec.overload_rate.is_some_and(|rate| requests > rate * OVERLOAD_WINDOW) {
            self.recent_requests.clear();
            self.begin_outage(now, self.spec.outage_seconds);
        }
    }

    /// A fetch that was begun has ended.
    pub fn fetch_ended(&mut self) {
        self.active_fetches = self.active_fetches.saturating_sub(1);
    }

    /// It rejects all fetches for so many seconds.
    pub fn begin_outage(&mut self, now: f64, seconds: f64) {
        self.outage_ends = self.outage_ends.max(now + seconds);
    }
}
