//! `milletpath serve` during an outage of its registry. Guards against a gateway that keeps sending requests to a
//! worker that drains during the outage: the endpoint list still shows it as ready, and the gateway once took a list as
//! valid however old it was, as the router on the platform did.

use milletpath_test_support::serve_rig::{Client, Gateway, Message, OK, Worker, call_request};
use milletpath_test_support::wait::becomes_true;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use test_case::test_case;

/// How long the endpoint list stays valid after the registry has failed: 2 s, and the drain grace of 0.5 s.
const LIST_VALIDITY: Duration = Duration::from_millis(2500);
/// Time that may pass on a busy machine between the gateway's write and the worker's read.
const DELAY: Duration = Duration::from_secs(1);

/// A registry that sends a list of two workers to each subscriber until it is stopped.
struct Registry {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
}

impl Registry {
    fn start(workers: [SocketAddr; 2]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let is_stopped = Arc::<AtomicBool>::default();
        let stopped = is_stopped.clone();
        let entry = |(n, address): (usize, &SocketAddr)| {
            format!(r#"{{"name":"w{n}","address":"{address}","state":"ready"}}"#)
        };
        let entries: Vec<_> = workers.iter().enumerate().map(entry).collect();
        let list = format!("{{\"edition\":1,\"whole\":true,\"workers\":[{}]}}\n", entries.join(","));
        std::thread::spawn(move || {
            listener.set_nonblocking(true).expect("a socket");
            let mut streams: Vec<TcpStream> = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                if let Ok((mut stream, _)) = listener.accept() {
                    stream.set_nonblocking(false).expect("a socket");
                    let _ = Message::read(&mut BufReader::new(&stream));
                    let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{list}").as_bytes());
                    streams.push(stream);
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            streams.iter().for_each(|stream| stream.shutdown(Shutdown::Both).expect("an open stream"));
        });
        Self { address, is_stopped }
    }
}

/// A worker that a test can set to draining. It then fails health checks.
#[derive(Clone, Default)]
struct DrainingWorker {
    is_draining: Arc<AtomicBool>,
    /// Whether it still serves calls while it drains.
    still_serves: bool,
    /// When it received requests other than health checks.
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl DrainingWorker {
    fn start(&self) -> SocketAddr {
        let worker = self.clone();
        Worker::serve_with(move |stream| worker.serve(stream))
    }

    fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(message) = Message::read(&mut stream) {
            let is_health_check = message.start_line.contains("/v2/health/ready");
            if !is_health_check {
                self.arrivals.lock().expect("no test thread panicked").push(Instant::now());
            }
            let answer = match (self.is_draining.load(Ordering::Relaxed), is_health_check) {
                (false, _) => OK,
                (true, false) if self.still_serves => OK,
                (true, true) => "HTTP/1.1 503 Draining\r\ncontent-length: 0\r\n\r\n",
                (true, false) => {
                    "HTTP/1.1 503 Draining\r\nmilletpath-refused: full\r\ncontent-length: 0\r\n\r\n"
                }
            };
            let _ = stream.get_mut().write_all(answer.as_bytes());
        }
    }

    fn arrivals_after(&self, time: Instant) -> usize {
        let arrivals = self.arrivals.lock().expect("no test thread panicked");
        arrivals.iter().filter(|at| **at > time).count()
    }
}

/// Makes one call of each of 16 functions and returns how many were served.
fn count_served_calls(client: &mut Client) -> usize {
    const FUNCTIONS: usize = 16;
    (0..FUNCTIONS)
        .filter(|n| {
            let call = call_request("", "").replace("greet", &format!("greet-{n}"));
            client.write(&call).expect("the gateway reads");
            client.response().expect("the call is answered").status() == 200
        })
        .count()
}

#[test_case(false; "it rejects new calls")]
#[test_case(true; "it still serves new calls")]
fn a_draining_worker_gets_no_new_requests_during_a_registry_outage(still_serves: bool) {
    let [draining, other] = [(); 2].map(|()| DrainingWorker { still_serves, ..DrainingWorker::default() });
    let registry = Registry::start([draining.start(), other.start()]);
    let configuration = format!(
        "seed = 3\nlisten = \"127.0.0.1:0\"\n\
         profile \"pure\" {{\ndue = 1\ncut_off = 3\neffect = \"pure\"\n}}\n\
         workers {{\norders = false\ndrain_grace = 0.5\nregistry = \"{}\"\n}}\n",
        registry.address
    );
    let gateway = Gateway::with_configuration(&configuration, 1024);
    let mut client = Client::connect(gateway.address).expect("the gateway listens");
    assert!(becomes_true(|| count_served_calls(&mut client) > 0));
    assert!(becomes_true(|| {
        count_served_calls(&mut client);
        draining.arrivals_after(Instant::now() - DELAY) > 0
    }));
    registry.is_stopped.store(true, Ordering::Relaxed);
    let began = Instant::now();
    draining.is_draining.store(true, Ordering::Relaxed);
    let deadline = began + LIST_VALIDITY + DELAY;
    let (mut rounds, mut served) = (0, 0);
    while Instant::now() < deadline + Duration::from_secs(2) {
        rounds += 1;
        served += count_served_calls(&mut client);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(draining.arrivals_after(deadline), 0, "requests to a draining worker after the list expired");
    assert!(rounds > 3 && served * 100 >= rounds * 16 * 95, "{served} served in {rounds} rounds of 16");
}
