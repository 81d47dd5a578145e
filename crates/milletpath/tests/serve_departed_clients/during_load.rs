//! Clients that leave while their call waits for an instance to be loaded: no attempt begins for them more than 0.1 s
//! after they left.

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

/// Longer than the 0.1 s for which an attempt may still begin after its client has left.
const LONGER_THAN_GRACE: Duration = Duration::from_millis(150);
/// The response of a worker that has no instance of the function.
const MISSING: &str = "HTTP/1.1 404 Missing\r\nmilletpath-refused: missing\r\ncontent-length: 0\r\n\r\n";
/// The response to a load request after the instance is loaded.
const LOADED: &str = "HTTP/1.1 200 OK\r\nmilletpath-copies: 1\r\ncontent-length: 0\r\n\r\n";
/// Body of the call whose client leaves.
const LEAVING: &str = "gone";
/// Body of the call whose client stays.
const STAYING: &str = "stays";

/// The progress of loading the function.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LoadState {
    NotRequested,
    Requested,
    Done,
}

/// A worker without an instance, which rejects calls until a load request has been completed.
struct LoadingWorker {
    address: SocketAddr,
    state: Arc<WorkerState>,
}

struct WorkerState {
    load: Mutex<LoadState>,
    changed: Condvar,
    /// Bodies of the attempts received.
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
            let answer = if message.start_line.contains("/load ") {
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

    /// Records the first load request.
    fn record_request(&self) {
        let mut load = self.load.lock().expect("no test thread panicked");
        if *load == LoadState::NotRequested {
            *load = LoadState::Requested;
            self.changed.notify_all();
        }
    }

    /// Completes the load and so answers the load requests.
    fn finish_load(&self) {
        *self.load.lock().expect("no test thread panicked") = LoadState::Done;
        self.changed.notify_all();
    }

    /// Waits until the load has reached this state.
    fn await_load(&self, until: LoadState) {
        let load = self.load.lock().expect("no test thread panicked");
        let (load, _) = self
            .changed
            .wait_timeout_while(load, TIMEOUT, |load| *load != until)
            .expect("no test thread panicked");
        assert_eq!(*load, until);
    }
}

/// Starts a gateway that sends load requests to this worker.
fn start_gateway(worker: &LoadingWorker) -> Gateway {
    let options = GatewayOptions {
        workers_settings: "misses = true",
        load_requests: true,
        ..GatewayOptions::default()
    };
    Gateway::with_options(worker.address, &options)
}

/// Connects a client and writes a call.
fn send_call(gateway: &Gateway, body: &str) -> Client {
    let mut client = Client::connect(gateway.address).expect("the gateway listens");
    client.write(&call_request("milletpath-patience: 3\r\n", body)).expect("the gateway reads");
    client
}

/// One client leaves and another stays while both wait for the worker to load an instance. Either the load completes
/// some time after the client left, or a paused gateway finds both events when it resumes. Only the call of the client
/// that stayed may then be sent to the worker.
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
    assert_eq!(staying.response().expect("the call is answered").status(), 200);
    std::thread::sleep(LONGER_THAN_GRACE);
    let after = worker.attempts();
    assert!(after[before.len()..].iter().all(|body| body == STAYING), "{before:?}, then {after:?}");
}

/// If the client stays, an attempt is sent after the load.
#[test]
fn an_attempt_after_a_load_for_a_client_that_stays() {
    let worker = LoadingWorker::start();
    let gateway = start_gateway(&worker);
    let mut staying = send_call(&gateway, STAYING);
    worker.state.await_load(LoadState::Requested);
    std::thread::sleep(LONGER_THAN_GRACE);
    worker.state.finish_load();
    assert_eq!(staying.response().expect("the call is answered").status(), 200);
    assert_eq!(worker.attempts().len(), 2, "one rejected attempt, and one after the load");
}
