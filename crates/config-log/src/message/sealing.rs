//! Encoding of messages as authenticated datagrams, and decoding.

use super::kinds::{LAST_KIND, Message};
use milletpath_sealed_datagram as sealed_datagram;
use minicbor::decode::Decoder;
use std::convert::Infallible;
use thiserror::Error;

/// The protocol version that is written. Versions from 1 on are accepted.
pub const VERSION: u8 = 1;

/// Key derivation context; separates this protocol's key from others that are derived from the same secret.
const KEY_CONTEXT: &str = "milletpath 2026-12 changes of configuration";

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OpenError {
    /// Larger than [`MAX_DATAGRAM_BYTES`](super::MAX_DATAGRAM_BYTES), or too small to be a message.
    #[error("invalid datagram size")]
    InvalidSize,
    /// The version is not supported.
    #[error("protocol version {0} is not supported")]
    UnsupportedVersion(u8),
    /// Sealed with another key, or modified in transit. All programs of a cluster need the same key.
    #[error("its seal is of another key")]
    InvalidTag,
    /// Authentic, but of a message kind that this release does not know.
    #[error("message kind {0} is not known to this release")]
    UnknownKind(u32),
    /// Authentic, but the body is malformed or a field is out of bounds.
    #[error("the message body is malformed")]
    InvalidBody,
}

/// Why a message cannot be sealed.
#[derive(Debug, Error)]
pub enum SealError {
    /// The sealed datagram would exceed [`MAX_DATAGRAM_BYTES`](super::MAX_DATAGRAM_BYTES).
    #[error(transparent)]
    TooLarge(#[from] sealed_datagram::SealError),
    /// The body cannot be encoded.
    #[error("the message cannot be encoded")]
    Encode(#[from] minicbor::encode::Error<Infallible>),
}

impl From<sealed_datagram::OpenError> for OpenError {
    fn from(error: sealed_datagram::OpenError) -> Self {
        match error {
            sealed_datagram::OpenError::InvalidSize => Self::InvalidSize,
            sealed_datagram::OpenError::UnsupportedVersion(version) => Self::UnsupportedVersion(version),
            sealed_datagram::OpenError::InvalidTag => Self::InvalidTag,
        }
    }
}

/// Key for authenticating messages, derived from a secret shared by control machines, gateways and authors.
#[derive(Clone, Debug)]
pub struct Key(sealed_datagram::Key);

impl Key {
    /// Derives the key; `secret` should have at least 32 random bytes.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(sealed_datagram::Key::new(KEY_CONTEXT, secret))
    }
}

/// Seals a message as a datagram.
///
/// # Errors
///
/// [`SealError::TooLarge`] if the datagram would exceed [`MAX_DATAGRAM_BYTES`](super::MAX_DATAGRAM_BYTES).
pub fn seal(key: &Key, message: &Message) -> Result<Vec<u8>, SealError> {
    Ok(key.0.seal(VERSION, &minicbor::to_vec(message)?)?)
}

/// Authenticates and decodes a datagram.
///
/// # Errors
///
/// An [`OpenError`] if the datagram is not authentic, has an unsupported version or kind, or has an invalid body.
pub fn open(key: &Key, datagram: &[u8]) -> Result<Message, OpenError> {
    let body = key.0.open(datagram)?;
    let mut decoder = Decoder::new(body);
    let kind = decoder.array().and_then(|_| decoder.u32()).map_err(|_| OpenError::InvalidBody)?;
    if kind == 0 || kind > LAST_KIND {
        return Err(OpenError::UnknownKind(kind));
    }
    let message: Message = minicbor::decode(body).map_err(|_| OpenError::InvalidBody)?;
    if message.fits() { Ok(message) } else { Err(OpenError::InvalidBody) }
}
