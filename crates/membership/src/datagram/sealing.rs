//! Sealing and opening of datagrams with the secret that the gateways of a cluster share.

use super::{Datagram, MAX_NAME_BYTES, VERSION};
use milletpath_sealed_datagram as sealed_datagram;
use std::fmt;

/// Separates this key from others that are derived from the same secret. Part of the wire form.
const KEY_CONTEXT: &str = "milletpath 2026-12 letters between gateways";

/// Why a received datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Larger than [`MAX_DATAGRAM_BYTES`](super::MAX_DATAGRAM_BYTES), or too small for a seal.
    Size,
    /// A version that this program does not read.
    Version(u8),
    /// Sealed with another key, or changed in transit.
    Seal,
    /// Authentic, but the body is malformed.
    Body,
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Size => write!(f, "no letter has this size"),
            Self::Version(v) => write!(f, "its version {v} is not read here"),
            Self::Seal => write!(f, "its seal is of another key"),
            Self::Body => write!(f, "it can't be read"),
        }
    }
}

impl From<sealed_datagram::Refused> for OpenError {
    fn from(error: sealed_datagram::Refused) -> Self {
        match error {
            sealed_datagram::Refused::Size => Self::Size,
            sealed_datagram::Refused::Version(version) => Self::Version(version),
            sealed_datagram::Refused::Seal => Self::Seal,
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

/// Encodes and seals a datagram; `None` where it would exceed [`MAX_DATAGRAM_BYTES`](super::MAX_DATAGRAM_BYTES).
#[must_use]
pub fn seal(key: &Key, datagram: &Datagram) -> Option<Vec<u8>> {
    key.0.seal(VERSION, &minicbor::to_vec(datagram).ok()?)
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
    decode(sealed_datagram::glance(sealed)?).ok()
}

fn decode(body: &[u8]) -> Result<Datagram, OpenError> {
    let datagram: Datagram = minicbor::decode(body).map_err(|_| OpenError::Body)?;
    let valid = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    let updates_valid = datagram.updates.iter().all(|update| update.name.as_deref().is_none_or(valid));
    if valid(&datagram.sender.name) && updates_valid { Ok(datagram) } else { Err(OpenError::Body) }
}
