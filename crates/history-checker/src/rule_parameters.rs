//! The parameters of the rules.

use crate::window_limit::WindowLimit;

/// The parameters of the rules, and the precision with which sockets can be observed.
#[derive(Clone, Copy, Debug)]
pub struct RuleParameters {
    /// Rule 3: seconds for which a gateway may still send to a worker after it was notified of the worker's drain.
    pub drain_grace: f64,
    /// Rule 4: the fraction of its capacity that a worker has when it starts, from 0 to 1.
    pub initial_capacity: f64,
    /// Rule 4: seconds until a worker reaches its full capacity.
    pub warm_up: f64,
    /// Rule 4: a warming worker fails when it is sent more than this multiple of its current capacity within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Rule 4: length in seconds of the window over which overload is measured.
    pub overload_window: f64,
    /// Rule 5: the limit on load requests of one gateway; `None` means unlimited.
    pub load_rate_limit: Option<WindowLimit>,
    /// Seconds by which an observation may lag behind the event.
    pub tolerance: f64,
}
