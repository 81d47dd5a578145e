//! Buffers output to a socket, for client and worker connections.

use crate::sockets::Sockets;
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

    /// Whether the socket has accepted some but not all of the bytes.
    pub fn is_partially_written(&self) -> bool {
        self.written > 0
    }

    /// Writes as many bytes as the socket accepts, by the given system calls, and returns their number.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call. Bytes accepted before it count as written.
    pub fn write(&mut self, sockets: &dyn Sockets, stream: &TcpStream) -> io::Result<usize> {
        let before = self.written;
        while self.remaining() > 0 {
            match sockets.write(stream, &self.bytes[self.written..]) {
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
