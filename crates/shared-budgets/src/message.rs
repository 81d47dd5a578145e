//! What gateways tell each other of what they share. Numbered fields: one that is not known is skipped, a number never
//! changes its meaning.

use minicbor::{Decode, Encode};

/// Budgets in one note at most: what a letter holds.
pub const MAX_ENTRIES: usize = 48;

/// Bytes of a letter around its note, and of one budget in it, at most.
pub const ENVELOPE_BYTES: f64 = 150.0;
pub const ENTRY_BYTES: f64 = 20.0;

/// Levels are millionths of a budget's unit.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct LeaseRequest {
    /// The budget: a hash of its kind, its name and how it is counted.
    #[n(0)]
    pub budget_key: u64,
    /// The sender wants to hold so much of the receiver's, and holds no more from now on.
    #[n(1)]
    pub level: u64,
    /// Nor is more of it in use: what the receiver lent beyond is free at once.
    #[n(2)]
    pub releases: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct LeaseGrant {
    #[n(0)]
    pub budget_key: u64,
    #[n(1)]
    pub level: u64,
    /// What could be lent beside.
    #[n(2)]
    pub spare: u64,
}

/// What a function keeps busy, in thousandths of a lane.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct FunctionUsage {
    /// A hash of its name.
    #[n(0)]
    pub function: u64,
    #[n(1)]
    pub concurrency: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
#[cbor(map)]
pub struct Message {
    /// Of the asks in it, or of those that it answers. Grows from note to note of one process.
    #[n(0)]
    pub request_number: u64,
    #[n(1)]
    pub requests: Vec<LeaseRequest>,
    #[n(2)]
    pub grants: Vec<LeaseGrant>,
    /// Milliseconds for which the grants hold from when they were asked for.
    #[n(3)]
    pub duration_ms: u32,
    /// A bucket of functions; with it what they keep busy at the sender, or, where `of` gateways added up, at all but the
    /// receiver.
    #[n(4)]
    pub bucket: Option<u8>,
    #[n(5)]
    pub usage: Vec<FunctionUsage>,
    #[n(6)]
    pub totals: Vec<FunctionUsage>,
    #[n(7)]
    pub reporters: u16,
}

impl Message {
    /// None where it can't be written, which does not happen.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        minicbor::to_vec(self).ok()
    }

    /// None for what is no note.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let message: Self = minicbor::decode(bytes).ok()?;
        let lengths =
            [message.requests.len(), message.grants.len(), message.usage.len(), message.totals.len()];
        (lengths.iter().all(|n| *n <= MAX_ENTRIES)).then_some(message)
    }
}
