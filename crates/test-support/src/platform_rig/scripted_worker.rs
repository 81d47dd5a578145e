//! A worker whose every step is the test's own.

use super::worker::LOAD_REPORT;
use crate::wait::{TIMEOUT, wait_for};
use crate::worker_frames::{Frame, frame, read_frame, response};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A worker that does nothing by itself: the test accepts its connections, reads its frames and answers them, so that
/// events cross in the order that the test wants.
pub struct ScriptedWorker {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
}

impl ScriptedWorker {
    /// One that listens on a port of its own.
    pub fn start() -> Self {
        Self::from_listener(TcpListener::bind("127.0.0.1:0").expect("a free port"))
    }

    /// One whose backlog has room for one connection, and the connection that takes it. The next comes up a second
    /// after [`free_backlog`](Self::free_backlog), when the system repeats its SYN.
    pub fn with_full_backlog() -> (Self, TcpStream) {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("a free port");
        let worker = Self::from_listener(socket.into());
        let filler = TcpStream::connect(worker.address).expect("the backlog has room for one");
        (worker, filler)
    }

    /// Waits until the router has asked for a connection and found the backlog full, frees it, and accepts the router's.
    pub fn free_backlog(&self, filler: TcpStream) -> WorkerConnection {
        /// State of a connection that is being opened, as the system's table of sockets writes it.
        const SYN_SENT: &str = "02";
        let port = format!(":{:04X}", self.address.port());
        let is_being_opened = |line: &str| {
            let mut words = line.split_whitespace().skip(2);
            words.next().is_some_and(|remote| remote.ends_with(&port)) && words.next() == Some(SYN_SENT)
        };
        let table = || std::fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
        wait_for(|| table().lines().any(is_being_opened).then_some(())).expect("a connection being opened");
        drop((self.accept(), filler));
        self.accept()
    }

    fn from_listener(listener: TcpListener) -> Self {
        listener.set_nonblocking(true).expect("a socket");
        let address = listener.local_addr().expect("a bound socket");
        Self { listener, address }
    }

    /// The next connection; panics where none comes in time.
    pub fn accept(&self) -> WorkerConnection {
        wait_for(|| self.try_accept()).expect("a connection")
    }

    /// The next connection, if one waits.
    pub fn try_accept(&self) -> Option<WorkerConnection> {
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).expect("a socket");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
        Some(WorkerConnection { stream })
    }

    /// The connection that one of these workers gets next; panics where none comes in time.
    pub fn accept_at_any(workers: &[Self]) -> WorkerConnection {
        wait_for(|| workers.iter().find_map(Self::try_accept)).expect("a connection")
    }

    /// The connections that wait to be accepted.
    pub fn waiting_connections(&self) -> impl Iterator<Item = WorkerConnection> {
        std::iter::from_fn(|| self.try_accept())
    }
}

/// One connection of a [`ScriptedWorker`].
pub struct WorkerConnection {
    /// The socket.
    pub stream: TcpStream,
}

impl WorkerConnection {
    /// The next frame with this code, others are skipped; `None` where the connection ended or nothing comes.
    pub fn next_frame(&mut self, code: u8) -> Option<Frame> {
        std::iter::from_fn(|| read_frame(&mut self.stream)).find(|frame| frame.code == code)
    }

    /// Writes an answer to the frame with this id, with a load report.
    pub fn respond(&mut self, code: u8, id: u64) {
        let body: &[u8] = if code == response::DONE { b"done" } else { b"" };
        self.write(&frame(code, id, LOAD_REPORT, body));
    }

    /// Writes the answer that the load request with this id has led to an instance.
    pub fn respond_loaded(&mut self, id: u64) {
        self.write(&frame(response::DONE, id, "n=1", b""));
    }

    fn write(&mut self, frame: &[u8]) {
        self.stream.write_all(frame).expect("the connection is open");
    }
}
