//! Bounds that several parts of the configuration file share.

/// The longest time that a setting may specify, in seconds: one day.
pub const MAX_SECONDS: f64 = 86_400.0;
