//! Workers that handle every attempt by the same function.

use crate::worker_frames::{Frame, frame, read_frame, request, response};
use nix::poll::{PollFd, PollFlags};
use socket2::Socket;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Load report that workers include in their responses.
pub(super) const LOAD_REPORT: &str = "use=q:0;x1:0;x0:0.1";

/// Handles an attempt, given the number of attempts that the worker received before, the id of the call and the
/// connection for the response.
pub type WorkerBehaviour = fn(earlier_attempts: usize, id: u64, connection: &mut TcpStream);

/// Responds to each attempt immediately.
pub fn answers(_: usize, id: u64, connection: &mut TcpStream) {
    let _ = connection.write_all(&frame(response::DONE, id, LOAD_REPORT, b"done"));
}

/// Never responds to an attempt.
pub fn never_answers(_: usize, _: u64, _: &mut TcpStream) {}

/// Responds to an attempt after a delay, without blocking the connection.
pub fn answers_after(delay: Duration, id: u64, connection: &TcpStream) {
    let mut connection = connection.try_clone().expect("a file descriptor is available");
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        answers(0, id, &mut connection);
    });
}

/// Whether a worker accepts new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerCondition {
    /// It accepts new work.
    #[default]
    Ready,
    /// It finishes the work it has, rejects new work and responds to health checks that it is unhealthy.
    Draining,
    /// It is healthy, but rejects attempts because it is at capacity.
    Full,
    /// It reads frames but never responds.
    Hung,
    /// It behaves as if its process had died: open connections are reset and new ones refused.
    Gone,
}

/// A received frame and the circumstances of its receipt.
#[derive(Clone, Debug)]
pub struct TimedFrame {
    /// When the frame had been read completely.
    pub at: Instant,
    /// Index of the worker's address at which the frame arrived.
    pub listener: usize,
    /// The worker's condition at that time.
    pub condition: WorkerCondition,
    /// The frame.
    pub frame: Frame,
}

impl TimedFrame {
    /// Whether the frame is new work for the worker: an attempt, or a request to load instances.
    pub fn is_new_work(&self) -> bool {
        match self.frame.code {
            request::ATTEMPT => true,
            request::LOAD => !self.frame.fields.ends_with("n=0"),
            _ => false,
        }
    }
}

/// The frames that a worker has received over all of its connections.
#[derive(Clone, Debug, Default)]
pub struct ReceivedFrames(Arc<Mutex<Vec<TimedFrame>>>);

impl ReceivedFrames {
    /// Records a frame and returns the number of attempts received before it.
    fn push(&self, frame: Frame, listener: usize, condition: WorkerCondition) -> usize {
        let mut frames = self.0.lock().expect("no test thread panicked");
        let earlier = frames.iter().filter(|received| received.frame.code == request::ATTEMPT).count();
        frames.push(TimedFrame { at: Instant::now(), listener, condition, frame });
        earlier
    }

    /// Returns all frames in the order in which they arrived.
    pub fn all(&self) -> Vec<TimedFrame> {
        self.0.lock().expect("no test thread panicked").clone()
    }

    /// Returns the frames with new work that arrived after the given time.
    pub fn new_work_after(&self, time: Instant) -> Vec<TimedFrame> {
        self.all().into_iter().filter(|received| received.at > time && received.is_new_work()).collect()
    }

    /// Returns the number of frames of all kinds.
    pub fn count(&self) -> usize {
        self.0.lock().expect("no test thread panicked").len()
    }

    /// Returns the ids of the frames with the given code in the order in which they arrived.
    pub fn ids(&self, code: u8) -> Vec<u64> {
        let frames = self.0.lock().expect("no test thread panicked");
        let frames = frames.iter().map(|received| &received.frame);
        frames.filter(|frame| frame.code == code).map(|frame| frame.id).collect()
    }

    /// Returns the ids of the attempts in the order in which they arrived.
    pub fn attempts(&self) -> Vec<u64> {
        self.ids(request::ATTEMPT)
    }

    /// Whether an attempt of the call with the given id has arrived.
    pub fn has_attempt(&self, id: u64) -> bool {
        self.attempts().contains(&id)
    }
}

/// State that the threads of a worker share.
#[derive(Debug, Default)]
struct SharedState {
    is_stopped: AtomicBool,
    condition: Mutex<WorkerCondition>,
    /// Connections to reset when the worker is gone. Bounded by the number that the test's routers open.
    connections: Mutex<Vec<TcpStream>>,
}

impl SharedState {
    fn condition(&self) -> WorkerCondition {
        *self.condition.lock().expect("no test thread panicked")
    }
}

/// A worker on loopback that runs in its own threads.
pub struct Worker {
    /// The first of its addresses.
    pub address: SocketAddr,
    /// All addresses at which it listens, so that each router can use a different one.
    pub addresses: Vec<SocketAddr>,
    /// The frames that it has received.
    pub received: ReceivedFrames,
    state: Arc<SharedState>,
}

impl Worker {
    /// Starts a worker that handles every attempt by `behaviour`.
    pub fn start(behaviour: WorkerBehaviour) -> Self {
        Self::with_addresses(behaviour, 1)
    }

