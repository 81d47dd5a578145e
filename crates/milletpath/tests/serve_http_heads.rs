//! Compares the HTTP heads that `milletpath serve` sends to a worker, and the responses that it sends to a client, with
//! a fixture, byte for byte.
//!
//! The fixture was recorded by running this test against the release of 2026-12-02, when the rig still used the flags
//! of that release. Values of fields that differ from run to run are masked.

use milletpath_test_support::program::scratch_path;
use milletpath_test_support::serve_rig::{
    Client, FULL, Gateway, GatewayOptions, Message, OK, Worker, call_request,
};
use milletpath_test_support::wait::wait_for;
use nix::sys::signal::Signal;
use std::fmt::Write as _;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const FIXTURE: &str = include_str!("fixtures/http/heads.txt");

/// Header fields whose values differ from run to run.
const MASKED: [&str; 4] = ["date", "host", "milletpath-activation", "milletpath-left"];

// Responses of the worker. The body of a call selects one of them.
const WITH_FIELDS: &str = "HTTP/1.1 200 OK\r\nX-Model: seven\r\nMilletpath-Found: loaded\r\n\
    Milletpath-Company: 2\r\nEndpoint-Load-Metrics: TEXT cpu_utilization=0.3\r\nContent-Type: text/plain\r\n\
    Connection: keep-alive\r\nContent-Length: 4\r\n\r\ndone";
const NOT_FOUND: &str = "HTTP/1.1 404 Not Found\r\nx-reason: unknown name\r\ncontent-length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
const LARGE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 60\r\n\r\n\
    012345678901234567890123456789012345678901234567890123456789";
const MISSING: &str = "HTTP/1.1 404 Missing\r\nmilletpath-refused: missing\r\ncontent-length: 0\r\n\r\n";
const LOADED: &str = "HTTP/1.1 200 OK\r\nmilletpath-copies: 1\r\ncontent-length: 0\r\n\r\n";

/// Time that the worker takes for a call with the body "slow".
const SLOW: Duration = Duration::from_millis(700);

/// Configuration with small limits, and a profile whose calls are not idempotent, so that they are not retried.
const CONFIGURATION: &str = "profile \"once\" {\ndue = 1\ncut_off = 2\neffect = \"effectful\"\n}\n\
    limits {\nbody = 100\nanswer = 50\nstall = 0.3\n}\nfunction \"greet\" { profile = \"pure\" }\n\
    function \"pay\" { profile = \"once\" }\n";

/// The requests that the worker has received.
type Received = Arc<Mutex<Vec<Message>>>;

/// A worker that records its requests and chooses its response by the body of the call.
struct RecordingWorker {
    address: SocketAddr,
    received: Received,
}

impl RecordingWorker {
    fn start() -> Self {
        let received = Received::default();
        let shared = received.clone();
        let address = Worker::serve_with(move |stream| serve(stream, &shared));
        Self { address, received }
    }

    /// Takes the masked heads of the requests received since the last call of this function.
    fn take_heads(&self) -> Vec<String> {
        let received = std::mem::take(&mut *self.received.lock().expect("no test thread panicked"));
        received.iter().map(|message| masked(&message.head)).collect()
    }

    /// Waits for a request whose first line contains this text, and returns its masked head.
    fn wait_for_head(&self, text: &str) -> String {
        let find = || {
            let received = self.received.lock().expect("no test thread panicked");
            received
                .iter()
                .find(|message| message.start_line.contains(text))
                .map(|message| masked(&message.head))
        };
        wait_for(find).unwrap_or_else(|| panic!("no {text} in {:?}", self.received))
    }
}

/// Serves one connection until it is closed.
fn serve(stream: TcpStream, received: &Received) {
    let mut stream = BufReader::new(stream);
    let mut is_loaded = false;
    while let Some(message) = Message::read(&mut stream) {
        let is_load = message.start_line.contains("/load ");
        is_loaded |= is_load;
        let answer = match message.body.as_slice() {
            _ if is_load => LOADED,
            b"fields" => WITH_FIELDS,
            b"unknown" => NOT_FOUND,
            b"error" => ERROR,
            b"large" => LARGE,
            b"full" => FULL,
            b"load" if !is_loaded => MISSING,
            _ => OK,
        };
        let is_slow = message.body == b"slow";
        received.lock().expect("no test thread panicked").push(message);
        if is_slow {
            std::thread::sleep(SLOW);
        }
        let _ = stream.get_mut().write_all(answer.as_bytes());
    }
}

/// Formats a head for the fixture: line ends are escaped, and values that differ from run to run are masked.
fn masked(head: &str) -> String {
    let mask = |line: &str| {
        let name = line.split(':').next().unwrap_or_default();
        let is_masked = MASKED.contains(&name.to_ascii_lowercase().as_str());
        let line = if is_masked { format!("{name}: *\r\n") } else { line.to_owned() };
        line.escape_default().to_string() + "\n"
    };
    head.split_inclusive('\n').map(mask).collect()
}

/// Formats a response for the fixture.
fn formatted_response(response: &Message) -> String {
    format!("{}{}\n", masked(&response.head), response.body.escape_ascii())
}

