//! Clients of `milletpath serve` that leave while their call waits for a load: no attempt begins for them over 0.1 s
//! later. Its other stories of the kind stand in `tests/gone_clients.rs`.

use crate::gone_clients::{Leaves, Meanwhile};
use crate::served::{Client, LONGEST, Message, OK, Served, Setup, request};
use Leaves::{Closes, HalfCloses, Resets};
use Meanwhile::{Runs, StandsStill};
use nix::sys::signal::Signal;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;
use test_case::test_matrix;

/// An attempt may begin for 0.1 s after its client has left; this is longer.
const LONG_GONE: Duration = Duration::from_millis(150);
const MISSING: &str = "HTTP/1.1 404 Missing\r\nmilletpath-refused: missing\r\ncontent-length: 0\r\n\r\n";
const LOADED: &str = "HTTP/1.1 200 OK\r\nmilletpath-copies: 1\r\ncontent-length: 0\r\n\r\n";
const GONE: &str = "gone";
const STAYS: &str = "stays";

/// How far the load of the function is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Load {
    NotAsked,
    Asked,
    Done,
}

/// A worker without an instance: it turns calls away until it has loaded one, as it is ordered to.
struct Worker {
    address: SocketAddr,
    state: Arc<State>,
}

struct State {
    load: Mutex<Load>,
    changed: Condvar,
    /// Bodies of the attempts that came.
    attempts: Mutex<Vec<String>>,
}

impl Worker {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(State {
            load: Mutex::new(Load::NotAsked),
            changed: Condvar::new(),
            attempts: Mutex::default(),
        });
        let all = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = all.clone();
                std::thread::spawn(move || state.serve(stream));
            }
        });
        Self { address, state }
    }

    fn attempts(&self) -> Vec<String> {
        self.state.attempts.lock().expect("unbroken").clone()
    }
}

impl State {
    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(message) = Message::read(&mut stream) {
            let answer = if message.start.contains("/load ") {
                self.asked();
                self.await_load(Load::Done);
                LOADED
            } else {
                let body = String::from_utf8_lossy(&message.body).into_owned();
                self.attempts.lock().expect("unbroken").push(body);
                let loaded = *self.load.lock().expect("unbroken") == Load::Done;
                if loaded { OK } else { MISSING }
            };
            let _ = stream.get_mut().write_all(answer.as_bytes());
        }
    }

    fn asked(&self) {
        let mut load = self.load.lock().expect("unbroken");
        if *load == Load::NotAsked {
            *load = Load::Asked;
            self.changed.notify_all();
        }
    }

    fn set(&self, to: Load) {
        *self.load.lock().expect("unbroken") = to;
        self.changed.notify_all();
    }

    /// Waits until the load is that far.
    fn await_load(&self, until: Load) {
        let load = self.load.lock().expect("unbroken");
        let (load, _) =
            self.changed.wait_timeout_while(load, LONGEST, |load| *load != until).expect("unbroken");
        assert_eq!(*load, until);
    }
}

/// The client leaves; one that only says so keeps its socket.
fn leave(how: Leaves, client: Client) -> Option<Client> {
    match how {
        HalfCloses => {
            client.stream().shutdown(Shutdown::Write).expect("it is open");
            return Some(client);
        }
        Resets => {
            SockRef::from(client.stream()).set_linger(Some(Duration::ZERO)).expect("a socket");
        }
        _ => {}
    }
    None
}

fn calls(served: &Served, body: &str) -> Client {
    let mut client = Client::connect(served.address).expect("it listens");
    client.write(&request("milletpath-patience: 3\r\n", body)).expect("it reads");
    client
}

/// The worker has no instance and is ordered to load one. The client leaves, and once it has long gone the load is over,
/// or both is found by a gateway that stood still: the call of the client that stays goes out, and no other.
#[test_matrix([Closes, HalfCloses, Resets], [Runs, StandsStill])]
fn no_attempt_of_serve_behind_a_load_for_a_client_that_has_left(how: Leaves, meanwhile: Meanwhile) {
    let worker = Worker::start();
    let setup = Setup { of_workers: "misses = true", orders: true, ..Setup::default() };
    let served = Served::start_with(worker.address, &setup);
    let leaver = calls(&served, GONE);
    worker.state.await_load(Load::Asked);
    let mut stays = calls(&served, STAYS);
    let before = worker.attempts();
    let _open = match meanwhile {
        Runs => {
            let open = leave(how, leaver);
            std::thread::sleep(LONG_GONE);
            worker.state.set(Load::Done);
            open
        }
        StandsStill => {
            served.halt();
            worker.state.set(Load::Done);
            let open = leave(how, leaver);
            std::thread::sleep(LONG_GONE);
            served.signal(Signal::SIGCONT);
            open
        }
    };
    assert_eq!(stays.answer().expect("an answer").status(), 200);
    std::thread::sleep(LONG_GONE);
    let after = worker.attempts();
    assert!(after[before.len()..].iter().all(|body| body == STAYS), "{before:?}, then {after:?}");
}

/// Where its client stays, the attempt does go out behind the load.
#[test]
fn an_attempt_of_serve_behind_a_load_for_a_client_that_stays() {
    let worker = Worker::start();
    let setup = Setup { of_workers: "misses = true", orders: true, ..Setup::default() };
    let served = Served::start_with(worker.address, &setup);
    let mut stays = calls(&served, STAYS);
    worker.state.await_load(Load::Asked);
    std::thread::sleep(LONG_GONE);
    worker.state.set(Load::Done);
    assert_eq!(stays.answer().expect("an answer").status(), 200);
    assert_eq!(worker.attempts().len(), 2, "one that was turned away, and one behind the load");
}
