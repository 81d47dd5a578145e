//! Tracks the logged state of the endpoint list, so that each change to stale or current is logged once.

/// State of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListState {
    /// Not confirmed by discovery since the start.
    Unconfirmed,
    /// Confirmed by discovery recently.
    Current,
    /// Not confirmed by discovery for too long.
    Stale,
}

/// The last logged state of the endpoint list.
pub(crate) struct ListReport {
    /// Seconds for which the list stays current after a confirmation.
    valid_for: f64,
    pub state: ListState,
    /// When that state was logged, and the number of health checks until then.
    pub since: f64,
    pub health_checks_before: u64,
}

impl ListReport {
    /// Creates the report of a router that has logged no state yet.
    pub fn new(valid_for: f64) -> Self {
        Self { valid_for, state: ListState::Unconfirmed, since: 0.0, health_checks_before: 0 }
    }

    /// The current state. A list that was never confirmed counts as stale only after the router has been running long
    /// enough to hear from discovery.
    pub fn current_state(&self, now: f64, is_stale: bool) -> ListState {
        match (is_stale, self.state) {
            (false, _) => ListState::Current,
            (true, ListState::Unconfirmed) if now < self.valid_for => ListState::Unconfirmed,
            (true, _) => ListState::Stale,
        }
    }

    /// Records that a new state was logged.
    pub fn record(&mut self, now: f64, state: ListState, health_checks: u64) {
        self.state = state;
        self.since = now;
        self.health_checks_before = health_checks;
    }
}
