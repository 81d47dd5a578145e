//! Bytes on their way to a socket that takes them when it can, for clients and workers alike.

use crate::sockets::{Sockets, SystemSockets};
use std::io::{self, ErrorKind};
use tokio::net::TcpStream;

/// Bytes of a buffer that an idle connection keeps; a larger one is freed.
pub(crate) const RETAINED_CAPACITY: usize = 4 << 10;

/// Bytes that wait for a socket. Who appends to them bounds them.
#[derive(Default)]
pub(crate) struct WriteBuffer {
    /// What was appended since the socket last took everything.
    pub bytes: Vec<u8>,
    written: usize,
}

impl WriteBuffer {
    /// Bytes that the socket has not taken yet.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Whether the socket has taken a first part of the bytes.
    pub fn is_partially_written(&self) -> bool {
        self.written > 0
    }

    /// Writes as far as the socket takes it; returns how many bytes that were.
    ///
    /// # Errors
    ///
    /// That of the system call; the bytes before it count as written.
    pub fn write(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.write_with(&SystemSockets, stream)
    }

    /// The same by the system calls given.
    ///
    /// # Errors
    ///
    /// That of the system call; the bytes before it count as written.
    pub fn write_with(&mut self, sockets: &dyn Sockets, stream: &TcpStream) -> io::Result<usize> {
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
