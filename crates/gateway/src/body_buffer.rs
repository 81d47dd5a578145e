//! Buffers the body of an HTTP message chunk by chunk. Most bodies arrive in one chunk, which is kept without copying.

use bytes::{Bytes, BytesMut};

/// The chunks of a body received so far.
#[derive(Default)]
pub struct BodyBuffer {
    first: Bytes,
    /// All chunks concatenated; empty until there is more than one.
    joined: BytesMut,
}

impl BodyBuffer {
    /// Number of bytes received so far.
    pub fn len(&self) -> usize {
        if self.joined.is_empty() { self.first.len() } else { self.joined.len() }
    }

    /// Appends a chunk.
    pub fn push(&mut self, piece: Bytes) {
        if self.first.is_empty() {
            self.first = piece;
            return;
        }
        if self.joined.is_empty() {
            self.joined.extend_from_slice(&self.first);
        }
        self.joined.extend_from_slice(&piece);
    }

    /// Returns the complete body.
    pub fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() { self.first } else { self.joined.freeze() }
    }
}
