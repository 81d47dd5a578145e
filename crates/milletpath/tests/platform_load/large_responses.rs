//! Responses with the longest body that the platform specifies, to clients that read fast, slowly or not at all.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, REJECTED, Router, RouterConfiguration, Worker, answers, call_line,
};
use milletpath_test_support::worker_frames::{frame, response};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Longest body that the platform specifies, in bytes.
const LONGEST_BODY: usize = 16 << 10;
/// Calls that a client may have open on one connection.
const OPEN_CALLS: u64 = 32;
/// Segment size of Ethernet, in bytes.
const ETHERNET_SEGMENT: u32 = 1460;
/// Receive buffer of a client that is not on the router's machine and does not read fast.
const SMALL_RECEIVE_BUFFER: usize = 8 << 10;
/// Sockets of a router with hundreds of clients.
const MANY_SOCKETS: usize = 1024;

/// Responds to each attempt at once with the longest body.
fn answers_at_length(_: usize, id: u64, connection: &mut TcpStream) {
    let body = vec![b'a'; LONGEST_BODY];
    let _ = connection.write_all(&frame(response::DONE, id, "", &body));
}

/// The same after 0.2 s, so that the responses to all open calls come together.
fn answers_at_length_later(earlier: usize, id: u64, connection: &mut TcpStream) {
    let mut connection = connection.try_clone().expect("a file descriptor is available");
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(200));
        answers_at_length(earlier, id, &mut connection);
    });
}

/// Responds at once if the call's id is below `FIRST_LONG_CALL`, and otherwise like [`answers_at_length`].
fn answers_short_or_at_length(earlier: usize, id: u64, connection: &mut TcpStream) {
    if id < FIRST_LONG_CALL {
        answers(earlier, id, connection);
    } else {
        answers_at_length(earlier, id, connection);
    }
}

/// The same, 0.2 s later.
fn answers_short_or_at_length_later(earlier: usize, id: u64, connection: &mut TcpStream) {
    if id < FIRST_LONG_CALL {
        answers(earlier, id, connection);
    } else {
        answers_at_length_later(earlier, id, connection);
    }
}

/// First id of the calls with long responses in a test that has others as well.
const FIRST_LONG_CALL: u64 = 1 << 20;

/// Connects with the given segment size and a small receive buffer, as from another machine.
fn connect_from_afar(router: SocketAddr, segment: u32) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a descriptor is available");
    socket.set_tcp_mss(segment).expect("the segment size is allowed");
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).expect("the buffer size is allowed");
    socket.connect(&router.into()).expect("the router listens");
    socket.set_read_timeout(Some(Duration::from_secs(10))).expect("the socket is open");
    socket.into()
}

/// Lines of as many calls as may be open.
fn open_calls(first_id: u64) -> String {
    (1..=OPEN_CALLS).map(|n| call_line(n, first_id + n)).collect()
}

/// A configuration in which nothing but memory limits the calls at the workers.
fn configuration(workers: &[Worker], memory_mb: usize) -> RouterConfiguration {
    let addresses: Vec<_> = workers.iter().map(|worker| worker.address).collect();
    RouterConfiguration::new(&addresses, Discovery::steady().address, MANY_SOCKETS)
        .with("PlacementCalls", false)
        .with("Objective", 2_500_000)
        .with("WarmUp", 0)
        .with("OverloadFor", 1000)
        .with("memory_mb", memory_mb)
}

/// What a client has read.
#[derive(Debug, Default, PartialEq)]
struct Answers {
    /// Whole lines with a result.
    results: usize,
    /// Other whole lines.
    errors: usize,
}

/// Reads, with pauses, until the client has the responses to all open calls or the connection ends.
fn read_answers(stream: &mut TcpStream, first_pause: Duration, pause: Duration) -> Answers {
    let (mut text, mut chunk) = (Vec::new(), vec![0; 64 << 10]);
    std::thread::sleep(first_pause);
    while text.iter().filter(|byte| **byte == b'\n').count() < OPEN_CALLS as usize {
        match stream.read(&mut chunk) {
            Ok(length @ 1..) => text.extend_from_slice(&chunk[..length]),
            _ => break,
        }
        std::thread::sleep(pause);
    }
    let whole = text.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
    let mut answers = Answers::default();
    for line in text[..whole].lines().map_while(Result::ok) {
        let count = if line.contains("\"result\"") { &mut answers.results } else { &mut answers.errors };
        *count += 1;
    }
    answers
}

/// Has calls served until the router knows that the workers have the function loaded and how much they can do.
fn warm_up(router: &Router) {
    const ROUNDS: u64 = 40;
    router.wait_for_current_list();
    let mut client = Client::connect(router);
    let numbers: Vec<_> = (1..=ROUNDS * OPEN_CALLS).collect();
    for round in numbers.chunks(OPEN_CALLS as usize) {
        client.send(&round.iter().map(|&n| call_line(n, n)).collect::<String>());
        round.iter().for_each(|_| assert!(!client.receive().is_empty()));
    }
}

