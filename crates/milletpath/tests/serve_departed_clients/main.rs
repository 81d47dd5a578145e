//! Clients of `milletpath serve` that leave before their call is answered: once [`DEPARTURE_GRACE`] has passed, no
//! attempt begins for them.

mod during_load;

use milletpath_test_support::serve_rig::{
    Arrivals, Client, Departure, FULL, FullBacklogWorker, Gateway, GatewayOptions, OK, Worker, call_request,
    serve_connection,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after a client's departure in which an attempt may still begin.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);

/// A client that has written one call, or two in a row.
struct Caller {
    departure: Departure,
    client: Client,
}

/// Connects callers that write one and two calls, for each way to leave.
fn connect_callers(gateway: SocketAddr) -> Vec<Caller> {
    let mut callers = Vec::new();
    for departure in [Departure::Close, Departure::HalfClose, Departure::Reset] {
        for calls in [1, 2] {
            let mut client = Client::connect(gateway).expect("the gateway listens");
            for call in 1..=calls {
                let body = format!("call {call} of {calls}, {departure:?}");
                client.write(&call_request("milletpath-patience: 3\r\n", &body)).expect("the gateway reads");
            }
            callers.push(Caller { departure, client });
        }
    }
    callers
}

/// Callers that have left, and when.
struct Departed {
    at: Instant,
    /// Sockets of the callers that have closed only their sending side, which must stay open.
    _half_closed: Vec<Client>,
}

/// Disconnects all callers.
fn depart(callers: Vec<Caller>) -> Departed {
    let depart = |caller: Caller| caller.client.depart(caller.departure);
    Departed { _half_closed: callers.into_iter().filter_map(depart).collect(), at: Instant::now() }
}

/// Bodies of the attempts that reached the worker more than [`DEPARTURE_GRACE`] after the callers left.
fn late_attempts(arrivals: &Arrivals, departed: &Departed) -> Vec<String> {
    let arrivals = arrivals.lock().expect("no test thread panicked");
    let late = arrivals.iter().filter(|arrival| arrival.at > departed.at + DEPARTURE_GRACE);
    late.map(|arrival| arrival.body.clone()).collect()
}

/// Checks that no attempt reached the worker late.
fn assert_no_late_attempt(arrivals: &Arrivals, departed: &Departed) {
    assert_eq!(late_attempts(arrivals, departed), Vec::<String>::new());
}

/// Checks that the worker received an attempt at all, so that the gateway had something to give up.
fn assert_received_an_attempt(worker: &Worker) {
    let arrivals = worker.arrivals.lock().expect("no test thread panicked");
    assert!(!arrivals.is_empty(), "the worker received no attempt");
}

/// The clients connect, call and leave while the gateway is paused.
#[test]
fn clients_that_disconnect_before_the_first_attempt() {
    let worker = Worker::start(OK, Duration::ZERO);
    let gateway = Gateway::start(worker.address, "");
    gateway.process.pause();
    let departed = depart(connect_callers(gateway.address));
    std::thread::sleep(2 * DEPARTURE_GRACE);
    gateway.process.resume();
    std::thread::sleep(5 * DEPARTURE_GRACE);
    assert_no_late_attempt(&worker.arrivals, &departed);
}

/// The clients leave between attempts, each of which a worker without capacity rejects.
#[test]
fn clients_that_disconnect_between_attempts() {
    let worker = Worker::start(FULL, Duration::from_millis(30));
    let gateway = Gateway::start(worker.address, "functions { lanes = 1000 }\n");
    let callers = connect_callers(gateway.address);
    std::thread::sleep(2 * DEPARTURE_GRACE);
    let departed = depart(callers);
    std::thread::sleep(10 * DEPARTURE_GRACE);
    assert_received_an_attempt(&worker);
    assert_no_late_attempt(&worker.arrivals, &departed);
}

/// The clients leave between attempts while the gateway is paused. When it resumes, it must detect that before it
/// begins another attempt.
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
    assert_received_an_attempt(&worker);
    assert_no_late_attempt(&worker.arrivals, &departed);
}

