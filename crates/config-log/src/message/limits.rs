//! Size limits of messages and their fields.

pub use milletpath_sealed_datagram::MAX_DATAGRAM_LEN as MAX_DATAGRAM_BYTES;

/// Maximum size of a follower's name, in bytes.
pub const MAX_FOLLOWER_NAME_BYTES: usize = 64;

/// Maximum size of the reason why a gateway could not apply an entry, in bytes.
pub const MAX_APPLY_ERROR_BYTES: usize = 200;

/// Maximum size of the reason why a change is denied, in bytes.
pub const MAX_DENIAL_BYTES: usize = 1000;

/// Maximum size of the entries in one message, in bytes: what the tag and the other fields of the largest reply leave.
pub const MAX_ENTRIES_BYTES: usize = 1200;

/// Upper bound, exclusive, on entry numbers and ballots, so that a corrupt or hostile message cannot exhaust their range.
pub(super) const NUMBER_LIMIT: u64 = 1 << 56;

/// Maximum number of slots in a promise; with these and the longest vote it still fits into one datagram.
pub(super) const MAX_PROMISED_SLOTS: usize = 64;