/// The responses to all open calls come together, and the client reads them at its own pace. Guards against a bound on
/// unwritten bytes that closed the connection of a client that was reading, with up to 25 calls that had run.
#[test_case(ETHERNET_SEGMENT, 0, 0; "as fast as it can")]
#[test_case(536, 0, 0; "in the smallest segments")]
#[test_case(ETHERNET_SEGMENT, 0, 10; "with a pause after each read")]
#[test_case(ETHERNET_SEGMENT, 1500, 0; "after a pause shorter than the timeout")]
fn a_client_that_reads_gets_all_responses(segment: u32, first_pause_ms: u64, pause_ms: u64) {
    let workers = [(); 4].map(|()| Worker::start(answers_short_or_at_length_later));
    let router = Router::with_configuration(&configuration(&workers, 192));
    warm_up(&router);
    let [first_pause, pause] = [first_pause_ms, pause_ms].map(Duration::from_millis);
    for connection in 0..4 {
        let mut stream = connect_from_afar(router.address, segment);
        stream.write_all(open_calls(FIRST_LONG_CALL + 100 * connection).as_bytes()).unwrap();
        let answers = read_answers(&mut stream, first_pause, pause);
        assert_eq!(answers, Answers { results: OPEN_CALLS as usize, errors: 0 }, "connection {connection}");
    }
}

/// Hundreds of clients have as many calls open as they may, get the longest responses and read nothing. The router stays
/// within its memory, and a client that reads is served meanwhile. Guards against memory that is taken by responses
/// before anything is refused.
#[test_case(32, 300; "in little memory")]
#[test_case(192, 300; "in the usual memory")]
fn clients_that_read_nothing_leave_memory_for_others(memory_mb: usize, clients: u64) {
    let workers = [(); 4].map(|()| Worker::start(answers_short_or_at_length));
    let router = Router::with_configuration(&configuration(&workers, memory_mb));
    warm_up(&router);
    let mut reader = Client::connect(&router);
    let (mut silent, mut calls, mut served) = (Vec::new(), 0, 0);
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        calls += 1;
        for _ in silent.len() as u64..clients.min(calls * 4) {
            let mut stream = connect_from_afar(router.address, ETHERNET_SEGMENT);
            let first_id = FIRST_LONG_CALL + OPEN_CALLS * silent.len() as u64;
            stream.write_all(open_calls(first_id).as_bytes()).unwrap();
            silent.push(stream);
        }
        let line = reader.call(calls, 10_000 + calls);
        assert!(line.contains(DONE) || line.contains(REJECTED), "call {calls}: {line:?}");
        served += u64::from(line.contains(DONE));
        std::thread::sleep(Duration::from_millis(20));
    }
    let peak = router.process.peak_memory();
    drop(silent);
    assert!(peak < memory_mb << 20, "{peak} bytes at the most");
    assert_eq!(served, calls, "of the reader's calls");
}

/// Clients with as many calls open as they may, whose bodies are the longest, exceed the memory together: each call is
/// answered. Guards against a line that finds no memory and was taken for an invalid one, which failed all calls of its
/// connection and left the rest unread.
#[test]
fn calls_with_long_bodies_that_exceed_the_memory_are_all_answered() {
    const CLIENTS: u64 = 60;
    let workers = [(); 4].map(|()| Worker::start(answers_short_or_at_length_later));
    let router = Router::with_configuration(&configuration(&workers, 16));
    warm_up(&router);
    let body = "A".repeat(LONGEST_BODY.div_ceil(3) * 4 - 4);
    std::thread::scope(|scope| {
        for client in 1..=CLIENTS {
            let (router, body) = (&router, &body);
            scope.spawn(move || {
                let mut stream = BufReader::new(TcpStream::connect(router.address).unwrap());
                stream.get_ref().set_read_timeout(Some(Duration::from_secs(10))).unwrap();
                let call = |n| call_line(n, FIRST_LONG_CALL + client * 1000 + n).replace("aGk=", body);
                let calls: String = (1..=OPEN_CALLS).map(call).collect();
                let mut writer = stream.get_ref().try_clone().unwrap();
                scope.spawn(move || writer.write_all(calls.as_bytes()).unwrap());
                for n in 0..OPEN_CALLS {
                    let mut line = String::new();
                    stream.read_line(&mut line).unwrap();
                    assert!(line.contains("\"result\"") || line.contains(REJECTED), "answer {n}: {line:?}");
                }
            });
        }
    });
}
