//! What operators were told of the endpoint list: one line when it becomes stale, and one when it is current.

/// What is known of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListState {
    /// Discovery was not heard of since the start.
    Unconfirmed,
    /// Discovery has vouched for it recently.
    Current,
    /// Discovery has been silent for too long.
    Stale,
}

/// What was last logged of the endpoint list.
pub(crate) struct ListReport {
    /// Seconds for which the list is believed.
    valid_for: f64,
    pub state: ListState,
    /// When that state was logged, and the number of health checks until then.
    pub since: f64,
    pub health_checks_before: u64,
}

impl ListReport {
    /// Nothing was logged yet.
    pub fn new(valid_for: f64) -> Self {
        Self { valid_for, state: ListState::Unconfirmed, since: 0.0, health_checks_before: 0 }
    }

    /// The state now. A list that was never confirmed is stale only once a router that has just started had time to hear
    /// of discovery.
    pub fn current_state(&self, now: f64, is_stale: bool) -> ListState {
        match (is_stale, self.state) {
            (false, _) => ListState::Current,
            (true, ListState::Unconfirmed) if now < self.valid_for => ListState::Unconfirmed,
            (true, _) => ListState::Stale,
        }
    }

    /// Another state was logged.
    pub fn record(&mut self, now: f64, state: ListState, health_checks: u64) {
        self.state = state;
        self.since = now;
        self.health_checks_before = health_checks;
    }
}
