//! Bytes on their way to a socket that takes them when it can, for clients and workers alike.

use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Bytes of a buffer that a quiet connection keeps.
pub const KEPT: usize = 4 << 10;

/// What lies unread in a socket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Look {
    Nothing,
    Bytes,
    /// The other end has closed it, or it broke.
    Closed,
}

/// Looks without taking anything.
pub fn look(stream: &TcpStream) -> Look {
    let mut one = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut one) {
        Ok(0) => Look::Closed,
        Ok(_) => Look::Bytes,
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => Look::Nothing,
        Err(_) => Look::Closed,
    }
}

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

    /// Whether a first part of what is there has gone.
    pub fn begun(&self) -> bool {
        self.sent > 0
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
