//! Buffers the body of an HTTP message chunk by chunk, and reserves each byte under the limit on buffered bytes before it
//! is kept. Most bodies arrive in one chunk, which is kept without copying.

use crate::response::BufferedBytes;
use bytes::{Bytes, BytesMut};
use milletpath_multicore::budget::Budget;
use std::sync::Arc;

/// The limit on buffered bytes is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many bytes are buffered")]
pub struct BuffersFull;

/// The chunks of a body received so far.
pub struct BodyBuffer {
    first: Bytes,
    /// All chunks concatenated; empty until there is more than one.
    joined: BytesMut,
    reservation: BufferedBytes,
}

/// A body that was received completely.
pub struct BufferedBody {
    /// The body.
    pub bytes: Bytes,
    /// Its reservation under the limit on buffered bytes.
    pub reservation: BufferedBytes,
}

impl BodyBuffer {
    /// Creates an empty buffer that reserves its bytes from `budget`.
    pub fn new(budget: &Arc<Budget>) -> Self {
        Self { first: Bytes::new(), joined: BytesMut::new(), reservation: BufferedBytes::empty(budget) }
    }

    /// Number of bytes received so far.
    pub fn len(&self) -> usize {
        if self.joined.is_empty() { self.first.len() } else { self.joined.len() }
    }

    /// Appends a chunk, or nothing if the limit on buffered bytes is reached.
    pub fn push(&mut self, chunk: Bytes) -> Result<(), BuffersFull> {
        if !self.reservation.grow(chunk.len()) {
            return Err(BuffersFull);
        }
        if self.len() == 0 {
            self.first = chunk;
            return Ok(());
        }
        if self.joined.is_empty() {
            // The chunk may keep a much larger buffer of its connection in memory.
            self.joined.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.joined.extend_from_slice(&chunk);
        Ok(())
    }

    /// Returns the complete body.
    pub fn into_body(self) -> BufferedBody {
        let bytes = if self.joined.is_empty() { self.first } else { self.joined.freeze() };
        BufferedBody { bytes, reservation: self.reservation }
    }
}

#[cfg(test)]
mod tests;
