//! Well-behaved clients alongside misbehaving ones.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, MAX_SOCKETS, Router, Worker, WorkerBehaviour, answers, call_line, never_answers,
};
use milletpath_test_support::worker_frames::{HEADER_BYTES, frame, response};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time between two rounds of a misbehaving client. The three of them open about 600 connections per second, which a
/// busy machine can still accept without delay.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Clients send invalid lines and reconnect as soon as they are rejected; a client with valid calls is served.
#[test]
fn a_valid_client_is_served_alongside_many_invalid_ones() {
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

/// Corrupts every other answer, so that its checksum does not match.
fn corrupts_every_other_answer(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    let mut answer = frame(response::DONE, id, "use=q:0;x1:0;x0:0.1", b"done");
    if earlier_attempts.is_multiple_of(2) {
        answer[HEADER_BYTES + 2] ^= 1;
    }
    let _ = connection.write_all(&answer);
}

/// Opens silent connections, sends invalid lines, and sends calls without reading the answers, until `stop` is set.
fn misbehave(router: &Router, client_number: u64, stop: &AtomicBool) {
    let mut id = client_number << 32;
    while !stop.load(Ordering::Relaxed) {
        let silent: Vec<_> = (0..8).map(|_| TcpStream::connect(router.address)).collect();
        if let Ok(mut invalid) = TcpStream::connect(router.address) {
            let _ = invalid.write_all(&b"{\"jsonrpc\":\"2.0\",\"id\":-1}\n".repeat(50));
        }
        if let Ok(mut never_reads) = TcpStream::connect(router.address) {
            let calls: String = (1..=32).map(|number| call_line(number, id + number)).collect();
            let _ = never_reads.write_all(calls.as_bytes());
            id += 32;
            std::thread::sleep(ROUND_INTERVAL);
        }
        for mut stream in silent.into_iter().flatten() {
            let _ = stream.set_nonblocking(true);
            let _ = stream.read(&mut [0; 64]);
        }
    }
}

/// Other clients send invalid lines, never read, flood or stay silent, and a worker never answers or corrupts its
/// answers. Each call of a well-behaved client still has its final answer in time, both on one long-lived connection
/// and on a new connection per call.
#[test_case(never_answers; "with a worker that never answers")]
#[test_case(corrupts_every_other_answer; "with a worker that corrupts its answers")]
fn a_well_behaved_client_is_served_alongside_misbehaving_ones(behaviour: WorkerBehaviour) {
    /// The call's deadline of 2.5 s, and half a second by which an answer may be late.
    const MAX_LATENCY: Duration = Duration::from_secs(3);
    let workers = [behaviour, answers].map(Worker::start);
    let addresses = workers.map(|worker| worker.address);
    let router = Router::start(&addresses, Discovery::steady().address, 128);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for client_number in 1..=3 {
            let (router, stop) = (&router, &stop);
            scope.spawn(move || misbehave(router, client_number, stop));
        }
        let mut unanswered = Vec::new();
        let mut long_lived = Client::connect(&router);
        for number in 1..=30 {
            let mut call = |client: &mut Client, number: u64, id: u64| {
                let called_at = Instant::now();
                let line = client.call(number, id);
                if !line.contains(&format!("\"id\":{number},")) || called_at.elapsed() > MAX_LATENCY {
                    println!("call {id}: {line:?} after {:?}", called_at.elapsed());
                    unanswered.push((id, line, called_at.elapsed()));
                }
            };
            call(&mut long_lived, number, number);
            call(&mut Client::connect(&router), 1, 1000 + number);
        }
        stop.store(true, Ordering::Relaxed);
        assert!(unanswered.is_empty(), "{unanswered:?}");
    });
}
