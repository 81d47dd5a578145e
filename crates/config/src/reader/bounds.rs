//! Bounds that several parts of the file share.

/// The longest time that a setting may give, in seconds: a day.
pub const MAX_SECONDS: f64 = 86_400.0;
