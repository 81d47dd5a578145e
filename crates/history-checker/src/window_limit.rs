//! A rate limit over a sliding window.

/// A limit on the number of actions within a sliding window: a fixed number, plus a fraction for each request that arrives
/// within the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimit {
    /// Length of the window in seconds.
    pub window: f64,
    /// Actions allowed regardless of requests.
    pub free: f64,
    /// Additional actions earned by each request.
    pub per_request: f64,
}
