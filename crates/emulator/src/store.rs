//! A model, without I/O, of the store from which all workers load functions: it slows down under concurrent fetches,
//! rejects fetches above a limit, and has an outage when it is overloaded.

use std::collections::VecDeque;

/// The window in seconds over which the rate of fetches is averaged to detect an overload.
const OVERLOAD_WINDOW: f64 = 3.0;

/// The capacity of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreSpec {
    /// The number of concurrent fetches that it serves without slowing down.
    pub unslowed_fetches: f64,
    /// The maximum number of concurrent fetches; it rejects more.
    pub max_fetches: usize,
    /// The fetches per second, averaged over three seconds, above which it is overloaded; `None` if it can't be
    /// overloaded.
    pub overload_rate: Option<f64>,
    /// The duration of the outage after an overload, in seconds.
    pub outage_seconds: f64,
}

/// A model of the store.
pub struct Store {
    spec: StoreSpec,
    /// The factor on the duration of fetches; 1 without a fault.
    pub slowness: f64,
    /// Whether a fault makes it reject all fetches.
    pub rejecting: bool,
    active_fetches: usize,
    /// When fetches were recently requested.
    recent_requests: VecDeque<f64>,
    /// When the last outage ends.
    outage_ends: f64,
    /// The number of fetches that it started.
    pub fetches: u64,
    /// The number of fetches that it rejected.
    pub rejected_fetches: u64,
}

impl Store {
    /// Creates an idle store.
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

    /// Requests a fetch that takes `seconds` on an idle store. Returns how long it will take, or `None` if it is
    /// rejected. Call [`fetch_ended`](Self::fetch_ended) after that time.
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
        // Requests during an outage do not count, so that they do not prolong it.
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

    /// Ends a fetch that was started.
    pub fn fetch_ended(&mut self) {
        self.active_fetches = self.active_fetches.saturating_sub(1);
    }

    /// Rejects all fetches for this many seconds.
    pub fn begin_outage(&mut self, now: f64, seconds: f64) {
        self.outage_ends = self.outage_ends.max(now + seconds);
    }
}
