//! Clients that behave well beside others that do not.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, MAX_SOCKETS, Router, Worker, WorkerBehaviour, answers, call_line, never_answers,
};
use milletpath_test_support::worker_frames::{HEADER_BYTES, frame, response};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time between two rounds of a client that misbehaves: some 600 connections a second come from all three, which a
/// crowded machine still accepts as they come.
const ROUND: Duration = Duration::from_millis(50);

/// Clients that are rejected come again at once, with invalid lines; a client that calls properly is served.
#[test]
fn a_valid_client_is_served_beside_many_invalid_ones() {
    let worker = Worker::start(answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                for _ in 0..50 {
                    let mut invalid = Client::connect(&router);
                    invalid.send(&"{\"jsonrpc\":\"2.0\",\"id\":-1}\n".repeat(20));
                    assert!(!invalid.receive().contains("result"));
                }
            });
        }
        let mut valid = Client::connect(&router);
        assert!((1..100).all(|n| valid.call(n, n).contains(DONE)));
    });
}

/// Every other answer fails its checksum.
fn corrupts_every_other_answer(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    let mut answer = frame(response::DONE, id, "use=q:0;x1:0;x0:0.1", b"done");
    if earlier_attempts.is_multiple_of(2) {
        answer[HEADER_BYTES + 2] ^= 1;
    }
    let _ = connection.write_all(&answer);
}

/// Sends invalid lines, reads nothing, keeps silent connections and holds calls open, until `stop` is set.
fn misbehave(router: &Router, serial: u64, stop: &AtomicBool) {
    let mut id = serial << 32;
    while !stop.load(Ordering::Relaxed) {
        let silent: Vec<_> = (0..8).map(|_| TcpStream::connect(router.address)).collect();
        if let Ok(mut invalid) = TcpStream::connect(router.address) {
            let _ = invalid.write_all(&b"{\"jsonrpc\":\"2.0\",\"id\":-1}\n".repeat(50));
        }
        if let Ok(mut never_reads) = TcpStream::connect(router.address) {
            let calls: String = (1..=32).map(|number| call_line(number, id + number)).collect();
            let _ = never_reads.write_all(calls.as_bytes());
            id += 32;
            std::thread::sleep(ROUND);
        }
        for mut one in silent.into_iter().flatten() {
            let _ = one.set_nonblocking(true);
            let _ = one.read(&mut [0; 64]);
        }
    }
}

/// Beside clients that send invalid lines, read nothing, flood or stay silent, and a worker that never answers or corrupts
/// its answers, every call of a client that behaves well has its final answer in its time, on a connection of its own
/// and on a new one each.
#[test_case(never_answers; "and a worker that never answers")]
#[test_case(corrupts_every_other_answer; "and a worker that corrupts its answers")]
fn a_client_that_behaves_well_beside_others(behaviour: WorkerBehaviour) {
    /// The call's own 2.5 s, and half a second by which an answer may be late.
    const IN_TIME: Duration = Duration::from_secs(3);
    let workers = [behaviour, answers].map(Worker::start);
    let addresses = workers.map(|worker| worker.address);
    let router = Router::start(&addresses, Discovery::steady().address, 128);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for serial in 1..=3 {
            let (router, stop) = (&router, &stop);
            scope.spawn(move || misbehave(router, serial, stop));
        }
        let mut unanswered = Vec::new();
        let mut own = Client::connect(&router);
        for number in 1..=30 {
            let mut call = |client: &mut Client, number: u64, id: u64| {
                let called = Instant::now();
                let line = client.call(number, id);
                if !line.contains(&format!("\"id\":{number},")) || called.elapsed() > IN_TIME {
                    println!("call {id}: {line:?} after {:?}", called.elapsed());
                    unanswered.push((id, line, called.elapsed()));
                }
            };
            call(&mut own, number, number);
            call(&mut Client::connect(&router), 1, 1000 + number);
        }
        stop.store(true, Ordering::Relaxed);
        assert!(unanswered.is_empty(), "{unanswered:?}");
    });
}
