//! The position in the configuration log that a gateway or control machine has reached.

/// A position in the configuration log and the state at that position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedState {
    /// All changes up to and including this number are applied.
    pub number: u64,
    /// Digest of the configuration state at that number.
    pub digest: u64,
}
