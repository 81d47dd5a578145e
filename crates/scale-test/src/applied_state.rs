//! How far the configuration changes are applied at a gateway or a control machine.

/// How far the configuration changes are applied somewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedState {
    /// The number up to which all changes are applied.
    pub number: u64,
    /// The digest of the state at that number.
    pub digest: u64,
}
