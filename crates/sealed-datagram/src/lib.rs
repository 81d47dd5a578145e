//! Datagrams authenticated, but not encrypted, with a secret shared by a fleet. The content of the body is defined by
//! the protocol that uses it. Each protocol between gateways or control machines has its own [`Key`], so that a
//! datagram of one protocol is rejected by another.
//!
//! Layout: byte 0 is the version, bytes 1 to 16 are the tag, and the body starts at byte 17. The tag is the first 16
//! bytes of BLAKE3's keyed hash (*BLAKE3: one function, fast everywhere*, section 2.3) over the version and the body.
//! There is no replay protection: the protocol must tolerate replayed datagrams.

use std::fmt;
use thiserror::Error;

/// Maximum size of a datagram in bytes. Datagrams up to this size pass common links without fragmentation.
pub const MAX_DATAGRAM_LEN: usize = 1400;

/// Size of the tag in bytes.
const TAG_LEN: usize = 16;

/// Size of the header, which precedes the body, in bytes.
const HEADER_LEN: usize = 1 + TAG_LEN;

/// Error returned when a datagram cannot be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SealError {
    /// The body does not fit into one datagram; it must be split or shortened.
    #[error("a body of {len} bytes does not fit into a datagram of {MAX_DATAGRAM_LEN} bytes")]
    BodyTooLarge {
        /// Size of the body in bytes.
        len: usize,
    },
}

/// Error returned when a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    /// The datagram is larger than [`MAX_DATAGRAM_LEN`] or too small for a header and a body.
    #[error("a datagram of this size is not valid")]
    InvalidSize,
    /// The version is not supported: 0 is never written.
    #[error("version {0} of the datagram is not known")]
    UnsupportedVersion(u8),
    /// The datagram was created with another key or modified in transit.
    #[error("the tag does not match: the datagram was made with another key, or changed on its way")]
    InvalidTag,
}

/// The key of one protocol, derived from a secret.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives a key. `context` identifies the protocol and must be unique to it; `secret` should consist of at least
    /// 32 random bytes.
    #[must_use]
    pub fn new(context: &str, secret: &[u8]) -> Self {
        Self(blake3::derive_key(context, secret))
    }

    /// Creates an authenticated datagram with the given body.
    ///
    /// # Errors
    /// [`SealError::BodyTooLarge`] if the datagram would be larger than [`MAX_DATAGRAM_LEN`].
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

    /// Verifies a datagram and returns its body. All versions from 1 on are accepted; their meaning is defined by the
    /// protocol.
    ///
    /// # Errors
    /// See [`OpenError`]. Rejected datagrams should be counted and dropped.
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

/// Compares tags in constant time, as a timing difference would let a sender guess a valid tag byte by byte.
fn constant_time_eq(a: &[u8], b: &[u8; TAG_LEN]) -> bool {
    a.iter().zip(b).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

impl fmt::Debug for Key {
    /// Omits the key, so that it cannot leak into logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Returns the body of a datagram without verifying it, or `None` if the datagram is shorter than the header. For
/// relays and checkers without the key; the body may be forged.
#[must_use]
pub fn body_unverified(datagram: &[u8]) -> Option<&[u8]> {
    datagram.get(HEADER_LEN..)
}
