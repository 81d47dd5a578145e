//! An HTTP client of the gateway that gives tests access to the raw bytes of a connection.

use super::message::Message;
use crate::wait::TIMEOUT;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Returns the request for a call of the function `greet`. `fields` are header lines, each ending with CRLF.
pub fn call_request(fields: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\n{fields}content-length: {length}\r\n\r\n{body}"
    )
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
pub enum Departure {
    /// The client closes its connection.
    Close,
    /// The client shuts down only its sending direction and keeps the socket.
    HalfClose,
    /// The client resets its connection.
    Reset,
}

/// A client with one connection. Reads time out after [`TIMEOUT`].
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to a gateway.
    pub fn connect(to: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    /// Returns the underlying socket.
    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Whether a read would not block. If no response is pending, this means that the gateway has closed the
    /// connection.
    pub fn is_closed(&self) -> bool {
        self.stream().set_nonblocking(true).expect("the socket is open");
        let peeked = self.stream().peek(&mut [0]);
        self.stream().set_nonblocking(false).expect("the socket is open");
        !matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Disconnects in the given way. [`Departure::HalfClose`] returns the client, which can still read.
    pub fn depart(self, how: Departure) -> Option<Self> {
        match how {
            Departure::Close => {}
            Departure::HalfClose => {
                self.stream().shutdown(Shutdown::Write).expect("the connection is open");
                return Some(self);
            }
            // With a linger time of zero, closing the socket sends a reset.
            Departure::Reset => {
                SockRef::from(self.stream()).set_linger(Some(Duration::ZERO)).expect("the socket is open");
            }
        }
        None
    }

    /// Writes text to the connection unchanged.
    pub fn write(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// Writes as much of a text as the system takes while the gateway may be paused. Gives up once nothing was taken for a
    /// while.
    pub fn write_without_blocking(&mut self, text: &str) {
        const MAX_WAIT: Duration = Duration::from_millis(50);
        self.stream().set_write_timeout(Some(MAX_WAIT)).expect("the socket is open");
        let _ = self.0.get_mut().write_all(text.as_bytes());
        self.stream().set_write_timeout(None).expect("the socket is open");
    }

    /// Reads the next response; `None` if the connection ends before the response is complete or the read times out.
    pub fn response(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }

    /// Waits until the first byte of a response has arrived, without reading it.
    pub fn await_response(&self) {
        self.stream().peek(&mut [0]).expect("a response arrives in time");
    }

    /// Reads up to the given number of bytes, or fewer if no more arrive within 100 ms.
    pub fn read_some(&mut self, bytes: usize) -> Vec<u8> {
        const READ_TIMEOUT: Duration = Duration::from_millis(100);
        let mut buffer = vec![0; bytes];
        let mut filled = 0;
        self.stream().set_read_timeout(Some(READ_TIMEOUT)).expect("the socket is open");
        while let Ok(read @ 1..) = self.0.read(&mut buffer[filled..]) {
            filled += read;
        }
        self.stream().set_read_timeout(Some(TIMEOUT)).expect("the socket is open");
        buffer.truncate(filled);
        buffer
    }

    /// Reads the rest of a response whose first bytes have already been read, and returns the whole response.
    pub fn response_after(&mut self, first_bytes: &[u8]) -> Option<Message> {
        Message::read(&mut BufReader::new(first_bytes.chain(&mut self.0)))
    }

    /// Reads everything that the gateway sends until it closes the connection.
    pub fn read_to_end(&mut self) -> String {
        let mut text = String::new();
        self.0.read_to_string(&mut text).expect("the gateway sends text and closes the connection");
        text
    }
}
