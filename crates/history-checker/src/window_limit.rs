//! A limit on how often something may be done within a sliding window.

/// So many are free within the window, and each request that arrives in it earns a part of one more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimit {
    /// Length of the window in seconds.
    pub window: f64,
    /// How many are free.
    pub free: f64,
    /// How many a request earns.
    pub per_request: f64,
}
