//! Sealing and opening of datagrams with the secret that the gateways of a cluster share.

use super::{Datagram, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, VERSION};
use milletpath_sealed_datagram as sealed_datagram;
use std::convert::Infallible;
use thiserror::Error;

/// Separates this key from others that are derived from the same secret. Part of the wire form.
const KEY_CONTEXT: &str = "milletpath 2026-12 letters between gateways";

/// Why a received datagram is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OpenError {
    /// Larger than [`MAX_DATAGRAM_BYTES`], or too small for a seal.
    #[error(
        "its size is not that of a datagram between gateways, which has at most {MAX_DATAGRAM_BYTES} bytes"
    )]
    InvalidSize,
    /// A version that this program does not read.
    #[error("version {0} is not supported: run gateways of compatible releases")]
    UnsupportedVersion(u8),
    /// Sealed with another key, or changed in transit.
    #[error("the seal does not match: give all gateways of the cluster the same key")]
    InvalidTag,
    /// Authentic, but the body is malformed.
    #[error("the body is malformed")]
    InvalidBody,
}

/// Why a datagram cannot be sealed.
#[derive(Debug, Error)]
pub enum SealError {
    /// The sealed datagram would exceed [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram would exceed {MAX_DATAGRAM_BYTES} bytes")]
    TooLarge,
    /// The body cannot be encoded.
    #[error("the datagram cannot be encoded")]
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

/// The key of a cluster, derived from the secret that its gateways share.
#[derive(Clone, Debug)]
pub struct Key(sealed_datagram::Key);

impl Key {
    /// Derives the key. `secret` should hold at least 32 random bytes.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(sealed_datagram::Key::new(KEY_CONTEXT, secret))
    }
}

/// Encodes and seals a datagram.
///
/// # Errors
///
/// [`SealError::TooLarge`] where it would exceed [`MAX_DATAGRAM_BYTES`].
pub fn seal(key: &Key, datagram: &Datagram) -> Result<Vec<u8>, SealError> {
    let body = minicbor::to_vec(datagram)?;
    key.0.seal(VERSION, &body).map_err(|_| SealError::TooLarge)
}

/// Checks the seal of a received datagram and decodes its body.
///
/// # Errors
///
/// An [`OpenError`] that names the first check which failed.
pub fn open(key: &Key, sealed: &[u8]) -> Result<Datagram, OpenError> {
    decode(key.0.open(sealed)?)
}

/// Decodes a datagram without checking its seal: for relays and observers that have no key.
#[must_use]
pub fn decode_unverified(sealed: &[u8]) -> Option<Datagram> {
    decode(sealed_datagram::body_unverified(sealed)?).ok()
}

fn decode(body: &[u8]) -> Result<Datagram, OpenError> {
    let datagram: Datagram = minicbor::decode(body).map_err(|_| OpenError::InvalidBody)?;
    let valid = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    let updates_valid = datagram.updates.iter().all(|update| update.name.as_deref().is_none_or(valid));
    if valid(&datagram.sender.name) && updates_valid { Ok(datagram) } else { Err(OpenError::InvalidBody) }
}
