//! A client of the router, and the lines that it writes.

use super::router::Router;
use crate::wait::TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// What the line of a call contains that a worker of these tests has answered: "done" in base64.
pub const DONE: &str = r#""result":{"content":"ZG9uZQ=="}"#;

/// What the line of a call contains that was rejected: sending it again does no harm.
pub const REJECTED: &str = "-32066";

/// The function that calls name where it does not matter.
const FUNCTION: &str = "7f3a9c21e0b4d655";

/// The line by which a client cancels its call with number 1.
const CANCEL_FIRST_CALL: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"giveUp\",\"params\":{\"id\":1}}\n";

/// The line of a call, with its number on the connection and its id; the client waits for 2.5 s.
pub fn call_line(number: u64, id: u64) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{number},"method":"p","params":{{"i":"{id:016x}","d":2500,"t":"acme","o":"{FUNCTION}","info":"memory_mb:5;lanes:64;load_ms:6","content":"aGk="}}}}"#
    ) + "\n"
}

/// The line of a call of this function.
pub fn function_call_line(number: u64, id: u64, function: u64) -> String {
    call_line(number, id).replace(FUNCTION, &format!("{function:016x}"))
}

/// The line that asks a router whether it is ready.
pub fn health_check_line(number: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","id":{number},"method":"probe","params":{{"deep":false}}}}"#) + "\n"
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
pub enum Departure {
    /// It closes its connection.
    Close,
    /// It closes its sending end alone, and keeps the socket. Whether it still reads can't be known.
    HalfClose,
    /// Its connection is reset.
    Reset,
    /// It cancels its call with number 1, and keeps the connection.
    Cancel,
}

/// One connection of a client; it waits for an answer for [`TIMEOUT`] at most.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a router.
    pub fn connect(router: &Router) -> Self {
        Self { stream: BufReader::new(Self::open(router.address)) }
    }

    fn open(address: SocketAddr) -> TcpStream {
        let stream = TcpStream::connect(address).expect("the router listens");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        stream
    }

    /// Writes text as it is; an error is no matter.
    pub fn send(&mut self, text: &str) {
        let _ = self.stream.get_mut().write_all(text.as_bytes());
    }

    /// Leaves while its call with number 1 waits for an answer.
    pub fn depart(&mut self, how: Departure) {
        match how {
            Departure::Close => self.shutdown(Shutdown::Both),
            Departure::HalfClose => self.shutdown(Shutdown::Write),
            Departure::Reset => self.reset(),
            Departure::Cancel => self.send(CANCEL_FIRST_CALL),
        }
    }

    fn shutdown(&self, how: Shutdown) {
        self.stream.get_ref().shutdown(how).expect("the connection is open");
    }

    /// Ends the connection with a reset, and opens another in its place.
    fn reset(&mut self) {
        let stream = self.stream.get_ref();
        // Closed without lingering, it is reset.
        socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("the connection is open");
        let address = stream.peer_addr().expect("the connection is open");
        self.stream = BufReader::new(Self::open(address));
    }

    /// Whether there is something to receive, if only the end of the connection.
    pub fn has_received(&self) -> bool {
        let stream = self.stream.get_ref();
        stream.set_nonblocking(true).expect("a socket");
        let received = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).expect("a socket");
        received
    }

    /// The next line; empty where the connection ended, or nothing came in time.
    pub fn receive(&mut self) -> String {
        let mut line = String::new();
        let _ = self.stream.read_line(&mut line);
        line
    }

    /// Whether the connection ends with nothing more, by a close and not by a reset.
    pub fn is_closed_cleanly(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    /// Calls, and returns the next line.
    pub fn call(&mut self, number: u64, id: u64) -> String {
        self.send(&call_line(number, id));
        self.receive()
    }

    /// Whether the router answers that it is ready.
    pub fn is_router_ready(&mut self, number: u64) -> bool {
        self.send(&health_check_line(number));
        self.receive().contains("\"fit\":true")
    }
}
