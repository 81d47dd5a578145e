//! Calls and their answers: which are passed on, which are rejected, and what workers never receive.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, MAX_SOCKETS, REJECTED, Router, RouterConfiguration, Worker, WorkerBehaviour,
    answers, call_line, never_answers,
};
use milletpath_test_support::wait::{TIMEOUT, becomes_true};
use milletpath_test_support::worker_frames::{HEADER_BYTES, frame, request, response};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use test_case::test_case;

#[test]
fn calls_succeed_and_reach_the_worker_under_their_own_ids() {
    const CALLS: std::ops::Range<u64> = 2..40;
    const FIRST_ID: u64 = 0xabc0;
    let worker = Worker::start(answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut client = Client::connect(&router);
    assert!(client.is_router_ready(1));
    for number in CALLS {
        let line = client.call(number, FIRST_ID + number);
        assert!(line.contains(DONE) && line.contains(&format!("\"id\":{number},")), "{line}");
    }
    assert_eq!(worker.received.attempts(), CALLS.map(|number| FIRST_ID + number).collect::<Vec<_>>());
}

/// The first answer fails its checksum.
fn corrupts_the_first_answer(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    if earlier_attempts > 0 {
        return answers(earlier_attempts, id, connection);
    }
    let mut corrupt = frame(response::DONE, id, "", b"spoilt");
    corrupt[HEADER_BYTES + 2] ^= 1;
    let _ = connection.write_all(&corrupt);
}

/// The head of the first answer claims a body of three gigabytes.
fn claims_a_huge_first_answer(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    if earlier_attempts > 0 {
        return answers(earlier_attempts, id, connection);
    }
    let mut head = frame(response::DONE, id, "", b"")[..HEADER_BYTES].to_vec();
    head[4..8].copy_from_slice(&3_000_000_000_u32.to_be_bytes());
    let _ = connection.write_all(&head);
}

/// The connection of the first attempt is closed.
fn closes_at_the_first_attempt(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    if earlier_attempts > 0 {
        return answers(earlier_attempts, id, connection);
    }
    let _ = connection.shutdown(Shutdown::Both);
}

/// Answers an id that nobody asked about, and then each attempt twice.
fn answers_twice_and_an_unknown_id(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    let _ = connection.write_all(&frame(response::DONE, !id, "", b"whose?"));
    answers(earlier_attempts, id, connection);
    answers(earlier_attempts, id, connection);
}

/// Whatever the first answer is, an idempotent call succeeds with what a worker truly answered, and its client receives
/// one answer.
#[test_case(corrupts_the_first_answer; "a checksum that does not match")]
#[test_case(claims_a_huge_first_answer; "three gigabytes claimed")]
#[test_case(closes_at_the_first_attempt; "a connection that breaks")]
#[test_case(answers_twice_and_an_unknown_id; "a second answer and an unknown id")]
fn corrupt_answers_are_not_passed_on(behaviour: WorkerBehaviour) {
    let workers = [behaviour, behaviour, answers].map(Worker::start);
    let addresses = workers.map(|worker| worker.address);
    let router = Router::start(&addresses, Discovery::steady().address, MAX_SOCKETS);
    let mut client = Client::connect(&router);
    for number in 1..4 {
        let line = client.call(number, number);
        assert!(line.contains(DONE) && line.contains(&format!("\"id\":{number},")), "{line}");
    }
}

/// Invalid lines lead to an error or a close, and nothing that came with them goes to a worker.
#[test_case(&[call_line(1, 5), call_line(1, 6)].concat(); "two under one number")]
#[test_case(&[call_line(1, 5), call_line(2, 5)].concat(); "two under one id")]
#[test_case(&(1..=33).map(|n| call_line(n, n)).collect::<String>(); "one open call too many")]
#[test_case(&[call_line(1, 5), "{\n".into()].concat(); "no json behind a call")]
#[test_case(&call_line(1, 5).replace("acme", "else"); "a client group that does not exist")]
#[test_case(&call_line(1, 5).replace("\"p\"", "\"q\""); "a profile that does not exist")]
#[test_case(&"x".repeat(1 << 20); "a line that does not end")]
fn invalid_lines_are_not_forwarded(text: &str) {
    const VALID: u64 = 77;
    let worker = Worker::start(answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut invalid = Client::connect(&router);
    invalid.send(text);
    let lines: Vec<_> =
        std::iter::from_fn(|| Some(invalid.receive()).filter(|line| !line.is_empty())).collect();
    assert!(lines.iter().all(|line| line.contains("\"error\"")), "{lines:?}");
    assert!(Client::connect(&router).call(1, VALID).contains(DONE));
    assert!(worker.received.attempts().iter().all(|id| *id == VALID));
}

/// Workers receive calls and answer none: each call has one answer all the same, which is a rejection.
#[test]
fn calls_to_workers_that_never_answer_are_rejected_once_each() {
    let worker = Worker::start(never_answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut client = Client::connect(&router);
    client.send(&[call_line(1, 1), call_line(2, 2)].concat());
    let mut lines = [client.receive(), client.receive()];
    lines.sort();
    for (line, number) in lines.iter().zip(1..) {
        assert!(line.contains(&format!("\"id\":{number},")) && line.contains(REJECTED), "{line}");
    }
}

/// Many calls come at once, a byte at a time each: a client that sends a complete call between two bytes is served
/// meanwhile, and so are they with their last.
#[test]
fn calls_that_come_a_byte_at_a_time() {
    const SLOW_CALLS: u64 = 40;
    let worker = Worker::start(answers);
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut slow: Vec<_> = (1..=SLOW_CALLS)
        .map(|id| {
            let stream = TcpStream::connect(router.address).unwrap();
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            (stream, call_line(1, id))
        })
        .collect();
    let mut usual = Client::connect(&router);
    for at in 0..call_line(1, 1).len() - 1 {
        for (stream, line) in &mut slow {
            stream.write_all(&line.as_bytes()[at..=at]).unwrap();
        }
        if at % 8 == 0 {
            let number = at as u64 + 1;
            assert!(usual.call(number, 1000 + number).contains(DONE));
        }
    }
    assert!(worker.received.attempts().iter().all(|id| *id > SLOW_CALLS), "none is complete yet");
    for (stream, _) in &mut slow {
        stream.write_all(b"\n").unwrap();
    }
    for (stream, _) in &mut slow {
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        assert!(line.contains(DONE), "{line}");
    }
}

/// Nobody ever answers: each call has its final answer in its own client's time, the shorter one first, and no second
/// one; both attempts are cancelled at the worker.
#[test]
fn calls_that_nobody_answers_fail_in_their_own_time() {
    let worker = Worker::start(never_answers);
    let configuration =
        RouterConfiguration::non_idempotent(&[worker.address], Discovery::steady().address, 250_000);
    let router = Router::with_configuration(&configuration);
    let mut client = Client::connect(&router);
    client.send(&[call_line(1, 1), call_line(2, 2).replace("2500", "600")].concat());
    for number in [2, 1] {
        let line = client.receive();
        assert!(line.contains(&format!("\"id\":{number},")) && line.contains("\"error\""), "{line}");
    }
    let is_cancelled = |id| worker.received.ids(request::CANCEL).contains(&id);
    assert!(becomes_true(|| is_cancelled(1) && is_cancelled(2)));
    assert!(client.is_router_ready(3));
}
