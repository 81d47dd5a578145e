//! A client of the router, and the lines that it sends.

use super::router::Router;
use crate::wait::TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Part of the response to a call that a worker of the rig completed; its content is "done" in base64.
pub const DONE: &str = r#""result":{"content":"ZG9uZQ=="}"#;

/// Error code in the response to a rejected call, which can be sent again safely.
pub const REJECTED: &str = "-32066";

/// The function that calls name unless a test chooses another.
const FUNCTION: &str = "7f3a9c21e0b4d655";

/// Returns the line of a call with the given number on its connection and the given call id. Its timeout is 2.5 s.
pub fn call_line(number: u64, id: u64) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{number},"method":"p","params":{{"i":"{id:016x}","d":2500,"t":"acme","o":"{FUNCTION}","info":"memory_mb:5;lanes:64;load_ms:6","content":"aGk="}}}}"#
    ) + "\n"
}

/// Like [`call_line`], for the given function.
pub fn function_call_line(number: u64, id: u64, function: u64) -> String {
    call_line(number, id).replace(FUNCTION, &format!("{function:016x}"))
}

/// Returns the line by which a client cancels its call with the given number.
pub fn cancel_line(number: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","method":"giveUp","params":{{"id":{number}}}}}"#) + "\n"
}

/// Returns the line of a health check, which asks a router whether it is ready.
pub fn health_check_line(number: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","id":{number},"method":"probe","params":{{"deep":false}}}}"#) + "\n"
}

/// How a client abandons its call.
#[derive(Clone, Copy, Debug)]
pub enum Departure {
    /// The client closes its connection.
    Close,
    /// The client shuts down only its sending direction and keeps the socket. The router cannot know whether the client
    /// still reads.
    HalfClose,
    /// The client resets its connection.
    Reset,
    /// The client cancels its call with number 1 and keeps the connection.
    Cancel,
}

/// A client with one connection. Reads time out after [`TIMEOUT`].
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
        stream.set_read_timeout(Some(TIMEOUT)).expect("the socket is open");
        stream
    }

    /// Writes text to the connection unchanged, and ignores write errors.
    pub fn send(&mut self, text: &str) {
        let _ = self.stream.get_mut().write_all(text.as_bytes());
    }

    /// Writes as much of a text as the system takes while the router may be paused. Gives up once nothing was taken for a
    /// while.
    pub fn send_without_blocking(&mut self, text: &str) {
        const MAX_WAIT: Duration = Duration::from_millis(50);
        let stream = self.stream.get_mut();
        stream.set_write_timeout(Some(MAX_WAIT)).expect("the socket is open");
        let _ = stream.write_all(text.as_bytes());
        stream.set_write_timeout(None).expect("the socket is open");
    }

    /// Abandons the call with number 1 while it waits for a response.
    pub fn depart(&mut self, how: Departure) {
        match how {
            Departure::Close => self.shutdown(Shutdown::Both),
            Departure::HalfClose => self.shutdown(Shutdown::Write),
            Departure::Reset => self.reset(),
            Departure::Cancel => self.send(&cancel_line(1)),
        }
    }

    fn shutdown(&self, how: Shutdown) {
        self.stream.get_ref().shutdown(how).expect("the connection is open");
    }

    /// Resets the connection and replaces it by a new one.
    fn reset(&mut self) {
        let stream = self.stream.get_ref();
        // With a linger time of zero, closing the socket sends a reset.
        socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("the connection is open");
        let address = stream.peer_addr().expect("the connection is open");
        self.stream = BufReader::new(Self::open(address));
    }

    /// Whether there is data to read or the connection has ended.
    pub fn has_received(&self) -> bool {
        let stream = self.stream.get_ref();
        stream.set_nonblocking(true).expect("the socket is open");
        let received = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).expect("the socket is open");
        received
    }

    /// Reads the next line. It is empty if the connection has ended or the read timed out.
    pub fn receive(&mut self) -> String {
        let mut line = String::new();
        let _ = self.stream.read_line(&mut line);
        line
    }

    /// Whether the connection ends with no further data, by a close rather than a reset.
    pub fn is_closed_cleanly(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    /// Sends a call and returns the next line that is received.
    pub fn call(&mut self, number: u64, id: u64) -> String {
        self.send(&call_line(number, id));
        self.receive()
    }

    /// Sends a health check and returns whether the router responds that it is ready.
    pub fn is_router_ready(&mut self, number: u64) -> bool {
        self.send(&health_check_line(number));
        self.receive().contains("\"fit\":true")
    }
}
