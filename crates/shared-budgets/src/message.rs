//! The CBOR messages that gateways exchange about shared budgets. Fields are numbered: unknown fields are skipped,
//! and the meaning of a number never changes.

use crate::error::DecodeError;
use minicbor::{Decode, Encode};

/// Maximum number of entries in each list of a message, so that the message fits into one datagram.
pub(crate) const MAX_ENTRIES: usize = 48;

/// Upper bound on the bytes that a datagram adds to its message.
pub(crate) const ENVELOPE_BYTES: f64 = 150.0;

/// Upper bound on the encoded size of a list entry, in bytes.
pub(crate) const ENTRY_BYTES: f64 = 20.0;

/// Resolution of levels in messages, in units of the budget.
const LEVEL_RESOLUTION: f64 = 1e-6;

/// Converts a level in a message to units.
pub(crate) fn level_from_wire(level: u64) -> f64 {
    level as f64 * LEVEL_RESOLUTION
}

/// Converts a level in units to its form in a message, rounded to nearest. For levels that [`round_level_down`]
/// returned.
pub(crate) fn level_to_wire(level: f64) -> u64 {
    (level / LEVEL_RESOLUTION).round() as u64
}

/// Converts a level in units to its form in a message, rounded up, so that a request covers all that is needed.
pub(crate) fn level_to_wire_rounded_up(level: f64) -> u64 {
    (level / LEVEL_RESOLUTION).ceil() as u64
}

/// Rounds a level in units down to one that a message can represent, so that the grant sent is not larger than the
/// level that the ledger subtracts.
pub(crate) fn round_level_down(level: f64) -> f64 {
    (level / LEVEL_RESOLUTION).floor() * LEVEL_RESOLUTION
}

/// A request for a lease of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct LeaseRequest {
    /// A hash of the budget's name and kind.
    #[n(0)]
    pub budget_key: u64,
    /// The level that the sender wants to hold from the receiver; from this request on it holds no more.
    #[n(1)]
    pub level: u64,
    /// Whether the sender also uses no more than `level`, so that anything granted above it is available immediately.
    #[n(2)]
    pub releases: bool,
}

/// The answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct LeaseGrant {
    /// The key in the request.
    #[n(0)]
    pub budget_key: u64,
    /// The level that the receiver may hold.
    #[n(1)]
    pub level: u64,
    /// How much more the sender could grant.
    #[n(2)]
    pub spare: u64,
}

/// The concurrency of one function.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub(crate) struct FunctionUsage {
    /// A hash of the function's name.
    #[n(0)]
    pub function: u64,
    /// Mean number of concurrent invocations, in thousandths.
    #[n(1)]
    pub concurrency: u32,
}

/// A message between gateways. Lists that do not apply are empty.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
#[cbor(map)]
pub(crate) struct Message {
    /// The number of the requests in this message, or of the requests that it answers. Increases with each request
    /// message of a process.
    #[n(0)]
    pub request_number: u64,
    /// Leases that the sender requests.
    #[n(1)]
    pub requests: Vec<LeaseRequest>,
    /// Leases that the sender grants.
    #[n(2)]
    pub grants: Vec<LeaseGrant>,
    /// Duration of the grants, in milliseconds from when they were requested.
    #[n(3)]
    pub duration_ms: u32,
    /// The bucket of functions to which `usage` or `totals` refer.
    #[n(4)]
    pub bucket: Option<u8>,
    /// In a report: usage at the sender.
    #[n(5)]
    pub usage: Vec<FunctionUsage>,
    /// In the answer to a report: total usage at all gateways except the receiver.
    #[n(6)]
    pub totals: Vec<FunctionUsage>,
    /// Number of gateways whose usage is included in `totals`; 0 in a report.
    #[n(7)]
    pub reporters: u16,
}

impl Message {
    /// Encodes the message. `None` on an encoding error, which cannot occur for these types.
    pub(crate) fn to_bytes(&self) -> Option<Vec<u8>> {
        minicbor::to_vec(self).ok()
    }

    /// Decodes a message.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        let message: Self = minicbor::decode(bytes)?;
        let lengths =
            [message.requests.len(), message.grants.len(), message.usage.len(), message.totals.len()];
        match lengths.into_iter().find(|length| *length > MAX_ENTRIES) {
            Some(length) => Err(DecodeError::TooManyEntries { length }),
            None => Ok(message),
        }
    }

    /// Total number of entries in all lists.
    pub(crate) fn entry_count(&self) -> usize {
        self.requests.len() + self.grants.len() + self.usage.len() + self.totals.len()
    }
}

#[cfg(test)]
mod tests;
