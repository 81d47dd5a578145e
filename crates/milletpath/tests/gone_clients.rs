//! Clients of `milletpath serve` that leave: a moment later no attempt begins for them any more.

mod served;

use nix::sys::signal::Signal;
use served::{Arrivals, Client, FULL, OK, Served, Setup, request};
use socket2::{Domain, SockRef, Socket, Type};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// An attempt may begin so long after its client has left.
const MOMENT: Duration = Duration::from_millis(100);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Close,
    HalfClose,
    Reset,
}

/// A client that has written a call, and as the case may be another behind it.
struct Caller {
    leaves: Leaves,
    client: Client,
}

/// One for each way to leave, with one call and with two.
fn callers(gateway: SocketAddr) -> Vec<Caller> {
    let mut callers = Vec::new();
    for leaves in [Leaves::Close, Leaves::HalfClose, Leaves::Reset] {
        for calls in [1, 2] {
            let mut client = Client::connect(gateway).expect("it listens");
            for call in 1..=calls {
                let body = format!("call {call} of {calls}, {leaves:?}");
                client.write(&request("milletpath-patience: 3\r\n", &body)).expect("it reads");
            }
            callers.push(Caller { leaves, client });
        }
    }
    callers
}

/// All of them leave. Those that only say so keep their sockets.
fn leave(callers: Vec<Caller>) -> (Instant, Vec<Client>) {
    let mut open = Vec::new();
    for Caller { leaves, client } in callers {
        match leaves {
            Leaves::Close => {}
            Leaves::Reset => {
                SockRef::from(client.stream()).set_linger(Some(Duration::ZERO)).expect("a socket");
            }
            Leaves::HalfClose => {
                client.stream().shutdown(Shutdown::Write).expect("it is open");
                open.push(client);
            }
        }
    }
    (Instant::now(), open)
}

/// What began at workers over a moment after that.
fn late(arrivals: &Arrivals, left: Instant) -> Vec<String> {
    let arrivals = arrivals.lock().expect("unbroken");
    arrivals.iter().filter(|(at, _)| *at > left + MOMENT).map(|(_, body)| body.clone()).collect()
}

/// Before the first attempt: they come and leave while the gateway stands still.
#[test]
fn clients_that_leave_before_the_first_attempt() {
    let (worker, arrivals) = served::worker(OK, Duration::ZERO);
    let served = Served::start(worker, "");
    served.halt();
    let (left, _open) = leave(callers(served.address));
    std::thread::sleep(2 * MOMENT);
    served.signal(Signal::SIGCONT);
    std::thread::sleep(5 * MOMENT);
    assert_eq!(late(&arrivals, left), Vec::<String>::new());
}

/// Between attempts: each is refused by a worker that says it is full.
#[test]
fn clients_that_leave_between_attempts() {
    let (worker, arrivals) = served::worker(FULL, Duration::from_millis(30));
    let served = Served::start(worker, "functions { lanes = 1000 }\n");
    let callers = callers(served.address);
    std::thread::sleep(2 * MOMENT);
    let (left, _open) = leave(callers);
    std::thread::sleep(10 * MOMENT);
    assert!(!arrivals.lock().expect("unbroken").is_empty(), "the story needs attempts");
    assert_eq!(late(&arrivals, left), Vec::<String>::new());
}

/// Between attempts, and the gateway stands still as they leave: it hears of that before it goes on.
#[test]
fn clients_that_leave_a_gateway_that_stands_still() {
    let (worker, arrivals) = served::worker(FULL, Duration::from_millis(5));
    let served = Served::start(worker, "functions { lanes = 1000 }\n");
    let callers = callers(served.address);
    std::thread::sleep(2 * MOMENT);
    served.halt();
    let (left, _open) = leave(callers);
    std::thread::sleep(4 * MOMENT);
    served.signal(Signal::SIGCONT);
    std::thread::sleep(10 * MOMENT);
    assert!(!arrivals.lock().expect("unbroken").is_empty(), "the story needs attempts");
    assert_eq!(late(&arrivals, left), Vec::<String>::new());
}

/// Amid an attempt that ends without an answer later on.
#[test]
fn clients_that_leave_amid_an_attempt() {
    let (worker, arrivals) = served::worker(FULL, Duration::from_millis(400));
    let served = Served::start(worker, "functions { lanes = 1000 }\n");
    let callers = callers(served.address);
    std::thread::sleep(2 * MOMENT);
    let (left, _open) = leave(callers);
    std::thread::sleep(8 * MOMENT);
    assert!(!arrivals.lock().expect("unbroken").is_empty(), "the story needs attempts");
    assert_eq!(late(&arrivals, left), Vec::<String>::new());
}

/// The only connection that the worker may have is taken when they come, and free after they have left.
#[test]
fn clients_that_leave_while_the_worker_is_taken() {
    let (worker, arrivals) = served::worker(OK, Duration::from_millis(600));
    let served = Served::start(worker, "limits { per_worker = 1 }\n");
    let mut first = Client::connect(served.address).expect("it listens");
    first.write(&request("milletpath-patience: 3\r\n", "first")).expect("it reads");
    std::thread::sleep(MOMENT);
    let callers = callers(served.address);
    std::thread::sleep(2 * MOMENT);
    let (left, _open) = leave(callers);
    assert_eq!(first.answer().expect("an answer").status(), 200);
    std::thread::sleep(10 * MOMENT);
    assert_eq!(late(&arrivals, left), Vec::<String>::new());
}

/// While a connection to the worker is being made: its kernel takes none until they have left.
#[test]
fn clients_that_leave_while_a_connection_is_made() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
    socket.listen(0).expect("a listener");
    let listener = TcpListener::from(socket);
    let worker = listener.local_addr().expect("bound");
    // The one place of its queue is taken: whoever connects now is heard a second later.
    let _fills = TcpStream::connect(worker).expect("the first");
    let served = Served::start_with(worker, &Setup { of_workers: "connect = 2.5", ..Setup::default() });
    let callers = callers(served.address);
    std::thread::sleep(2 * MOMENT);
    let (left, _open) = leave(callers);
    let arrivals = Arrivals::default();
    let all = arrivals.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let arrivals = all.clone();
            std::thread::spawn(move || served::work(stream, OK, Duration::ZERO, &arrivals));
        }
    });
    std::thread::sleep(15 * MOMENT);
    assert_eq!(late(&arrivals, left), Vec::<String>::new());
}
