//! Bytes on their way to a socket that takes them when it can, for clients and workers alike.

use std::io::{self, ErrorKind};
use tokio::net::TcpStream;

/// Bytes of a buffer that a quiet connection keeps.
pub const KEPT: usize = 4 << 10;

#[derive(Default)]
pub struct Outbox {
    pub bytes: Vec<u8>,
    sent: usize,
}

impl Outbox {
    /// Bytes that the socket has not taken yet.
    pub fn left(&self) -> usize {
        self.bytes.len() - self.sent
    }

    /// Writes as far as the socket takes it; how many bytes that were.
    pub fn write(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let before = self.sent;
        while self.left() > 0 {
            match stream.try_write(&self.bytes[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(self.sent - before),
                Err(e) => return Err(e),
            }
        }
        let wrote = self.sent - before;
        self.sent = 0;
        self.bytes.clear();
        if self.bytes.capacity() > KEPT {
            self.bytes = Vec::new();
        }
        Ok(wrote)
    }
}
