//! Messages between authors (the clients that propose changes), replicas and followers, and their encoding as
//! authenticated datagrams.
//!
//! A datagram consists of a version byte, an authentication tag of 16 bytes (a keyed hash over version and body) and a
//! CBOR body with numbered fields. Unknown fields are skipped, unknown kinds are rejected, and numbers are never reused
//! for another meaning, so old and new releases can run side by side.

mod ballot;
mod kinds;
mod limits;
mod parts;
mod sealing;

pub use ballot::{Ballot, Vote};
pub use kinds::{Message, OutgoingMessage};
pub use limits::{
    MAX_APPLY_ERROR_BYTES, MAX_DATAGRAM_BYTES, MAX_DENIAL_BYTES, MAX_ENTRIES_BYTES, MAX_FOLLOWER_NAME_BYTES,
};
pub use parts::{ApplyError, Outcome, Progress};
pub use sealing::{Key, OpenError, SealError, VERSION, open, seal};
