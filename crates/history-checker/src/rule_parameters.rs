//! The figures that the rules state.

use crate::window_limit::WindowLimit;

/// The figures that the rules state, and how exactly sockets can be observed.
#[derive(Clone, Copy, Debug)]
pub struct RuleParameters {
    /// Rule 3: seconds after a gateway was notified of a drain until it sends nothing more.
    pub drain_grace: f64,
    /// Rule 4: the part of its capacity that a worker has at its start, from 0 to 1.
    pub initial_capacity: f64,
    /// Rule 4: seconds until a worker has its full capacity.
    pub warm_up: f64,
    /// Rule 4: a warming worker fails when it is sent more than this multiple of its present capacity,
    pub overload_multiple: f64,
    /// within so many seconds.
    pub overload_window: f64,
    /// Rule 5: the limit on load requests of one gateway; none where they are not limited.
    pub load_rate_limit: Option<WindowLimit>,
    /// Seconds by which an observation may be later than what it observes.
    pub tolerance: f64,
}
