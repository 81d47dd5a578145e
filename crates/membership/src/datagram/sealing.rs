//! Authenticated encoding and decoding of datagrams, with a secret shared by the gateways of a cluster.

use super::{Datagram, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, VERSION};
use milletpath_sealed_datagram as sealed_datagram;
use std::convert::Infallible;
use thiserror::Error;

/// Key derivation context, which separates this key from others derived from the same secret. It is part of the wire
/// format.
const KEY_CONTEXT: &str = "milletpath 2026-12 letters between gateways";

/// The reason why a received datagram is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OpenError {
    /// Larger than [`MAX_DATAGRAM_BYTES`], or too small for a tag and a body.
    #[error(
        "its size is not that of a datagram between gateways, which has at most {MAX_DATAGRAM_BYTES} bytes"
    )]
    InvalidSize,
    /// The version is not supported.
    #[error("version {0} is not supported: run gateways of compatible releases")]
    UnsupportedVersion(u8),
    /// The authentication tag does not match: the datagram was sealed with another key or modified in transit.
    #[error("the seal does not match: give all gateways of the cluster the same key")]
    InvalidTag,
    /// The tag matches, but the body is malformed.
    #[error("the body is malformed")]
    InvalidBody,
}

/// The reason why a datagram cannot be sealed.
#[derive(Debug, Error)]
pub enum SealError {
    /// The sealed datagram would exceed [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram would exceed {MAX_DATAGRAM_BYTES} bytes")]
    TooLarge,
    /// The body could not be encoded.
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

/// The authentication key of a cluster, derived from the secret shared by its gateways.
#[derive(Clone, Debug)]
pub struct Key(sealed_datagram::Key);

impl Key {
    /// Derives the key. `secret` should contain at least 32 random bytes.
    #[must_use]
    pub fn new(secret: &[u8]) -> Self {
        Self(sealed_datagram::Key::new(KEY_CONTEXT, secret))
    }
}

/// Encodes a datagram and adds the version and the authentication tag.
///
/// # Errors
///
/// Returns [`SealError::TooLarge`] if the result would exceed [`MAX_DATAGRAM_BYTES`], and [`SealError::Encode`] if the
/// body cannot be encoded.
pub fn seal(key: &Key, datagram: &Datagram) -> Result<Vec<u8>, SealError> {
    let body = minicbor::to_vec(datagram)?;
    key.0.seal(VERSION, &body).map_err(|_| SealError::TooLarge)
}

/// Verifies the authentication tag of a received datagram and decodes its body.
///
/// # Errors
///
/// Returns the [`OpenError`] of the first check that fails.
pub fn open(key: &Key, sealed: &[u8]) -> Result<Datagram, OpenError> {
    decode(key.0.open(sealed)?)
}

/// Decodes a datagram without verifying its tag, for relays and observers that do not have the key.
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
