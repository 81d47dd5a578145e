//! Datagrams that are authenticated with a secret which a fleet shares: a version, a tag of 16 bytes (a keyed hash over
//! the rest) and a body. They are not encrypted. What the body holds is its owner's business: each protocol between
//! gateways or control machines has a [`Key`] of its own, so that a datagram of one is refused by another.
//!
//! The layout, byte by byte: 0 the version, 1 to 16 the tag, from 17 on the body. The tag is the first 16 bytes of
//! BLAKE3's keyed hash (*BLAKE3: one function, fast everywhere*, section 2.3) over the version and the body. A datagram
//! that is replayed is accepted again: whoever reads the body must expect that.

use std::fmt;
use thiserror::Error;

/// Bytes of a datagram at most: what passes any common link unfragmented.
pub const MAX_DATAGRAM_LEN: usize = 1400;

/// Bytes of the tag.
const TAG_LEN: usize = 16;

/// Bytes before the body.
const HEADER_LEN: usize = 1 + TAG_LEN;

/// Why a datagram is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SealError {
    /// The body does not fit: split it, or send less.
    #[error("a body of {len} bytes does not fit into a datagram of {MAX_DATAGRAM_LEN} bytes")]
    BodyTooLarge {
        /// Bytes of the body.
        len: usize,
    },
}

/// Why a datagram is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// Larger than [`MAX_DATAGRAM_LEN`], or too small for a tag and a body.
    #[error("a datagram of this size is not valid")]
    InvalidSize,
    /// Of a version that no program writes.
    #[error("version {0} of the datagram is not known")]
    UnsupportedVersion(u8),
    /// Made with another key, or changed on its way.
    #[error("the tag does not match: the datagram was made with another key, or changed on its way")]
    InvalidTag,
}

/// A key for one protocol, derived from a secret.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives a key. `context` names the protocol that it is for and must be unique to it; `secret` should have 32 random
    /// bytes or more.
    #[must_use]
    pub fn new(context: &str, secret: &[u8]) -> Self {
        Self(blake3::derive_key(context, secret))
    }

    /// Makes a datagram of a body.
    ///
    /// # Errors
    /// [`SealError::BodyTooLarge`] where the datagram would be larger than [`MAX_DATAGRAM_LEN`].
    pub fn seal(&self, version: u8, body: &[u8]) -> Result<Vec<u8>, SealError> {
        if HEADER_LEN + body.len() > MAX_DATAGRAM_LEN {
            return Err(SealError::BodyTooLarge { len: body.len() });
        }
        let mut datagram = Vec::with_capacity(HEADER_LEN + body.len());
        datagram.push(version);
        datagram.extend_from_slice(&self.tag(version, body));
        datagram.extend_from_slice(body);
        Ok(datagram)
    }

    /// The body of a datagram that was made with the same key. All versions from 1 on are accepted: what a version means
    /// is up to whoever reads the body.
    ///
    /// # Errors
    /// See [`OpenError`]; a datagram that is not accepted should be counted and dropped.
    pub fn open<'d>(&self, datagram: &'d [u8]) -> Result<&'d [u8], OpenError> {
        if datagram.len() <= HEADER_LEN || datagram.len() > MAX_DATAGRAM_LEN {
            return Err(OpenError::InvalidSize);
        }
        let version = datagram[0];
        let (tag, body) = datagram[1..].split_at(TAG_LEN);
        if version == 0 {
            return Err(OpenError::UnsupportedVersion(version));
        }
        if !constant_time_eq(tag, &self.tag(version, body)) {
            return Err(OpenError::InvalidTag);
        }
        Ok(body)
    }

    fn tag(&self, version: u8, body: &[u8]) -> [u8; TAG_LEN] {
        let hash = blake3::Hasher::new_keyed(&self.0).update(&[version]).update(body).finalize();
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_LEN]);
        tag
    }
}

/// Compares tags in a time that does not depend on their bytes: otherwise a sender could find a valid tag byte by byte.
fn constant_time_eq(a: &[u8], b: &[u8; TAG_LEN]) -> bool {
    a.iter().zip(b).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

impl fmt::Debug for Key {
    /// Hides the key: it must not get into a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The body of a datagram, whoever made it; none where it is too short for one. For a relay or a checker that has no key:
/// what it reads may be forged.
#[must_use]
pub fn body_unverified(datagram: &[u8]) -> Option<&[u8]> {
    datagram.get(HEADER_LEN..)
}
