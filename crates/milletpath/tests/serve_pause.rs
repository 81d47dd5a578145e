//! `milletpath serve` paused by SIGSTOP: calls written during the pause are answered after it resumes.

use milletpath_test_support::serve_rig::{Client, Gateway, OK, Worker, call_request};
use std::sync::LazyLock;
use std::time::Duration;
use test_case::test_case;

/// Connections whose idle timeouts end before, during and after the pause each receive a call during the pause. After
/// the pause, the gateway must read the calls and not close the connections as idle.
#[test_case(500; "for half a second")]
#[test_case(2_000; "for two seconds")]
#[test_case(12_000; "for twelve seconds, past the watchdog of a core")]
fn calls_written_during_a_pause_are_answered(milliseconds: u64) {
    const CONNECTIONS: usize = 60;
    const INTERVAL: Duration = Duration::from_millis(20);
    let worker = Worker::start(OK, Duration::ZERO);
    let gateway = Gateway::start(worker.address, "cores = 2\nlimits { head = 1 }\n");
    let mut clients = Vec::new();
    for number in 0..CONNECTIONS {
        let mut client = Client::connect(gateway.address).expect("the gateway listens");
        // Every other connection is idle after a call, the rest have not carried a call yet.
        if number % 2 == 0 {
            client.write(&call_request("", "")).expect("the gateway reads");
            assert_eq!(client.response().expect("the call is answered").status(), 200);
        }
        clients.push(client);
        std::thread::sleep(INTERVAL);
    }
    gateway.process.pause();
    clients.retain(|client| !client.is_closed());
    assert!(clients.len() > CONNECTIONS / 2, "only {} connections are open", clients.len());
    let pause = Duration::from_millis(milliseconds);
    std::thread::sleep(pause / 2);
    for (number, client) in clients.iter_mut().enumerate() {
        // Every third call is written in two parts.
        let call = call_request("milletpath-patience: 30\r\n", "");
        let (first, rest) = call.split_at(if number % 3 == 0 { 20 } else { 0 });
        client.write(first).expect("the kernel buffers it");
        client.write(rest).expect("the kernel buffers it");
    }
    std::thread::sleep(pause / 2);
    gateway.process.resume();
    let calls = clients.len();
    let responses = clients.iter_mut().map(|client| client.response());
    let unanswered = responses.filter(Option::is_none).count();
    assert_eq!(unanswered, 0, "unanswered calls, of {calls}");
}

/// The gateway is paused while it writes a large answer, for longer than the time after which it disconnects a client
/// that reads nothing. The client reads the buffered part during the pause and must get the rest afterwards.
#[test]
fn a_large_answer_is_completed_after_a_pause() {
    const BYTES: usize = 24 << 20;
    static LARGE: LazyLock<String> =
        LazyLock::new(|| format!("HTTP/1.1 200 OK\r\ncontent-length: {BYTES}\r\n\r\n{}", "x".repeat(BYTES)));
    let worker = Worker::start(LARGE.as_str(), Duration::ZERO);
    let gateway = Gateway::start(worker.address, "limits {\nstall = 0.5\nanswer = 33554432\n}\n");
    let mut client = Client::connect(gateway.address).expect("the gateway listens");
    client.write(&call_request("", "")).expect("the gateway reads");
    // From here on, the gateway waits for space in the socket buffers between itself and the client.
    client.await_response();
    std::thread::sleep(Duration::from_millis(100));
    gateway.process.pause();
    let first_bytes = client.read_some(2 << 20);
    std::thread::sleep(Duration::from_secs(1));
    gateway.process.resume();
    let response = client.response_after(&first_bytes).expect("the response is complete");
    assert_eq!((response.status(), response.body.len()), (200, BYTES));
}
