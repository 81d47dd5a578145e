//! Workers that treat every attempt alike.

use crate::worker_frames::{Frame, frame, read_frame, request, response};
use nix::poll::{PollFd, PollFlags};
use socket2::Socket;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The load report that workers of tests add to their answers.
pub(super) const LOAD_REPORT: &str = "use=q:0;x1:0;x0:0.1";

/// What a worker does with an attempt: gets the number of attempts that it received before, the id of the call, and the
/// connection to answer on.
pub type WorkerBehaviour = fn(earlier_attempts: usize, id: u64, connection: &mut TcpStream);

/// Answers each attempt at once.
pub fn answers(_: usize, id: u64, connection: &mut TcpStream) {
    let _ = connection.write_all(&frame(response::DONE, id, LOAD_REPORT, b"done"));
}

/// Receives attempts and answers none.
pub fn never_answers(_: usize, _: u64, _: &mut TcpStream) {}

/// Answers one attempt after a delay, and receives others meanwhile.
pub fn answers_after(delay: Duration, id: u64, connection: &TcpStream) {
    let mut connection = connection.try_clone().expect("a descriptor");
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        answers(0, id, &mut connection);
    });
}

/// Whether a worker takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerCondition {
    /// It does.
    #[default]
    Ready,
    /// It finishes what it has, rejects what is new, and states so when its health is checked.
    Draining,
    /// It rejects attempts for want of room, and is healthy.
    Full,
    /// It reads, and answers nothing.
    Hung,
    /// Its process is gone: its connections are reset, and new ones refused.
    Gone,
}

/// A frame and when it was read.
#[derive(Clone, Debug)]
pub struct TimedFrame {
    /// When it had been read whole.
    pub at: Instant,
    /// Which of the worker's addresses it came to, by its position.
    pub listener: usize,
    /// Whether the worker took new work then.
    pub condition: WorkerCondition,
    /// The frame.
    pub frame: Frame,
}

impl TimedFrame {
    /// Whether it brings the worker new work: an attempt, or a request to load instances.
    pub fn is_new_work(&self) -> bool {
        match self.frame.code {
            request::ATTEMPT => true,
            request::LOAD => !self.frame.fields.ends_with("n=0"),
            _ => false,
        }
    }
}

/// The frames that a worker has received on all its connections.
#[derive(Clone, Debug, Default)]
pub struct ReceivedFrames(Arc<Mutex<Vec<TimedFrame>>>);

impl ReceivedFrames {
    /// Takes in a frame; returns how many attempts came before it.
    fn push(&self, frame: Frame, listener: usize, condition: WorkerCondition) -> usize {
        let mut frames = self.0.lock().expect("no test thread panicked");
        let earlier = frames.iter().filter(|received| received.frame.code == request::ATTEMPT).count();
        frames.push(TimedFrame { at: Instant::now(), listener, condition, frame });
        earlier
    }

    /// All frames, in the order in which they came.
    pub fn all(&self) -> Vec<TimedFrame> {
        self.0.lock().expect("no test thread panicked").clone()
    }

    /// The frames after a time that brought new work.
    pub fn new_work_after(&self, time: Instant) -> Vec<TimedFrame> {
        self.all().into_iter().filter(|received| received.at > time && received.is_new_work()).collect()
    }

    /// Number of frames of all kinds.
    pub fn count(&self) -> usize {
        self.0.lock().expect("no test thread panicked").len()
    }

    /// Ids of the frames with this code, in the order in which they came.
    pub fn ids(&self, code: u8) -> Vec<u64> {
        let frames = self.0.lock().expect("no test thread panicked");
        let frames = frames.iter().map(|received| &received.frame);
        frames.filter(|frame| frame.code == code).map(|frame| frame.id).collect()
    }

    /// Ids of the attempts, in the order in which they came.
    pub fn attempts(&self) -> Vec<u64> {
        self.ids(request::ATTEMPT)
    }

    /// Whether an attempt of the call with this id came.
    pub fn has_attempt(&self, id: u64) -> bool {
        self.attempts().contains(&id)
    }
}

/// What the threads of a worker share.
#[derive(Debug, Default)]
struct SharedState {
    is_stopped: AtomicBool,
    condition: Mutex<WorkerCondition>,
    /// Its open connections, to reset them. Bounded by those that the test's routers open.
    connections: Mutex<Vec<TcpStream>>,
}

impl SharedState {
    fn condition(&self) -> WorkerCondition {
        *self.condition.lock().expect("no test thread panicked")
    }
}

/// A worker on loopback, on threads of its own.
pub struct Worker {
    /// Where it listens; the first of its addresses.
    pub address: SocketAddr,
    /// All its addresses, so that each router can be given one of its own.
    pub addresses: Vec<SocketAddr>,
    /// What it has received.
    pub received: ReceivedFrames,
    state: Arc<SharedState>,
}

impl Worker {
    /// Starts a worker that treats every attempt so.
    pub fn start(behaviour: WorkerBehaviour) -> Self {
        Self::with_addresses(behaviour, 1)
    }

    /// Starts one with so many addresses.
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

    /// Changes whether it takes new work.
    pub fn set_condition(&self, condition: WorkerCondition) {
        *self.state.condition.lock().expect("no test thread panicked") = condition;
        if condition == WorkerCondition::Gone {
            self.reset_connections();
        }
    }

    /// Ends it for good. A worker that is only dropped goes on until its process ends.
    pub fn stop(&self) {
        self.set_condition(WorkerCondition::Gone);
        self.state.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Resets all its connections, as a process does that dies.
    pub fn reset_connections(&self) {
        let mut connections = self.state.connections.lock().expect("no test thread panicked");
        for connection in connections.drain(..) {
            let _ = socket2::SockRef::from(&connection).set_linger(Some(Duration::ZERO));
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// A port of a worker. It stays bound while nobody listens there, so that nobody else gets it.
struct Port {
    address: SocketAddr,
    /// Present while the worker's process is there.
    listener: Option<TcpListener>,
    /// Holds the port otherwise.
    reservation: Option<Socket>,
}

impl Port {
    fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a socket");
        let address = listener.local_addr().expect("a bound socket");
        Self { address, listener: Some(listener), reservation: None }
    }

    /// Refuses connections or accepts them.
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

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 128;

fn reserve(address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Waits a moment for connections, and starts a thread for each.
fn accept_connections(
    ports: &mut [Port],
    behaviour: WorkerBehaviour,
    received: &ReceivedFrames,
    state: &Arc<SharedState>,
) {
    /// Milliseconds after which the worker's condition is looked at again.
    const WAIT_MS: u8 = 20;
    let is_there = state.condition() != WorkerCondition::Gone;
    ports.iter_mut().for_each(|port| port.set_listening(is_there));
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

/// Serves one connection until it ends.
fn serve(
    mut stream: TcpStream,
    listener: usize,
    behaviour: WorkerBehaviour,
    received: &ReceivedFrames,
    state: &SharedState,
) -> Option<()> {
    loop {
        let frame_in = read_frame(&mut stream)?;
        let (code, id) = (frame_in.code, frame_in.id);
        let only_asks = frame_in.fields.ends_with("n=0");
        let condition = state.condition();
        let earlier_attempts = received.push(frame_in, listener, condition);
        let answer = match (code, condition) {
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
            (request::LOAD, WorkerCondition::Draining) if !only_asks => {
                frame(response::REJECTED, id, "n=0", b"")
            }
            (request::LOAD, _) => frame(response::DONE, id, "n=1", b""),
            _ => continue,
        };
        stream.write_all(&answer).ok()?;
    }
}
