//! A client of the gateway that sees each byte.

use super::message::Message;
use crate::wait::TIMEOUT;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// The bytes of a call of the function `greet`; `fields` are complete lines.
pub fn call_request(fields: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\n{fields}content-length: {length}\r\n\r\n{body}"
    )
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
pub enum Departure {
    /// It closes its connection.
    Close,
    /// It closes its sending end alone, and keeps the socket.
    HalfClose,
    /// Its connection is reset.
    Reset,
}

/// One connection of a client; it waits for an answer for [`TIMEOUT`] at most.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to a gateway.
    pub fn connect(to: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self(BufReader::new(stream)))
    }

    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Whether the gateway has closed the connection, as far as this side knows.
    pub fn is_closed(&self) -> bool {
        self.stream().set_nonblocking(true).expect("a socket");
        let peeked = self.stream().peek(&mut [0]);
        self.stream().set_nonblocking(false).expect("a socket");
        !matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Leaves; one that only closes its sending end keeps its socket.
    pub fn depart(self, how: Departure) -> Option<Self> {
        match how {
            Departure::Close => {}
            Departure::HalfClose => {
                self.stream().shutdown(Shutdown::Write).expect("the connection is open");
                return Some(self);
            }
            // Closed without lingering, it is reset.
            Departure::Reset => {
                SockRef::from(self.stream()).set_linger(Some(Duration::ZERO)).expect("a socket");
            }
        }
        None
    }

    /// Writes text as it is.
    pub fn write(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// The next response; `None` where the connection ends before it does, or nothing comes in time.
    pub fn response(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }

    /// Waits for the first byte of a response, and leaves it unread.
    pub fn await_response(&self) {
        self.stream().peek(&mut [0]).expect("a response");
    }

    /// Reads so many bytes, or fewer where no more come for 100 ms.
    pub fn read_some(&mut self, bytes: usize) -> Vec<u8> {
        const QUIET: Duration = Duration::from_millis(100);
        let mut buffer = vec![0; bytes];
        let mut filled = 0;
        self.stream().set_read_timeout(Some(QUIET)).expect("a socket");
        while let Ok(read @ 1..) = self.0.read(&mut buffer[filled..]) {
            filled += read;
        }
        self.stream().set_read_timeout(Some(TIMEOUT)).expect("a socket");
        buffer.truncate(filled);
        buffer
    }

    /// A response whose first bytes were read before.
    pub fn response_after(&mut self, first_bytes: &[u8]) -> Option<Message> {
        Message::read(&mut BufReader::new(first_bytes.chain(&mut self.0)))
    }

    /// All that the gateway writes until it closes the connection.
    pub fn read_to_end(&mut self) -> String {
        let mut text = String::new();
        self.0.read_to_string(&mut text).expect("text until the connection is closed");
        text
    }
}
