//! Datagrams sealed with a secret that a fleet shares: a version, a seal of 16 bytes (a keyed hash over the rest) and a
//! body. What stands in the body is its owner's; letters between gateways and messages of control machines are made
//! and opened here, each with a key of its own.

#![warn(missing_docs, clippy::too_many_lines)]

use std::fmt;

/// Bytes of a datagram at most: what passes any link whole.
pub const MAX_DATAGRAM_LEN: usize = 1400;

const TAG_LEN: usize = 16;

/// Bytes before the body.
const HEADER_LEN: usize = 1 + TAG_LEN;

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Larger than [`LARGEST`], or too small for a seal.
    InvalidSize,
    /// Of a version that no program writes.
    UnsupportedVersion(u8),
    /// Sealed with another key, or changed on its way.
    InvalidTag,
}

/// A key, from a secret and from what it is for.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// `context` says what it is for, and is nobody else's; `secret` should have 32 bytes of chance or more.
    pub fn new(context: &str, secret: &[u8]) -> Self {
        Self(blake3::derive_key(context, secret))
    }

    fn hash(&self, version: u8, body: &[u8]) -> blake3::Hash {
        blake3::Hasher::new_keyed(&self.0).update(&[version]).update(body).finalize()
    }

    /// Makes a datagram; none where it would be too large.
    pub fn seal(&self, version: u8, body: &[u8]) -> Option<Vec<u8>> {
        if HEADER_LEN + body.len() > MAX_DATAGRAM_LEN {
            return None;
        }
        let mut datagram = Vec::with_capacity(HEADER_LEN + body.len());
        datagram.push(version);
        datagram.extend_from_slice(&self.hash(version, body).as_bytes()[..TAG_LEN]);
        datagram.extend_from_slice(body);
        Some(datagram)
    }

    /// The body of a datagram; all versions from 1 on are read.
    pub fn open<'d>(&self, datagram: &'d [u8]) -> Result<&'d [u8], OpenError> {
        if datagram.len() <= HEADER_LEN || datagram.len() > MAX_DATAGRAM_LEN {
            return Err(OpenError::InvalidSize);
        }
        let (version, (tag, body)) = (datagram[0], datagram[1..].split_at(TAG_LEN));
        if version == 0 {
            return Err(OpenError::UnsupportedVersion(version));
        }
        // Compared in constant time: nobody learns a seal byte by byte.
        let mut expected = *self.hash(version, body).as_bytes();
        expected[..TAG_LEN].iter_mut().zip(tag).for_each(|(a, b)| *a ^= b);
        if expected[..TAG_LEN].iter().fold(0, |all, byte| all | byte) != 0 {
            return Err(OpenError::InvalidTag);
        }
        Ok(body)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The body of a datagram, whoever sealed it: for a relay or a witness that has no key.
pub fn body_unverified(datagram: &[u8]) -> Option<&[u8]> {
    datagram.get(HEADER_LEN..)
}
