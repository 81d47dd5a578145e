//! Clients: JSON-RPC lines over TCP.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::Duration;

/// How a try ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A result with this content, in base64.
    Served(String),
    /// Refused; the milliseconds to stay away.
    Refused(u64),
    /// Any other error.
    Failed,
    /// No answer by the end of the time.
    Nothing,
    /// The connection ended without one.
    Ended,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Call<'c> {
    pub class: &'c str,
    pub id: u64,
    pub deadline_ms: u64,
    pub tenant: &'c str,
    pub function: u64,
    pub key: Option<&'c str>,
    pub is_retry: bool,
}

impl Call<'_> {
    /// The line, with the number of the request on its connection.
    pub fn line(&self, number: u64) -> String {
        let Self { class, id, deadline_ms, tenant, function, .. } = self;
        let key = self.key.map_or_else(String::new, |key| format!(r#","k":"{key}""#));
        let retry = if self.is_retry { r#","r":1"# } else { "" };
        format!(
            r#"{{"jsonrpc":"2.0","id":{number},"method":"{class}","params":{{"i":"{id:016x}","d":{deadline_ms},"t":"{tenant}","o":"{function:016x}"{key}{retry},"info":"memory_mb:512;lanes:64;load_ms:100","content":"aGk="}}}}"#
        ) + "\n"
    }
}

/// A connection that carries one request at a time.
pub struct Client {
    stream: BufReader<TcpStream>,
    number: u64,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Self { stream: BufReader::new(stream), number: 0 })
    }

    /// Sends a request and waits for its answer, for half a second longer than its time.
    pub fn call(&mut self, call: &Call) -> Answer {
        self.number += 1;
        let timeout = Duration::from_millis(call.deadline_ms + 500);
        let _ = self.stream.get_ref().set_read_timeout(Some(timeout));
        if self.stream.get_mut().write_all(call.line(self.number).as_bytes()).is_err() {
            return Answer::Ended;
        }
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) => Answer::Ended,
            Ok(_) => read_answer(&line),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Answer::Nothing,
            Err(_) => Answer::Ended,
        }
    }
}

/// Reads the line of an answer.
pub fn read_answer(line: &str) -> Answer {
    let after = |name: &str| line.split(name).nth(1);
    if let Some(content) = after("\"content\":\"") {
        return Answer::Served(content.split('"').next().unwrap_or_default().to_owned());
    }
    if line.contains("\"code\":-32066") {
        let wait = after("\"w\":").map(|rest| rest.chars().take_while(char::is_ascii_digit).collect::<String>());
        return Answer::Refused(wait.and_then(|digits| digits.parse().ok()).unwrap_or(0));
    }
    Answer::Failed
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects to an IPv4 address with segments of at most `segment` bytes, as a client behind Ethernet does (1460). It is
/// an option of this socket alone (`TCP_MAXSEG`).
pub fn connect_with_segments(address: SocketAddr, segment: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 0o2_000_001;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    let mut bytes = [0_u8; 16];
    bytes[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the pointers are valid for the stated lengths, and the new socket has no other owner.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &raw const segment, 4) != 0
            || connect(descriptor, bytes.as_ptr(), 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
