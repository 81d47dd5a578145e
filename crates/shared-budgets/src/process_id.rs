//! The identity of a gateway's process.

/// Identifies one run of a gateway's process: a random number, drawn anew at each start, so that a process that was
/// restarted is not taken for its predecessor. Never 0.
pub type ProcessId = u64;
