//! Errors of the package.

use thiserror::Error;

/// Why a budget is not closed.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum CloseError {
    /// Some of it is leased to other gateways. That must stay subtracted until it has ended, whoever opens the budget
    /// again.
    #[error("{granted} of the budget is leased to other gateways; close it again once the leases have ended")]
    Leased {
        /// How much is leased, in units or units a second.
        granted: f64,
    },
}

/// Why bytes are not a message.
#[derive(Debug, Error)]
pub(crate) enum DecodeError {
    /// They are not CBOR of the expected shape.
    #[error("not a message about shared budgets")]
    Cbor(#[from] minicbor::decode::Error),
    /// A list is longer than any gateway sends.
    #[error("a list has {length} entries, more than are allowed")]
    TooManyEntries { length: usize },
}
