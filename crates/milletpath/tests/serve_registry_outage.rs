//! `milletpath serve` whose registry is gone. A worker drains that was listed as ready, and the gateway sent it
//! requests until the registry was back: its list had no age, as that of the router on the platform had none.

use milletpath_test_support::serve_rig::{Client, Gateway, Message, OK, Worker, call_request};
use milletpath_test_support::wait::becomes_true;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Until what a registry would have told counts as told, and the grace.
const STALENESS_AND_GRACE: Duration = Duration::from_millis(2500);
/// What a busy machine may take between the gateway's write and the worker's read.
const DELAY: Duration = Duration::from_secs(1);

/// A registry that lists two workers to all who ask, until it is gone.
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

/// A worker that drains when it is told to: it does not pass a health check then.
#[derive(Clone, Default)]
struct DrainingWorker {
    is_draining: Arc<AtomicBool>,
    /// Whether it serves what is new all the same.
    still_serves: bool,
    /// When requests of functions came.
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
            let is_check = message.start.contains("/v2/health/ready");
            if !is_check {
                self.arrivals.lock().expect("no test thread panicked").push(Instant::now());
            }
            let answer = match (self.is_draining.load(Ordering::Relaxed), is_check) {
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

/// One call of each of a number of functions; returns how many were served.
fn count_served_calls(client: &mut Client) -> usize {
    const FUNCTIONS: usize = 16;
    (0..FUNCTIONS)
        .filter(|n| {
            let call = call_request("", "").replace("greet", &format!("greet-{n}"));
            client.write(&call).expect("the gateway reads");
            client.response().expect("an answer").status() == 200
        })
        .count()
}

#[test_case(false; "it rejects what is new")]
#[test_case(true; "it serves what is new all the same")]
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
    let mut client = Client::connect(gateway.address).expect("it listens");
    assert!(becomes_true(|| count_served_calls(&mut client) > 0));
    assert!(becomes_true(|| {
        count_served_calls(&mut client);
        draining.arrivals_after(Instant::now() - DELAY) > 0
    }));
    registry.is_stopped.store(true, Ordering::Relaxed);
    let began = Instant::now();
    draining.is_draining.store(true, Ordering::Relaxed);
    let deadline = began + STALENESS_AND_GRACE + DELAY;
    let (mut rounds, mut served) = (0, 0);
    while Instant::now() < deadline + Duration::from_secs(2) {
        rounds += 1;
        served += count_served_calls(&mut client);
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(draining.arrivals_after(deadline), 0, "requests of a draining worker");
    assert!(rounds > 3 && served * 100 >= rounds * 16 * 95, "{served} served in {rounds} rounds of 16");
}