/// The clients leave during an attempt that is rejected later.
#[test]
fn clients_that_disconnect_during_an_attempt() {
    let worker = Worker::start(FULL, Duration::from_millis(400));
    let gateway = Gateway::start(worker.address, "functions { lanes = 1000 }\n");
    let callers = connect_callers(gateway.address);
    std::thread::sleep(2 * DEPARTURE_GRACE);
    let departed = depart(callers);
    std::thread::sleep(8 * DEPARTURE_GRACE);
    assert_received_an_attempt(&worker);
    assert_no_late_attempt(&worker.arrivals, &departed);
}

/// Only one connection to the worker is allowed. It is in use when the clients call and becomes free after they have
/// left.
#[test]
fn clients_that_disconnect_while_the_connection_is_in_use() {
    let worker = Worker::start(OK, Duration::from_millis(600));
    let gateway = Gateway::start(worker.address, "limits { per_worker = 1 }\n");
    let mut first = Client::connect(gateway.address).expect("the gateway listens");
    first.write(&call_request("milletpath-patience: 3\r\n", "first")).expect("the gateway reads");
    std::thread::sleep(DEPARTURE_GRACE);
    let callers = connect_callers(gateway.address);
    std::thread::sleep(2 * DEPARTURE_GRACE);
    let departed = depart(callers);
    assert_eq!(first.response().expect("the call is answered").status(), 200);
    std::thread::sleep(10 * DEPARTURE_GRACE);
    assert_no_late_attempt(&worker.arrivals, &departed);
}

/// The clients leave while the gateway connects to the worker, whose host accepts connections only after that.
#[test]
fn clients_that_disconnect_while_the_gateway_connects() {
    let worker = FullBacklogWorker::start();
    let options = GatewayOptions { workers_settings: "connect = 2.5", ..GatewayOptions::default() };
    let gateway = Gateway::with_options(worker.address, &options);
    let callers = connect_callers(gateway.address);
    std::thread::sleep(2 * DEPARTURE_GRACE);
    let departed = depart(callers);
    let arrivals = Arrivals::default();
    let recorded = arrivals.clone();
    let _filler = worker.accept(move |stream| serve_connection(stream, OK, Duration::ZERO, &recorded));
    std::thread::sleep(15 * DEPARTURE_GRACE);
    assert_no_late_attempt(&arrivals, &departed);
}

/// Regression test: a client that had left behind more than the system had room for was taken for connected, as the end of
/// its stream had not arrived, and its first call was sent on.
#[test]
fn clients_that_disconnect_behind_much_that_is_unread() {
    const CALLS: usize = 12;
    let body = "x".repeat(900_000);
    let worker = Worker::start(OK, Duration::ZERO);
    let gateway = Gateway::start(worker.address, "");
    let mut clients: Vec<_> =
        (0..2).map(|_| Client::connect(gateway.address).expect("the gateway listens")).collect();
    for client in &mut clients {
        client.write(&call_request("", "before")).expect("the gateway reads");
        assert!(client.response().is_some());
    }
    let mut callers = Vec::new();
    gateway.process.pause();
    for (mut client, departure) in clients.into_iter().zip([Departure::Close, Departure::HalfClose]) {
        client.write_without_blocking(&call_request("", &body).repeat(CALLS));
        callers.push(Caller { departure, client });
    }
    let departed = depart(callers);
    std::thread::sleep(2 * DEPARTURE_GRACE);
    gateway.process.resume();
    std::thread::sleep(10 * DEPARTURE_GRACE);
    let arrivals = worker.arrivals.lock().expect("no test thread panicked");
    let late: Vec<_> =
        arrivals.iter().map(|arrival| arrival.at.saturating_duration_since(departed.at)).collect();
    assert!(late.iter().all(|after| *after <= DEPARTURE_GRACE), "attempts after {late:?}");
}
