//! The identity of a gateway process.

/// Identifies one run of a gateway process: a nonzero random number, generated at each start so that a restarted
/// process is not mistaken for its predecessor.
pub type ProcessId = u64;
