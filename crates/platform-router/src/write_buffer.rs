//! Bytes on their way to a socket that takes them when it can, for clients and workers alike.

use crate::socket_errors::{self, Operation, Recovery};
use crate::sockets::{Sockets, SystemSockets};
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Bytes of a buffer that a quiet connection keeps.
pub const RETAINED_CAPACITY: usize = 4 << 10;

/// What lies unread in a socket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SocketState {
    Empty,
    Readable,
    /// The other end has closed it, or it broke.
    Closed,
}

/// Looks without taking anything.
pub fn peek_socket(stream: &TcpStream) -> SocketState {
    let mut one = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut one) {
        Ok(0) => SocketState::Closed,
        Ok(_) => SocketState::Readable,
        // What fails for a reason of our own says nothing about the other end.
        Err(e) if socket_errors::classify(Operation::Read, &e).recovery != Recovery::Close => {
            SocketState::Empty
        }
        Err(_) => SocketState::Closed,
    }
}

#[derive(Default)]
pub struct WriteBuffer {
    pub bytes: Vec<u8>,
    sent: usize,
}

impl WriteBuffer {
    /// Bytes that the socket has not taken yet.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.sent
    }

    /// Whether a first part of what is there has gone.
    pub fn is_partially_written(&self) -> bool {
        self.sent > 0
    }

    /// Writes as far as the socket takes it; how many bytes that were.
    pub fn write(&mut self, stream: &TcpStream) -> io::Result<usize> {
        self.write_with(&SystemSockets, stream)
    }

    /// The same by other system calls. What went before an error counts as gone.
    pub fn write_with(&mut self, sockets: &dyn Sockets, stream: &TcpStream) -> io::Result<usize> {
        let before = self.sent;
        while self.remaining() > 0 {
            match sockets.write(stream, &self.bytes[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(self.sent - before),
                Err(e) => return Err(e),
            }
        }
        let wrote = self.sent - before;
        self.sent = 0;
        self.bytes.clear();
        if self.bytes.capacity() > RETAINED_CAPACITY {
            self.bytes = Vec::new();
        }
        Ok(wrote)
    }
}
