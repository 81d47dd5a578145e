//! Buffers output to a socket, for client and worker connections.

use crate::sockets::Sockets;
use milletpath_platform_protocol::lines;
use std::io::{self, ErrorKind};
use tokio::net::TcpStream;

/// Buffer capacity that an idle connection keeps; larger buffers are freed.
pub(crate) const RETAINED_CAPACITY: usize = 4 << 10;

/// Bytes to be written to a socket. Callers that append to it limit its size.
#[derive(Default)]
pub(crate) struct WriteBuffer {
    /// Bytes appended since the socket last accepted everything.
    pub bytes: Vec<u8>,
    written: usize,
}

impl WriteBuffer {
    /// Number of bytes that the socket has not accepted yet.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Appends what `write` writes, at most `max_length` bytes.
    pub fn append(&mut self, max_length: usize, write: impl FnOnce(&mut Vec<u8>)) {
        self.reserve(max_length);
        write(&mut self.bytes);
    }

    /// Appends a response without a body.
    pub fn append_short(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        self.append(lines::MAX_SHORT_LENGTH, write);
    }

    /// Makes room for more bytes, without the spare capacity that a growing vector reserves: a large buffer may have to
    /// wait for a long time.
    fn reserve(&mut self, more: usize) {
        /// Part of the buffer's length by which it grows at least, so that it is not copied for each small addition.
        const GROWTH_DIVISOR: usize = 8;
        let free = self.bytes.capacity() - self.bytes.len();
        if more > free {
            self.bytes.reserve_exact(more.max(self.bytes.len() / GROWTH_DIVISOR));
        }
    }

    /// Drops what the socket has accepted, once that is more than what it has not: a client that is never quite up to
    /// date would otherwise keep all that it has read. [`is_partially_written`](Self::is_partially_written) holds no
    /// longer then.
    pub fn drop_written(&mut self) {
        if self.written > RETAINED_CAPACITY && self.written >= self.remaining() {
            self.bytes.drain(..self.written);
            self.written = 0;
            self.bytes.shrink_to(2 * self.bytes.len());
        }
    }

    /// Whether the socket has accepted some but not all of the bytes.
    pub fn is_partially_written(&self) -> bool {
        self.written > 0
    }

    /// Writes as many bytes as the socket accepts, by the given system calls, and returns their number.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call, or [`ErrorKind::WriteZero`] where it accepts nothing without an error. Bytes
    /// accepted before it count as written.
    pub fn write(&mut self, sockets: &dyn Sockets, stream: &TcpStream) -> io::Result<usize> {
        let before = self.written;
        while self.remaining() > 0 {
            match sockets.write(stream, &self.bytes[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(self.written - before),
                Err(e) => return Err(e),
            }
        }
        let wrote = self.written - before;
        self.written = 0;
        self.bytes.clear();
        if self.bytes.capacity() > RETAINED_CAPACITY {
            self.bytes = Vec::new();
        }
        Ok(wrote)
    }
}

#[cfg(test)]
mod tests;
