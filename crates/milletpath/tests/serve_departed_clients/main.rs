//! Clients of `milletpath serve` that leave: a moment later no attempt begins for them any more.

mod during_load;

use milletpath_test_support::serve_rig::{
    Arrivals, Client, Departure, FULL, Gateway, GatewayOptions, OK, UnacceptingWorker, Worker, call_request,
    serve_connection,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An attempt may begin so long after its client has left.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);

/// A client that has written a call, and as the case may be another behind it.
struct Caller {
    departure: Departure,
    client: Client,
}

/// One for each way to leave, with one call and with two.
fn connect_callers(gateway: SocketAddr) -> Vec<Caller> {
    let mut callers = Vec::new();
    for departure in [Departure::Close, Departure::HalfClose, Departure::Reset] {
        for calls in [1, 2] {
            let mut client = Client::connect(gateway).expect("it listens");
            for call in 1..=calls {
                let body = format!("call {call} of {calls}, {departure:?}");
                client.write(&call_request("milletpath-patience: 3\r\n", &body)).expect("it reads");
            }
            callers.push(Caller { departure, client });
        }
    }
    callers
}

/// Callers that have left.
struct Departed {
    at: Instant,
    /// Those that have only closed their sending end keep their sockets.
    _half_closed: Vec<Client>,
}

fn depart(callers: Vec<Caller>) -> Departed {
    let depart = |caller: Caller| caller.client.depart(caller.departure);
    Departed { _half_closed: callers.into_iter().filter_map(depart).collect(), at: Instant::now() }
}

/// Bodies of the attempts that reached workers later than a moment after the callers left.
fn late_attempts(arrivals: &Arrivals, departed: &Departed) -> Vec<String> {
    let arrivals = arrivals.lock().expect("no test thread panicked");
    let late = arrivals.iter().filter(|arrival| arrival.at > departed.at + DEPARTURE_GRACE);
    late.map(|arrival| arrival.body.clone()).collect()
}

/// Before the first attempt: they come and leave while the gateway is paused.
#[test]
fn clients_that_disconnect_before_the_first_attempt() {
    let worker = Worker::start(OK, Duration::ZERO);
    let gateway = Gateway::start(worker.address, "");
    gateway.process.pause();
    let departed = depart(connect_callers(gateway.address));
    std::thread::sleep(2 * DEPARTURE_GRACE);
    gateway.process.resume();
    std::thread::sleep(5 * DEPARTURE_GRACE);
    assert_eq!(late_attempts(&worker.arrivals, &departed), Vec::<String>::new());
}

/// Between attempts: each is rejected by a worker that has no capacity left.
#[test]
fn clients_that_disconnect_between_attempts() {
    let worker = Worker::start(FULL, Duration::from_millis(30));
    let gateway = Gateway::start(worker.address, "functions { lanes = 1000 }\n");
    let callers = connect_callers(gateway.address);
    std::thread::sleep(2 * DEPARTURE_GRACE);
    let departed = depart(callers);
    std::thread::sleep(10 * DEPARTURE_GRACE);
    assert!(!worker.arrivals.lock().expect("no test thread panicked").is_empty(), "the test needs attempts");
    assert_eq!(late_attempts(&worker.arrivals, &departed), Vec::<String>::new());
}

/// Between attempts, and the gateway is paused as they leave: it reads that before it goes on.
#[test]
fn clients_that_disconnect_from_a_paused_gateway() {
    let worker = Worker::start(FULL, Duration::from_millis(5));
    let gateway = Gateway::start(worker.address, "functions { lanes = 1000 }\n");
    let callers = connect_callers(gateway.address);
    std::thread::sleep(2 * DEPARTURE_GRACE);
    gateway.process.pause();
    let departed = depart(callers);
    std::thread::sleep(4 * DEPARTURE_GRACE);
    gateway.process.resume();
    std::thread::sleep(10 * DEPARTURE_GRACE);
    assert!(!worker.arrivals.lock().expect("no test thread panicked").is_empty(), "the test needs attempts");
    assert_eq!(late_attempts(&worker.arrivals, &departed), Vec::<String>::new());
}

/// Amid an attempt that is rejected later on.
#[test]
fn clients_that_disconnect_during_an_attempt() {
    let worker = Worker::start(FULL, Duration::from_millis(400));
    let gateway = Gateway::start(worker.address, "functions { lanes = 1000 }\n");
    let callers = connect_callers(gateway.address);
    std::thread::sleep(2 * DEPARTURE_GRACE);
    let departed = depart(callers);
    std::thread::sleep(8 * DEPARTURE_GRACE);
    assert!(!worker.arrivals.lock().expect("no test thread panicked").is_empty(), "the test needs attempts");
    assert_eq!(late_attempts(&worker.arrivals, &departed), Vec::<String>::new());
}

/// The only connection that the worker may have is in use when they come, and free after they have left.
#[test]
fn clients_that_disconnect_while_the_connection_is_in_use() {
    let worker = Worker::start(OK, Duration::from_millis(600));
    let gateway = Gateway::start(worker.address, "limits { per_worker = 1 }\n");
    let mut first = Client::connect(gateway.address).expect("it listens");
    first.write(&call_request("milletpath-patience: 3\r\n", "first")).expect("it reads");
    std::thread::sleep(DEPARTURE_GRACE);
    let callers = connect_callers(gateway.address);
    std::thread::sleep(2 * DEPARTURE_GRACE);
    let departed = depart(callers);
    assert_eq!(first.response().expect("an answer").status(), 200);
    std::thread::sleep(10 * DEPARTURE_GRACE);
    assert_eq!(late_attempts(&worker.arrivals, &departed), Vec::<String>::new());
}

/// While a connection to the worker is being made: its system accepts none until they have left.
#[test]
fn clients_that_disconnect_while_a_connection_is_made() {
    let worker = UnacceptingWorker::start();
    let options = GatewayOptions { workers: "connect = 2.5", ..GatewayOptions::default() };
    let gateway = Gateway::with_options(worker.address, &options);
    let callers = connect_callers(gateway.address);
    std::thread::sleep(2 * DEPARTURE_GRACE);
    let departed = depart(callers);
    let arrivals = Arrivals::default();
    let all = arrivals.clone();
    let _filler = worker.accept(move |stream| serve_connection(stream, OK, Duration::ZERO, &all));
    std::thread::sleep(15 * DEPARTURE_GRACE);
    assert_eq!(late_attempts(&arrivals, &departed), Vec::<String>::new());
}
