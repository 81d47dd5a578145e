//! `milletpath serve` stopped by SIGSTOP: what was written to it meanwhile is answered once it moves on.

mod served;

use nix::sys::signal::Signal;
use served::{Client, OK, Served, request};
use std::sync::LazyLock;
use std::time::Duration;
use test_case::test_case;

/// Idle connections whose time limits fall due before, during and after the standstill, each with a call written to it
/// while the process stands still: none may be closed as idle on top of it.
#[test_case(500; "for half a second")]
#[test_case(2_000; "for two seconds")]
#[test_case(12_000; "for twelve seconds, past the time after which a core is given up on")]
fn calls_written_during_a_standstill_are_answered(milliseconds: u64) {
    const CONNECTIONS: usize = 60;
    const APART: Duration = Duration::from_millis(20);
    let (worker, _) = served::worker(OK, Duration::ZERO);
    let served = Served::start(worker, "cores = 2\nlimits { head = 1 }\n");
    let mut clients = Vec::new();
    for number in 0..CONNECTIONS {
        let mut client = Client::connect(served.address).expect("it listens");
        // Every other one is idle behind a call, the rest have carried none yet.
        if number % 2 == 0 {
            client.write(&request("", "")).expect("it reads");
            assert_eq!(client.answer().expect("an answer").status(), 200);
        }
        clients.push(client);
        std::thread::sleep(APART);
    }
    served.halt();
    clients.retain(|client| !client.is_closed());
    assert!(clients.len() > CONNECTIONS / 2, "{} are open", clients.len());
    let stood = Duration::from_millis(milliseconds);
    std::thread::sleep(stood / 2);
    for (number, client) in clients.iter_mut().enumerate() {
        // Some in two pieces.
        let call = request("milletpath-patience: 30\r\n", "");
        let (first, rest) = call.split_at(if number % 3 == 0 { 20 } else { 0 });
        client.write(first).expect("the kernel takes it");
        client.write(rest).expect("the kernel takes it");
    }
    std::thread::sleep(stood / 2);
    served.signal(Signal::SIGCONT);
    let calls = clients.len();
    let lost = clients.iter_mut().filter_map(|client| client.answer().is_none().then_some(())).count();
    assert_eq!(lost, 0, "of {calls} calls without an answer");
}

/// The process stands still amid a large answer, for longer than a client may take nothing; the client takes all that
/// there is meanwhile, and gets the rest afterwards.
#[test]
fn an_answer_is_written_to_its_end_after_a_standstill() {
    const BYTES: usize = 24 << 20;
    static LARGE: LazyLock<String> =
        LazyLock::new(|| format!("HTTP/1.1 200 OK\r\ncontent-length: {BYTES}\r\n\r\n{}", "x".repeat(BYTES)));
    let (worker, _) = served::worker(LARGE.as_str(), Duration::ZERO);
    let served = Served::start(worker, "limits {\nstall = 0.5\nanswer = 33554432\n}\n");
    let mut client = Client::connect(served.address).expect("it listens");
    client.write(&request("", "")).expect("it reads");
    // From here on the gateway waits for room in the buffers between the two.
    client.await_answer();
    std::thread::sleep(Duration::from_millis(100));
    served.halt();
    let begun = client.take(2 << 20);
    std::thread::sleep(Duration::from_secs(1));
    served.signal(Signal::SIGCONT);
    let answer = client.answer_begun(begun).expect("all of the answer");
    assert_eq!((answer.status(), answer.body.len()), (200, BYTES));
}
