//! What `milletpath serve` tells a worker of the time that is left: at an attempt's first byte it is at most what the
//! client has left, whatever the attempt waited for.

mod served;

use served::{Client, Message, OK, Served, Setup, request};
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Seconds that the client waits.
const CLIENT_TIMEOUT: f64 = 2.5;
/// Seconds by which the stated time may be over what is left.
const SLACK: f64 = 0.15;

/// For so long the worker's kernel accepts no connection.
const BEFORE_ACCEPT: Duration = Duration::from_millis(600);

/// The seconds that each attempt stated.
type StatedTimes = Arc<Mutex<Vec<f64>>>;

/// Answers the requests of one connection and notes the time that each states.
fn answer_requests(stream: TcpStream, stated: &StatedTimes) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = Message::read(&mut stream) {
        let field = message.fields.iter().find_map(|field| field.strip_prefix("milletpath-left: "));
        let seconds = field.and_then(|seconds| seconds.parse().ok()).expect("the time left");
        stated.lock().expect("unbroken").push(seconds);
        let _ = stream.get_mut().write_all(OK.as_bytes());
    }
}

/// The worker's kernel accepts the connection a second late, so the attempt begins a second after its decision.
#[test]
fn an_attempt_whose_connection_comes_up_late_states_what_is_left() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    socket.listen(0).expect("a listener");
    let listener = TcpListener::from(socket);
    let worker = listener.local_addr().expect("bound");
    // The one place of its queue is taken: whoever connects now is heard a second later.
    let _fills_the_queue = TcpStream::connect(worker).expect("the first");
    let served = Served::start_with(worker, &Setup { of_workers: "connect = 2.2", ..Setup::default() });
    let mut client = Client::connect(served.address).expect("it listens");
    let sent = Instant::now();
    client.write(&request(&format!("milletpath-patience: {CLIENT_TIMEOUT}\r\n"), "hi")).expect("it reads");
    std::thread::sleep(BEFORE_ACCEPT);
    // No connection can be made before this moment, so no attempt's first byte went earlier.
    let accepts_from = Instant::now();
    let stated = StatedTimes::default();
    let all = stated.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let stated = all.clone();
            std::thread::spawn(move || answer_requests(stream, &stated));
        }
    });
    assert_eq!(client.answer().map(|answer| answer.status()), Some(200));
    let stated = stated.lock().expect("unbroken");
    let seconds = *stated.first().expect("an attempt");
    let left = CLIENT_TIMEOUT - (accepts_from - sent).as_secs_f64();
    assert!(seconds <= left + SLACK, "it stated {seconds:.3} s where {left:.3} s were left");
}
