//! The remaining time that `milletpath serve` sends to a worker with an attempt: when the first byte of the attempt is
//! sent, it is at most what the client has left, however long the attempt waited before.

use milletpath_test_support::serve_rig::{
    Client, FullBacklogWorker, Gateway, GatewayOptions, Message, OK, call_request,
};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of the client, in seconds.
const CLIENT_TIMEOUT: f64 = 2.5;
/// Seconds by which the stated time may exceed the client's remaining time.
const SLACK: f64 = 0.15;

/// Time for which the worker's host accepts no connections.
const ACCEPT_DELAY: Duration = Duration::from_millis(600);

/// The remaining time, in seconds, that each attempt stated.
type StatedTimes = Arc<Mutex<Vec<f64>>>;

/// Answers the requests of one connection and records the remaining time that each states.
fn answer_requests(stream: TcpStream, stated: &StatedTimes) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = Message::read(&mut stream) {
        let field = message.fields.iter().find_map(|field| field.strip_prefix("milletpath-left: "));
        let seconds =
            field.and_then(|seconds| seconds.parse().ok()).expect("the request states the remaining time");
        stated.lock().expect("no test thread panicked").push(seconds);
        let _ = stream.get_mut().write_all(OK.as_bytes());
    }
}

/// Guards against computing the remaining time when the worker is chosen: its host accepts the connection about a
/// second later, and only then is the attempt sent.
#[test]
fn an_attempt_on_a_late_connection_states_the_remaining_time() {
    let worker = FullBacklogWorker::start();
    let options = GatewayOptions { workers_settings: "connect = 2.2", ..GatewayOptions::default() };
    let gateway = Gateway::with_options(worker.address, &options);
    let mut client = Client::connect(gateway.address).expect("the gateway listens");
    let sent = Instant::now();
    let timeout_field = format!("milletpath-patience: {CLIENT_TIMEOUT}\r\n");
    client.write(&call_request(&timeout_field, "hi")).expect("the gateway reads");
    std::thread::sleep(ACCEPT_DELAY);
    // No connection can be established before this time, so no attempt has been sent yet.
    let accepts_from = Instant::now();
    let stated = StatedTimes::default();
    let recorded = stated.clone();
    let _filler = worker.accept(move |stream| answer_requests(stream, &recorded));
    assert_eq!(client.response().map(|response| response.status()), Some(200));
    let stated = stated.lock().expect("no test thread panicked");
    let seconds = *stated.first().expect("the worker received an attempt");
    let left = CLIENT_TIMEOUT - (accepts_from - sent).as_secs_f64();
    assert!(seconds <= left + SLACK, "the attempt stated {seconds:.3} s, but only {left:.3} s were left");
}
