//! Workers that treat every attempt alike.

use crate::worker_frames::{Frame, frame, read_frame, request, response};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

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

/// The frames that a worker has received on all its connections.
#[derive(Clone, Debug, Default)]
pub struct ReceivedFrames(Arc<Mutex<Vec<Frame>>>);

impl ReceivedFrames {
    /// Takes in a frame; returns how many attempts came before it.
    fn push(&self, frame: Frame) -> usize {
        let mut frames = self.0.lock().expect("no test thread panicked");
        let earlier = frames.iter().filter(|frame| frame.code == request::ATTEMPT).count();
        frames.push(frame);
        earlier
    }

    /// Number of frames of all kinds.
    pub fn count(&self) -> usize {
        self.0.lock().expect("no test thread panicked").len()
    }

    /// Ids of the frames with this code, in the order in which they came.
    pub fn ids(&self, code: u8) -> Vec<u64> {
        let frames = self.0.lock().expect("no test thread panicked");
        frames.iter().filter(|frame| frame.code == code).map(|frame| frame.id).collect()
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

/// A worker on loopback, on threads of its own.
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has received.
    pub received: ReceivedFrames,
}

impl Worker {
    /// Starts a worker that treats every attempt so.
    pub fn start(behaviour: WorkerBehaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let received = ReceivedFrames::default();
        let frames = received.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let frames = frames.clone();
                std::thread::spawn(move || serve(stream, behaviour, &frames));
            }
        });
        Self { address, received }
    }
}

/// Serves one connection until it ends.
fn serve(mut stream: TcpStream, behaviour: WorkerBehaviour, received: &ReceivedFrames) -> Option<()> {
    loop {
        let frame_in = read_frame(&mut stream)?;
        let (code, id) = (frame_in.code, frame_in.id);
        let earlier_attempts = received.push(frame_in);
        let answer = match code {
            request::ATTEMPT => {
                behaviour(earlier_attempts, id, &mut stream);
                continue;
            }
            request::HEALTH_CHECK | request::HEALTH_CHECK_WITH_LOAD => {
                frame(response::HEALTHY, id, LOAD_REPORT, b"")
            }
            request::LOAD => frame(response::DONE, id, "n=1", b""),
            _ => continue,
        };
        stream.write_all(&answer).ok()?;
    }
}
