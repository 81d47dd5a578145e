//! A worker that the story plays itself.

use crate::town::{frame, wait};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A worker that does nothing by itself: the story takes its connections, reads its frames and answers them, so that
/// things cross in the order that the story wants.
pub struct Held {
    listener: TcpListener,
    pub address: SocketAddr,
}

/// What a worker was sent.
#[derive(Debug, PartialEq)]
pub struct Frame {
    pub code: u8,
    pub id: u64,
    pub fields: String,
}

impl Held {
    pub fn new() -> Self {
        Self::of(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    /// One whose listener takes in one connection; the next comes up a second after the first was taken, when its
    /// opening is sent again.
    pub fn crowded() -> (Self, TcpStream) {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("a port");
        let held = Self::of(socket.into());
        let first = TcpStream::connect(held.address).expect("there is room for one");
        (held, first)
    }

    /// Takes in who took its only place, once another connection has been asked for and found none: that one.
    pub fn makes_room(&self, filler: TcpStream) -> Wire {
        /// The state of a connection that is asked for, as the system's table writes it.
        const ASKED_FOR: &str = "02";
        let port = format!(":{:04X}", self.address.port());
        let asked_for = |line: &str| {
            let mut words = line.split_whitespace().skip(2);
            words.next().is_some_and(|to| to.ends_with(&port)) && words.next() == Some(ASKED_FOR)
        };
        let table = || std::fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
        wait(|| table().lines().any(asked_for).then_some(())).expect("a connection that is asked for");
        drop((self.connection(), filler));
        self.connection()
    }

    fn of(listener: TcpListener) -> Self {
        listener.set_nonblocking(true).expect("a socket");
        let address = listener.local_addr().expect("bound");
        Self { listener, address }
    }

    /// The next connection, within some seconds.
    pub fn connection(&self) -> Wire {
        wait(|| self.taken()).expect("a connection")
    }

    /// The next connection, if one waits.
    pub fn taken(&self) -> Option<Wire> {
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).expect("a socket");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a socket");
        Some(Wire { stream })
    }
}

/// One connection of a held worker.
pub struct Wire {
    pub stream: TcpStream,
}

impl Wire {
    /// The next frame; none where the connection ended or nothing comes.
    pub fn frame(&mut self) -> Option<Frame> {
        let mut head = [0; 16];
        self.stream.read_exact(&mut head).ok()?;
        let long = |bytes: &[u8]| bytes.iter().fold(0, |n, &b| n << 8 | u64::from(b));
        let mut rest = vec![0; long(&head[2..4]) as usize + long(&head[4..8]) as usize + 4];
        self.stream.read_exact(&mut rest).ok()?;
        let fields = String::from_utf8(rest[..long(&head[2..4]) as usize].to_vec()).expect("text");
        Some(Frame { code: head[1], id: long(&head[8..]), fields })
    }

    /// The next frame of that kind; what comes before is passed over.
    pub fn next(&mut self, code: u8) -> Option<Frame> {
        std::iter::from_fn(|| self.frame()).find(|frame| frame.code == code)
    }

    pub fn answer(&mut self, code: u8, id: u64) {
        let body: &[u8] = if code == 200 { b"done" } else { b"" };
        self.stream.write_all(&frame(code, id, "use=q:0;x1:0;x0:0.1", body)).expect("it is open");
    }
}
