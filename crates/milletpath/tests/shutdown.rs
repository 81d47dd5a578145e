//! `milletpath serve` told to end by SIGTERM while clients go on: it ends by itself, and each call has its answer.

mod served;

use nix::sys::signal::Signal;
use served::{Client, OK, Served, Setup, request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_case::test_case;

/// SIGKILL comes as early as the longest deadline and this after SIGTERM.
const KILLED_AFTER: Duration = Duration::from_millis(700);

/// A call that was written so shortly before its connection ended may have crossed with the end.
const CROSSING: Duration = Duration::from_millis(50);

/// What became of a client's calls.
#[derive(Default)]
struct Calls {
    handled: usize,
    rejected: usize,
    /// Without an answer, and written more than a moment before their connection ended.
    lost: usize,
    /// Answers that lack what they must have once the gateway ends.
    malformed: Vec<String>,
}

/// Calls over and over on its connection, and on a new one where that ends, until nobody listens any more.
fn keeps_calling(gateway: SocketAddr, told: &AtomicBool) -> Calls {
    const PAUSE: Duration = Duration::from_millis(30);
    let mut calls = Calls::default();
    while let Ok(mut client) = Client::connect(gateway) {
        loop {
            // Told before the call was written.
            let ends = told.load(Ordering::Acquire);
            let written = Instant::now();
            if client.write(&request("milletpath-patience: 3\r\n", "hello")).is_err() {
                break;
            }
            let Some(answer) = client.answer() else {
                calls.lost += usize::from(written.elapsed() > CROSSING);
                break;
            };
            let closes = answer.has("connection: close");
            match answer.status() {
                200 => calls.handled += 1,
                503 if answer.has("retry-after: ") && (closes || !ends) => calls.rejected += 1,
                _ => calls.malformed.push(format!("{answer:?}")),
            }
            if closes {
                break;
            }
            std::thread::sleep(PAUSE);
        }
    }
    calls
}

#[test_case(20, 20; "twenty clients, a worker of 20 ms")]
#[test_case(20, 400; "twenty clients, a worker of 400 ms")]
#[test_case(200, 20; "two hundred clients, a worker of 20 ms")]
#[test_case(200, 400; "two hundred clients, a worker of 400 ms")]
fn clients_that_go_on_are_all_answered(clients: usize, milliseconds: u64) {
    let (worker, _) = served::worker(OK, Duration::from_millis(milliseconds));
    let mut served = Served::start(worker, "cores = 2\nfunctions { lanes = 1000 }\n");
    let told = Arc::new(AtomicBool::new(false));
    let begin = || {
        let (gateway, told) = (served.address, told.clone());
        std::thread::spawn(move || keeps_calling(gateway, &told))
    };
    let threads: Vec<_> = (0..clients).map(|_| begin()).collect();
    std::thread::sleep(Duration::from_millis(600));
    served.signal(Signal::SIGTERM);
    let signalled = Instant::now();
    // The signal takes a moment to be heard; calls that come first are taken as ever.
    std::thread::sleep(CROSSING);
    told.store(true, Ordering::Release);
    assert_eq!(served.ended().and_then(|status| status.code()), Some(0));
    let took = signalled.elapsed();
    assert!(took < Duration::from_secs(3) + KILLED_AFTER, "ended {took:?} after SIGTERM");
    let ended: Vec<_> = threads.into_iter().map(|thread| thread.join().expect("a client")).collect();
    let lost: usize = ended.iter().map(|calls| calls.lost).sum();
    let handled: usize = ended.iter().map(|calls| calls.handled).sum();
    assert_eq!(lost, 0, "without an answer; {handled} handled");
    assert!(handled >= clients, "{handled} handled");
    let malformed: Vec<_> = ended.iter().flat_map(|calls| &calls.malformed).collect();
    assert!(malformed.is_empty(), "{malformed:?}");
}

/// What lies unread when the signal comes, on idle connections, on such as nobody has accepted yet, and in two pieces
/// of which one comes later: each is answered, and told that the connection ends.
#[test]
fn calls_that_lie_unread_at_the_signal_are_answered() {
    const EACH: usize = 20;
    let (worker, _) = served::worker(OK, Duration::ZERO);
    let mut served = Served::start(worker, "cores = 2\n");
    let connect = || Client::connect(served.address).expect("it listens");
    let mut idle: Vec<_> = (0..EACH).map(|_| connect()).collect();
    let mut begun: Vec<_> = (0..EACH).map(|_| connect()).collect();
    for client in idle.iter_mut().chain(&mut begun) {
        client.write(&request("", "")).expect("it reads");
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
    let call = request("", "hello");
    let (first, rest) = call.split_at(30);
    begun.iter_mut().for_each(|client| client.write(first).expect("it reads"));
    std::thread::sleep(CROSSING);
    served.halt();
    let mut unaccepted: Vec<_> = (0..EACH).map(|_| connect()).collect();
    idle.iter_mut().chain(&mut unaccepted).for_each(|c| c.write(&call).expect("the kernel takes it"));
    std::thread::sleep(2 * CROSSING);
    served.signal(Signal::SIGTERM);
    served.signal(Signal::SIGCONT);
    std::thread::sleep(4 * CROSSING);
    begun.iter_mut().for_each(|client| client.write(rest).expect("it reads"));
    let answered = |clients: Vec<Client>| {
        let answers = clients.into_iter().filter_map(|mut client| client.answer());
        answers.filter(|a| a.status() == 200 || a.status() == 503 && a.has("connection: close")).count()
    };
    let answers = [answered(idle), answered(unaccepted), answered(begun)];
    assert_eq!(answers, [EACH; 3], "of the idle, the unaccepted and the begun");
    assert_eq!(served.ended().and_then(|status| status.code()), Some(0));
}

/// A client still writes a large call when its answer comes: the connection is not reset over that answer.
#[test]
fn an_answer_outlives_what_its_client_still_sends() {
    let (worker, _) = served::worker(OK, Duration::from_millis(300));
    let mut served = Served::start(worker, "limits { body = 33554432 }\n");
    let mut first = Client::connect(served.address).expect("it listens");
    let mut large = Client::connect(served.address).expect("it listens");
    first.write(&request("", "")).expect("it reads");
    let call = request("", &"x".repeat(32 << 20));
    let (head, body) = call.split_at(40);
    large.write(head).expect("it reads");
    std::thread::sleep(CROSSING);
    served.signal(Signal::SIGTERM);
    std::thread::sleep(CROSSING);
    assert!(large.write(body).is_ok(), "it reads to the end");
    let answer = large.answer().expect("an answer");
    assert!(answer.status() == 503 && answer.has("retry-after: ") && answer.has("connection: close"));
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(served.ended().and_then(|status| status.code()), Some(0));
}

/// A worker that hangs and clients that never complete their calls: the process ends before it would be killed, and
/// what was complete has its answer.
#[test]
fn nobody_keeps_the_process_from_its_end() {
    let (worker, arrivals) = served::worker(OK, Duration::from_secs(60));
    let setup = Setup { top: "limits { head = 30 }\n", cut_off: 1, ..Setup::default() };
    let mut served = Served::start_with(worker, &setup);
    let connect = || Client::connect(served.address).expect("it listens");
    let (mut waits, mut partial, mut begun, _idle) = (connect(), connect(), connect(), connect());
    waits.write(&request("milletpath-patience: 3\r\n", "")).expect("it reads");
    begun.write("POST /v1/func").expect("it reads");
    while arrivals.lock().expect("unbroken").is_empty() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let call = request("", "hello");
    partial.write(&call[..call.len() - 1]).expect("it reads");
    std::thread::sleep(CROSSING);
    served.signal(Signal::SIGTERM);
    let signalled = Instant::now();
    assert_eq!(served.ended().and_then(|status| status.code()), Some(0));
    let ended = signalled.elapsed();
    assert!(ended < Duration::from_secs(1) + KILLED_AFTER, "ended {ended:?} after SIGTERM");
    // Of a pure function: that it may have run is no reason not to try again.
    assert_eq!(waits.answer().expect("an answer").status(), 503);
}
