//! Workers that treat every attempt alike.

use crate::worker_frames::{Frame, frame, read_frame, request, response};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
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
}

/// A frame and when it was read.
#[derive(Clone, Debug)]
pub struct TimedFrame {
    /// When it had been read whole.
    pub at: Instant,
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
    fn push(&self, frame: Frame) -> usize {
        let mut frames = self.0.lock().expect("no test thread panicked");
        let earlier = frames.iter().filter(|received| received.frame.code == request::ATTEMPT).count();
        frames.push(TimedFrame { at: Instant::now(), frame });
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
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has received.
    pub received: ReceivedFrames,
    state: Arc<SharedState>,
}

impl Worker {
    /// Starts a worker that treats every attempt so.
    pub fn start(behaviour: WorkerBehaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let received = ReceivedFrames::default();
        let state = Arc::<SharedState>::default();
        let (frames, shared) = (received.clone(), state.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (frames, shared) = (frames.clone(), shared.clone());
                if let Ok(copy) = stream.try_clone() {
                    shared.connections.lock().expect("no test thread panicked").push(copy);
                }
                std::thread::spawn(move || serve(stream, behaviour, &frames, &shared));
            }
        });
        Self { address, received, state }
    }

    /// Changes whether it takes new work.
    pub fn set_condition(&self, condition: WorkerCondition) {
        *self.state.condition.lock().expect("no test thread panicked") = condition;
    }

    /// Ends all its connections, as a process does that dies.
    pub fn end_connections(&self) {
        let connections =
            std::mem::take(&mut *self.state.connections.lock().expect("no test thread panicked"));
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Serves one connection until it ends.
fn serve(
    mut stream: TcpStream,
    behaviour: WorkerBehaviour,
    received: &ReceivedFrames,
    state: &SharedState,
) -> Option<()> {
    loop {
        let frame_in = read_frame(&mut stream)?;
        let (code, id) = (frame_in.code, frame_in.id);
        let only_asks = frame_in.fields.ends_with("n=0");
        let earlier_attempts = received.push(frame_in);
        let condition = state.condition();
        let answer = match (code, condition) {
            (_, WorkerCondition::Hung) => continue,
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
