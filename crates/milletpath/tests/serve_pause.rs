//! `milletpath serve` paused by SIGSTOP: what was written to it meanwhile is answered once it resumes.

use milletpath_test_support::serve_rig::{Client, Gateway, OK, Worker, call_request};
use std::sync::LazyLock;
use std::time::Duration;
use test_case::test_case;

/// Idle connections whose time limits end before, during and after the pause, each with a call written to it during the
/// pause: none may be closed as idle on top of it.
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
        let mut client = Client::connect(gateway.address).expect("it listens");
        // Every other one is idle behind a call, the rest have carried none yet.
        if number % 2 == 0 {
            client.write(&call_request("", "")).expect("it reads");
            assert_eq!(client.response().expect("an answer").status(), 200);
        }
        clients.push(client);
        std::thread::sleep(INTERVAL);
    }
    gateway.process.pause();
    clients.retain(|client| !client.is_closed());
    assert!(clients.len() > CONNECTIONS / 2, "{} are open", clients.len());
    let pause = Duration::from_millis(milliseconds);
    std::thread::sleep(pause / 2);
    for (number, client) in clients.iter_mut().enumerate() {
        // Some in two pieces.
        let call = call_request("milletpath-patience: 30\r\n", "");
        let (first, rest) = call.split_at(if number % 3 == 0 { 20 } else { 0 });
        client.write(first).expect("the kernel takes it");
        client.write(rest).expect("the kernel takes it");
    }
    std::thread::sleep(pause / 2);
    gateway.process.resume();
    let calls = clients.len();
    let responses = clients.iter_mut().map(|client| client.response());
    let lost = responses.filter(Option::is_none).count();
    assert_eq!(lost, 0, "of {calls} calls without an answer");
}

/// The process is paused amid a large answer, for longer than a client may read nothing; the client reads all that
/// there is meanwhile, and the rest afterwards.
#[test]
fn an_answer_is_written_to_its_end_after_a_pause() {
    const BYTES: usize = 24 << 20;
    static LARGE: LazyLock<String> =
        LazyLock::new(|| format!("HTTP/1.1 200 OK\r\ncontent-length: {BYTES}\r\n\r\n{}", "x".repeat(BYTES)));
    let worker = Worker::start(LARGE.as_str(), Duration::ZERO);
    let gateway = Gateway::start(worker.address, "limits {\nstall = 0.5\nanswer = 33554432\n}\n");
    let mut client = Client::connect(gateway.address).expect("it listens");
    client.write(&call_request("", "")).expect("it reads");
    // From here on the gateway waits for room in the buffers between the two.
    client.await_response();
    std::thread::sleep(Duration::from_millis(100));
    gateway.process.pause();
    let first_bytes = client.read_some(2 << 20);
    std::thread::sleep(Duration::from_secs(1));
    gateway.process.resume();
    let response = client.response_after(&first_bytes).expect("the complete response");
    assert_eq!((response.status(), response.body.len()), (200, BYTES));
}
