//! Bounds on what a message may carry.

pub use milletpath_sealed_datagram::MAX_DATAGRAM_LEN as MAX_DATAGRAM_BYTES;

/// Largest size of a follower's name, in bytes.
pub const MAX_FOLLOWER_NAME_BYTES: usize = 64;

/// Largest size of the reason why a gateway could not apply an entry, in bytes.
pub const MAX_APPLY_ERROR_BYTES: usize = 200;

/// Largest size of the reason why a change is denied, in bytes.
pub const MAX_DENIAL_BYTES: usize = 1000;

/// Bytes that entries may take in one datagram: what the tag and the other fields of the largest reply leave.
pub const MAX_ENTRIES_BYTES: usize = 1200;

/// Entry numbers and ballots are below this, so that a corrupt or hostile one cannot exhaust the range.
pub(super) const NUMBER_LIMIT: u64 = 1 << 56;

/// Largest number of slots in a promise: with them and the longest entry it still fits into one datagram.
pub(super) const MAX_PROMISED_SLOTS: usize = 64;
