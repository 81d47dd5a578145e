//! Error types.

use thiserror::Error;

/// Error returned when a budget cannot be closed.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum CloseError {
    /// Part of the budget is leased to other gateways. It must stay subtracted until the leases have ended, even if the
    /// budget is closed and opened again.
    #[error("{granted} of the budget is leased to other gateways; close it again once the leases have ended")]
    Leased {
        /// The leased amount, in units or units per second.
        granted: f64,
    },
}

/// Error returned when bytes cannot be decoded as a message.
#[derive(Debug, Error)]
pub(crate) enum DecodeError {
    /// The bytes are not CBOR with the expected structure.
    #[error("not a valid shared-budgets message")]
    Cbor(#[from] minicbor::decode::Error),
    /// A list is longer than any that a gateway sends.
    #[error("a list has {length} entries, more than are allowed")]
    TooManyEntries { length: usize },
}
