//! A message's body as it arrives, piece by piece. Most bodies have one piece, which is kept without a copy.

use bytes::{Bytes, BytesMut};

/// The pieces of a body so far.
#[derive(Default)]
pub struct BodyBuffer {
    first: Bytes,
    /// The whole body, once there is more than one piece.
    joined: BytesMut,
}

impl BodyBuffer {
    /// Bytes so far.
    pub fn len(&self) -> usize {
        if self.joined.is_empty() { self.first.len() } else { self.joined.len() }
    }

    /// Adds a piece.
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

    /// The body.
    pub fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() { self.first } else { self.joined.freeze() }
    }
}