/// The heads of successive exchanges, in the format of the fixture.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn add(&mut self, case: &str, direction: &str, head: &str) {
        writeln!(self.0, "== {case}, {direction}\n{head}").expect("writing to a string succeeds");
    }

    /// Sends a request on its own connection and adds the heads of the exchange.
    fn exchange(&mut self, case: &str, gateway: &Gateway, worker: &RecordingWorker, request: &str) {
        let mut client = Client::connect(gateway.address).expect("the gateway listens");
        client.write(request).expect("the gateway reads");
        let response = client.response().unwrap_or_else(|| panic!("{case}: no response"));
        // Only the first attempt is compared: the number of retries depends on the time that is left.
        if let Some(head) = worker.take_heads().first() {
            self.add(case, "to the worker", head);
        }
        self.add(case, "to the client", &formatted_response(&response));
    }

    fn assert_matches(&self, fixture: &str) {
        if self.0 != fixture {
            let path = scratch_path("http-heads", ".txt");
            std::fs::write(&path, &self.0).expect("the file can be written");
            panic!("heads differ from the fixture: compare it with {}\n{}", path.display(), self.0);
        }
    }
}

fn call_with(fields: &str, body: &str) -> String {
    call_request(&format!("milletpath-patience: 0.5\r\n{fields}"), body)
}

/// Exchanges in which the gateway sends the call to the worker.
fn answered_calls(transcript: &mut Transcript, gateway: &Gateway, worker: &RecordingWorker) {
    const FIELDS: &str = "X-Trace: 0af7\r\nIdempotency-Key: mark-1\r\nMilletpath-Repeat: 1\r\n\
        Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nAccept: text/plain\r\n\
        Content-Type: text/plain\r\n";
    let not_idempotent = |body| call_with("", body).replace("functions/greet", "functions/pay");
    let cases = [
        ("a plain call", call_request("", "hello")),
        ("a call with fields", call_with(FIELDS, "hello")),
        ("an answer with fields", call_with("", "fields")),
        ("a call that closes its connection", call_with("connection: close\r\n", "hello")),
        ("a worker's 404", call_with("", "unknown")),
        ("a call without a body", call_with("", "")),
        ("a worker without capacity", call_with("", "full")),
        ("a call that failed", not_idempotent("error")),
        ("a call that is late", not_idempotent("slow")),
        ("an answer that is too large", call_with("", "large")),
    ];
    for (case, request) in cases {
        transcript.exchange(case, gateway, worker, &request);
    }
}

/// Exchanges that the gateway answers without a worker.
fn rejected_requests(transcript: &mut Transcript, gateway: &Gateway, worker: &RecordingWorker) {
    let post = |path: &str| format!("POST {path} HTTP/1.1\r\nhost: g\r\ncontent-length: 0\r\n\r\n");
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: g\r\n\r\n");
    let incomplete = call_with("", "hello");
    let cases = [
        ("a field out of bounds", call_request("milletpath-patience: soon\r\n", "")),
        ("a profile that is not the function's", call_request("milletpath-profile: once\r\n", "")),
        ("an unknown profile", call_request("milletpath-profile: none\r\n", "")),
        ("a name that is not valid", post("/v1/functions/a%20b/activations")),
        ("an unknown path", post("/v1/nothing")),
        ("a method that is not allowed", get("/v1/functions/greet/activations")),
        ("a body that is too large", call_request("", &"x".repeat(101))),
        ("a body that does not come", incomplete[..incomplete.len() - 1].to_owned()),
        ("liveness", get("/health/live")),
        ("readiness", get("/health/ready")),
    ];
    for (case, request) in cases {
        transcript.exchange(case, gateway, worker, &request);
    }
}

/// SIGTERM arrives while one call is in flight and another is partly received.
fn call_while_closing(transcript: &mut Transcript, gateway: &Gateway) {
    let connect = || Client::connect(gateway.address).expect("the gateway listens");
    let (mut in_flight, mut partial) = (connect(), connect());
    let call = call_request("", "hello");
    let (first_part, rest) = call.split_at(40);
    in_flight.write(&call_request("", "slow")).expect("the gateway reads");
    partial.write(first_part).expect("the gateway reads");
    std::thread::sleep(SLOW / 4);
    gateway.process.signal(Signal::SIGTERM);
    std::thread::sleep(SLOW / 4);
    partial.write(rest).expect("the gateway reads");
    let rejected = partial.response().expect("the gateway responds");
    transcript.add("a call that is complete after SIGTERM", "to the client", &formatted_response(&rejected));
    let last = in_flight.response().expect("the gateway responds");
    transcript.add("a call in flight at SIGTERM", "to the client", &formatted_response(&last));
}

#[test]
fn heads_to_worker_and_client_match_the_fixture() {
    let mut transcript = Transcript::default();
    let worker = RecordingWorker::start();
    let gateway = Gateway::start(worker.address, CONFIGURATION);
    answered_calls(&mut transcript, &gateway, &worker);
    rejected_requests(&mut transcript, &gateway, &worker);
    call_while_closing(&mut transcript, &gateway);
    transcript.assert_matches(FIXTURE);
}

/// The requests that a gateway sends to a worker besides calls: load requests and health checks.
#[test]
fn heads_of_load_requests_and_health_checks_match_the_fixture() {
    let worker = RecordingWorker::start();
    let options = GatewayOptions {
        // With several gateways, a gateway asks for the worker's load before an attempt.
        top_level_settings: "gateways = 2",
        workers_settings: "misses = true",
        load_requests: true,
        health_checks: true,
        ..GatewayOptions::default()
    };
    let gateway = Gateway::with_options(worker.address, &options);
    let mut transcript = Transcript::default();
    let mut client = Client::connect(gateway.address).expect("the gateway listens");
    client.write(&call_request("", "load")).expect("the gateway reads");
    transcript.add("a load request", "to the worker", &worker.wait_for_head("/load "));
    client.response().expect("the gateway responds");
    transcript.add("a health check", "to the worker", &worker.wait_for_head("/v2/health/ready"));
    transcript.assert_matches(include_str!("fixtures/http/worker-requests.txt"));
}
