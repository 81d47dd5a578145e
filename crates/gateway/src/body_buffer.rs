//! A message's body as it comes, piece by piece. Most have one piece, which is kept as it is; only what has more is
//! copied together.

use bytes::{Bytes, BytesMut};

#[derive(Default)]
pub struct BodyBuffer {
    first: Bytes,
    /// All of it, once there is more than one piece.
    rest: BytesMut,
}

impl BodyBuffer {
    pub fn len(&self) -> usize {
        if self.rest.is_empty() { self.first.len() } else { self.rest.len() }
    }

    pub fn push(&mut self, piece: Bytes) {
        if self.first.is_empty() {
            self.first = piece;
            return;
        }
        if self.rest.is_empty() {
            self.rest.extend_from_slice(&self.first);
        }
        self.rest.extend_from_slice(&piece);
    }

    pub fn into_bytes(self) -> Bytes {
        if self.rest.is_empty() { self.first } else { self.rest.freeze() }
    }
}
