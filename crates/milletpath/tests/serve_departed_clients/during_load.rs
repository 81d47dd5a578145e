//! Clients that leave while their call waits for a load: no attempt begins for them over 0.1 s later.

use Departure::{Close, HalfClose, Reset};
use ProcessState::{Paused, Running};
use milletpath_test_support::process::ProcessState;
use milletpath_test_support::serve_rig::{
    Client, Departure, Gateway, GatewayOptions, Message, OK, Worker, call_request,
};
use milletpath_test_support::wait::TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use test_case::test_matrix;

/// An attempt may begin for 0.1 s after its client has left; this is longer.
const LONGER_THAN_GRACE: Duration = Duration::from_millis(150);
/// The answer of a worker that has no instance.
const MISSING: &str = "HTTP/1.1 404 Missing\r\nmilletpath-refused: missing\r\ncontent-length: 0\r\n\r\n";
/// The answer to a load request once there is an instance.
const LOADED: &str = "HTTP/1.1 200 OK\r\nmilletpath-copies: 1\r\ncontent-length: 0\r\n\r\n";
/// Body of the call of the client that leaves.
const LEAVING: &str = "gone";
/// Body of the call of the client that stays.
const STAYING: &str = "stays";

/// How far the load of the function is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LoadState {
    NotRequested,
    Requested,
    Done,
}

/// A worker without an instance: it rejects calls until it has loaded one, as it is requested to.
struct LoadingWorker {
    address: SocketAddr,
    state: Arc<WorkerState>,
}

struct WorkerState {
    load: Mutex<LoadState>,
    changed: Condvar,
    /// Bodies of the attempts that came.
    attempts: Mutex<Vec<String>>,
}

impl LoadingWorker {
    fn start() -> Self {
        let state = Arc::new(WorkerState {
            load: Mutex::new(LoadState::NotRequested),
            changed: Condvar::new(),
            attempts: Mutex::default(),
        });
        let shared = state.clone();
        let address = Worker::serve_with(move |stream| shared.serve(stream));
        Self { address, state }
    }

    fn attempts(&self) -> Vec<String> {
        self.state.attempts.lock().expect("no test thread panicked").clone()
    }
}

impl WorkerState {
    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(message) = Message::read(&mut stream) {
            let answer = if message.start.contains("/load ") {
                self.record_request();
                self.await_load(LoadState::Done);
                LOADED
            } else {
                let body = String::from_utf8_lossy(&message.body).into_owned();
                self.attempts.lock().expect("no test thread panicked").push(body);
                let loaded = *self.load.lock().expect("no test thread panicked") == LoadState::Done;
                if loaded { OK } else { MISSING }
            };
            let _ = stream.get_mut().write_all(answer.as_bytes());
        }
    }

    fn record_request(&self) {
        let mut load = self.load.lock().expect("no test thread panicked");
        if *load == LoadState::NotRequested {
            *load = LoadState::Requested;
            self.changed.notify_all();
        }
    }

    fn finish_load(&self) {
        *self.load.lock().expect("no test thread panicked") = LoadState::Done;
        self.changed.notify_all();
    }

    /// Waits until the load is that far.
    fn await_load(&self, until: LoadState) {
        let load = self.load.lock().expect("no test thread panicked");
        let (load, _) = self
            .changed
            .wait_timeout_while(load, TIMEOUT, |load| *load != until)
            .expect("no test thread panicked");
        assert_eq!(*load, until);
    }
}

/// A gateway that sends load requests to this worker.
fn start_gateway(worker: &LoadingWorker) -> Gateway {
    let options =
        GatewayOptions { workers: "misses = true", load_requests: true, ..GatewayOptions::default() };
    Gateway::with_options(worker.address, &options)
}

/// A client that has written a call.
fn send_call(gateway: &Gateway, body: &str) -> Client {
    let mut client = Client::connect(gateway.address).expect("it listens");
    client.write(&call_request("milletpath-patience: 3\r\n", body)).expect("it reads");
    client
}

/// The worker has no instance and is requested to load one. The client leaves, and once it has long gone the load is
/// over, or both is found by a gateway that was paused: the call of the client that stays goes out, and no other.
#[test_matrix([Close, HalfClose, Reset], [Running, Paused])]
fn no_attempt_after_a_load_for_a_client_that_has_left(departure: Departure, state: ProcessState) {
    let worker = LoadingWorker::start();
    let gateway = start_gateway(&worker);
    let leaving = send_call(&gateway, LEAVING);
    worker.state.await_load(LoadState::Requested);
    let mut staying = send_call(&gateway, STAYING);
    let before = worker.attempts();
    let _half_closed = match state {
        Running => {
            let half_closed = leaving.depart(departure);
            std::thread::sleep(LONGER_THAN_GRACE);
            worker.state.finish_load();
            half_closed
        }
        Paused => {
            gateway.process.pause();
            worker.state.finish_load();
            let half_closed = leaving.depart(departure);
            std::thread::sleep(LONGER_THAN_GRACE);
            gateway.process.resume();
            half_closed
        }
    };
    assert_eq!(staying.response().expect("an answer").status(), 200);
    std::thread::sleep(LONGER_THAN_GRACE);
    let after = worker.attempts();
    assert!(after[before.len()..].iter().all(|body| body == STAYING), "{before:?}, then {after:?}");
}

/// Where its client stays, the attempt does go out behind the load.
#[test]
fn an_attempt_after_a_load_for_a_client_that_stays() {
    let worker = LoadingWorker::start();
    let gateway = start_gateway(&worker);
    let mut staying = send_call(&gateway, STAYING);
    worker.state.await_load(LoadState::Requested);
    std::thread::sleep(LONGER_THAN_GRACE);
    worker.state.finish_load();
    assert_eq!(staying.response().expect("an answer").status(), 200);
    assert_eq!(worker.attempts().len(), 2, "one that was rejected, and one behind the load");
}
