//! The messages that gateways exchange about shared budgets, in CBOR. Fields are numbered: one that is not known is
//! skipped, and a number never changes its meaning.

use crate::error::DecodeError;
use minicbor::{Decode, Encode};

/// Entries of each list in one message at most: what fits into one datagram.
pub(crate) const MAX_ENTRIES: usize = 48;

/// Bytes of a datagram around its message at most.
pub(crate) const ENVELOPE_BYTES: f64 = 150.0;

/// Bytes of one entry of a message at most.
pub(crate) const ENTRY_BYTES: f64 = 20.0;

/// Levels are sent in millionths of a budget's unit.
const LEVEL_RESOLUTION: f64 = 1e-6;

/// The level that a message states, in units.
pub(crate) fn level_from_wire(level: u64) -> f64 {
    level as f64 * LEVEL_RESOLUTION
}

/// A level in units as a message states it, to the nearest; for levels that were rounded down before.
pub(crate) fn level_to_wire(level: f64) -> u64 {
    (level / LEVEL_RESOLUTION).round() as u64
}

/// A level in units as a message states it, rounded up: a request asks for all that is needed.
pub(crate) fn level_to_wire_rounded_up(level: f64) -> u64 {
    (level / LEVEL_RESOLUTION).ceil() as u64
}

/// A level rounded down to one that a message can state: no more is granted than the ledger subtracts.
pub(crate) fn round_level_down(level: f64) -> f64 {
    (level / LEVEL_RESOLUTION).floor() * LEVEL_RESOLUTION
}

/// A request for a lease on one budget.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct LeaseRequest {
    /// The budget: a hash of its name and of how it is counted.
    #[n(0)]
    pub budget_key: u64,
    /// What the sender wants to hold of the receiver's; it holds no more from now on.
    #[n(1)]
    pub level: u64,
    /// Nor does it use more: what the receiver granted beyond the level is free at once.
    #[n(2)]
    pub releases: bool,
}

/// The answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct LeaseGrant {
    /// As in the request.
    #[n(0)]
    pub budget_key: u64,
    /// What the receiver may hold.
    #[n(1)]
    pub level: u64,
    /// What the sender could grant beside.
    #[n(2)]
    pub spare: u64,
}

/// The concurrency of one function.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct FunctionUsage {
    /// A hash of the function's name.
    #[n(0)]
    pub function: u64,
    /// Mean number of its invocations that run at the same time, in thousandths.
    #[n(1)]
    pub concurrency: u32,
}

/// One message. A list that does not concern it is empty.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
#[cbor(map)]
pub(crate) struct Message {
    /// The number of the requests in it, or of those that it answers. Grows from message to message of a process.
    #[n(0)]
    pub request_number: u64,
    /// Leases that the sender asks for.
    #[n(1)]
    pub requests: Vec<LeaseRequest>,
    /// Leases that the sender grants.
    #[n(2)]
    pub grants: Vec<LeaseGrant>,
    /// Milliseconds for which the grants hold, from when they were requested.
    #[n(3)]
    pub duration_ms: u32,
    /// The bucket of functions that `usage` or `totals` speak of.
    #[n(4)]
    pub bucket: Option<u8>,
    /// A report: usage at the sender.
    #[n(5)]
    pub usage: Vec<FunctionUsage>,
    /// The answer to a report: usage at all gateways but the receiver.
    #[n(6)]
    pub totals: Vec<FunctionUsage>,
    /// How many gateways' reports the totals add up; 0 in a report.
    #[n(7)]
    pub reporters: u16,
}

impl Message {
    /// The message's bytes; none where it can't be encoded, which does not happen for these types.
    pub(crate) fn to_bytes(&self) -> Option<Vec<u8>> {
        minicbor::to_vec(self).ok()
    }

    /// Reads a message.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        let message: Self = minicbor::decode(bytes)?;
        let lengths =
            [message.requests.len(), message.grants.len(), message.usage.len(), message.totals.len()];
        match lengths.into_iter().find(|length| *length > MAX_ENTRIES) {
            Some(length) => Err(DecodeError::TooManyEntries { length }),
            None => Ok(message),
        }
    }

    /// Entries of all lists.
    pub(crate) fn entry_count(&self) -> usize {
        self.requests.len() + self.grants.len() + self.usage.len() + self.totals.len()
    }
}

#[cfg(test)]
mod tests;
