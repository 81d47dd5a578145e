//! A worker that is controlled by the test step by step.

use super::worker::LOAD_REPORT;
use crate::wait::{TIMEOUT, wait_for};
use crate::worker_frames::{Frame, frame, read_frame, response};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A worker that does nothing by itself. The test accepts its connections, reads frames and responds to them, and so
/// decides the order in which events occur.
pub struct ScriptedWorker {
    listener: TcpListener,
    /// Address at which it listens.
    pub address: SocketAddr,
}

impl ScriptedWorker {
    /// Starts a worker on a free port.
    pub fn start() -> Self {
        Self::from_listener(TcpListener::bind("127.0.0.1:0").expect("a loopback port is free"))
    }

    /// Starts a worker whose backlog has room for a single connection, and returns it with a connection that fills the
    /// backlog. A further connection is established only after [`free_backlog`](Self::free_backlog), when the operating
    /// system retransmits the SYN a second after the first.
    pub fn with_full_backlog() -> (Self, TcpStream) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("a socket can be opened");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any_port.into()).and_then(|()| socket.listen(0)).expect("a loopback port is free");
        let worker = Self::from_listener(socket.into());
        let backlog_filler = TcpStream::connect(worker.address).expect("the backlog has room for one");
        (worker, backlog_filler)
    }

    /// Waits until the router is connecting to the full backlog, frees the backlog, and accepts the router's
    /// connection.
    pub fn free_backlog(&self, backlog_filler: TcpStream) -> WorkerConnection {
        /// State of a connection that is being established, as written in `/proc/net/tcp`.
        const SYN_SENT: &str = "02";
        let port = format!(":{:04X}", self.address.port());
        let is_connecting = |line: &str| {
            let mut columns = line.split_whitespace().skip(2);
            columns.next().is_some_and(|remote| remote.ends_with(&port)) && columns.next() == Some(SYN_SENT)
        };
        let table = || std::fs::read_to_string("/proc/self/net/tcp").unwrap_or_default();
        wait_for(|| table().lines().any(is_connecting).then_some(())).expect("a router connects in time");
        drop((self.accept(), backlog_filler));
        self.accept()
    }

    fn from_listener(listener: TcpListener) -> Self {
        listener.set_nonblocking(true).expect("the socket is open");
        let address = listener.local_addr().expect("the socket is bound");
        Self { listener, address }
    }

    /// Accepts the next connection; panics if none arrives in time.
    pub fn accept(&self) -> WorkerConnection {
        wait_for(|| self.try_accept()).expect("a router connects in time")
    }

    /// Accepts the next connection if one is pending.
    pub fn try_accept(&self) -> Option<WorkerConnection> {
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).expect("the socket is open");
        stream.set_read_timeout(Some(TIMEOUT)).expect("the socket is open");
        Some(WorkerConnection { stream })
    }

    /// Accepts the next connection to any of the workers; panics if none arrives in time.
    pub fn accept_at_any(workers: &[Self]) -> WorkerConnection {
        wait_for(|| workers.iter().find_map(Self::try_accept)).expect("a router connects in time")
    }

    /// Accepts the pending connections.
    pub fn waiting_connections(&self) -> impl Iterator<Item = WorkerConnection> {
        std::iter::from_fn(|| self.try_accept())
    }
}

/// A connection to a [`ScriptedWorker`].
pub struct WorkerConnection {
    /// The socket.
    pub stream: TcpStream,
}

impl WorkerConnection {
    /// Reads the next frame with the given code and skips others. `None` if the connection ends or the read times out.
    pub fn next_frame(&mut self, code: u8) -> Option<Frame> {
        std::iter::from_fn(|| read_frame(&mut self.stream)).find(|frame| frame.code == code)
    }

    /// Responds to the frame with the given id, and includes a load report.
    pub fn respond(&mut self, code: u8, id: u64) {
        let body: &[u8] = if code == response::DONE { b"done" } else { b"" };
        self.write(&frame(code, id, LOAD_REPORT, body));
    }

    /// Responds to the load request with the given id that one instance is loaded.
    pub fn respond_loaded(&mut self, id: u64) {
        self.write(&frame(response::DONE, id, "n=1", b""));
    }

    fn write(&mut self, frame: &[u8]) {
        self.stream.write_all(frame).expect("the connection is open");
    }
}