    /// Like [`start`](Self::start), with the given number of addresses.
    pub fn with_addresses(behaviour: WorkerBehaviour, addresses: usize) -> Self {
        let mut ports: Vec<_> = (0..addresses).map(|_| Port::open()).collect();
        let addresses: Vec<_> = ports.iter().map(|port| port.address).collect();
        let received = ReceivedFrames::default();
        let state = Arc::<SharedState>::default();
        let (frames, shared) = (received.clone(), state.clone());
        std::thread::spawn(move || {
            while !shared.is_stopped.load(Ordering::Relaxed) {
                accept_connections(&mut ports, behaviour, &frames, &shared);
            }
        });
        Self { address: addresses[0], addresses, received, state }
    }

    /// Sets the condition. [`WorkerCondition::Gone`] also resets all connections.
    pub fn set_condition(&self, condition: WorkerCondition) {
        *self.state.condition.lock().expect("no test thread panicked") = condition;
        if condition == WorkerCondition::Gone {
            self.reset_connections();
        }
    }

    /// Stops the worker for good. Dropping it without this call leaves it running until the test process exits.
    pub fn stop(&self) {
        self.set_condition(WorkerCondition::Gone);
        self.state.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Resets all connections, as when a process dies.
    pub fn reset_connections(&self) {
        let mut connections = self.state.connections.lock().expect("no test thread panicked");
        for connection in connections.drain(..) {
            let _ = socket2::SockRef::from(&connection).set_linger(Some(Duration::ZERO));
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// A port of a worker. It stays bound while the worker does not listen, so that no other process can take it.
struct Port {
    address: SocketAddr,
    /// The listening socket, while connections are accepted.
    listener: Option<TcpListener>,
    /// A bound socket that reserves the port while connections are refused.
    reservation: Option<Socket>,
}

impl Port {
    fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        listener.set_nonblocking(true).expect("the socket is open");
        let address = listener.local_addr().expect("the socket is bound");
        Self { address, listener: Some(listener), reservation: None }
    }

    /// Accepts connections or refuses them.
    fn set_listening(&mut self, listens: bool) {
        if listens == self.listener.is_some() {
            return;
        }
        if !listens {
            self.listener = None;
            self.reservation = reserve(self.address).ok();
            return;
        }
        let socket = self.reservation.take().or_else(|| reserve(self.address).ok());
        self.listener = socket.and_then(|socket| {
            socket.listen(BACKLOG).ok()?;
            socket.set_nonblocking(true).ok()?;
            Some(socket.into())
        });
    }
}

/// Maximum number of pending connections per port.
const BACKLOG: i32 = 128;

/// Binds a socket to an address without listening.
fn reserve(address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Waits a short time for connections and starts a thread for each. The ports follow the worker's condition.
fn accept_connections(
    ports: &mut [Port],
    behaviour: WorkerBehaviour,
    received: &ReceivedFrames,
    state: &Arc<SharedState>,
) {
    /// Milliseconds after which the worker's condition is checked again.
    const WAIT_MS: u8 = 20;
    let is_listening = state.condition() != WorkerCondition::Gone;
    ports.iter_mut().for_each(|port| port.set_listening(is_listening));
    let listeners: Vec<_> = ports.iter().filter_map(|port| port.listener.as_ref()).collect();
    let mut polled: Vec<_> =
        listeners.iter().map(|listener| PollFd::new(listener.as_fd(), PollFlags::POLLIN)).collect();
    if polled.is_empty() {
        std::thread::sleep(Duration::from_millis(WAIT_MS.into()));
        return;
    }
    if nix::poll::poll(&mut polled, WAIT_MS).unwrap_or(0) == 0 {
        return;
    }
    for (index, port) in ports.iter().enumerate() {
        while let Some((stream, _)) = port.listener.as_ref().and_then(|listener| listener.accept().ok()) {
            let (received, state) = (received.clone(), state.clone());
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                state.connections.lock().expect("no test thread panicked").push(copy);
            }
            std::thread::spawn(move || serve(stream, index, behaviour, &received, &state));
        }
    }
}

/// Serves one connection until it ends or the worker is gone.
fn serve(
    mut stream: TcpStream,
    listener: usize,
    behaviour: WorkerBehaviour,
    received: &ReceivedFrames,
    state: &SharedState,
) -> Option<()> {
    loop {
        let received_frame = read_frame(&mut stream)?;
        let (code, id) = (received_frame.code, received_frame.id);
        let is_instance_query = received_frame.fields.ends_with("n=0");
        let condition = state.condition();
        let earlier_attempts = received.push(received_frame, listener, condition);
        let response = match (code, condition) {
            (_, WorkerCondition::Hung) => continue,
            (_, WorkerCondition::Gone) => return None,
            (request::ATTEMPT, WorkerCondition::Ready) => {
                behaviour(earlier_attempts, id, &mut stream);
                continue;
            }
            (request::ATTEMPT, _) => frame(response::REJECTED, id, LOAD_REPORT, b""),
            (request::HEALTH_CHECK | request::HEALTH_CHECK_WITH_LOAD, WorkerCondition::Draining) => {
                frame(response::UNHEALTHY, id, LOAD_REPORT, b"")
            }
            (request::HEALTH_CHECK | request::HEALTH_CHECK_WITH_LOAD, _) => {
                frame(response::HEALTHY, id, LOAD_REPORT, b"")
            }
            (request::LOAD, WorkerCondition::Draining) if !is_instance_query => {
                frame(response::REJECTED, id, "n=0", b"")
            }
            (request::LOAD, _) => frame(response::DONE, id, "n=1", b""),
            _ => continue,
        };
        stream.write_all(&response).ok()?;
    }
}
