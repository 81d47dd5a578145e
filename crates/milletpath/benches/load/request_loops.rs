//! Request loops. In a closed loop, each connection sends its next request after the response to the previous one; in
//! an open loop, requests are sent at fixed times.

use super::block_on;
use super::http_message::{request, skip_message};
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Rate of the open loop, in requests per second.
const OPEN_LOOP_RATE: f64 = 760.0;

/// Bounds of the recorded latencies, in microseconds, and their significant digits.
const MIN_LATENCY: u64 = 1;
const MAX_LATENCY: u64 = 10_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Runs a closed loop, and returns the number of answered requests per second.
pub fn closed_loop(address: SocketAddr, connections: usize, seconds: f64) -> f64 {
    block_on(async {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        let mut loops = JoinSet::new();
        for _ in 0..connections {
            loops.spawn_local(send_until(address, until));
        }
        let mut answered = 0;
        while let Some(done) = loops.join_next().await {
            answered += done.unwrap_or(0);
        }
        answered as f64 / seconds
    })
}

/// Sends requests on one connection, one after the other, and returns the number of answered ones.
async fn send_until(address: SocketAddr, until: Instant) -> u64 {
    let mut stream = TcpStream::connect(address).await.expect("the gateway listens");
    let _ = stream.set_nodelay(true);
    let (request, mut buffer, mut answered) = (request(), Vec::new(), 0);
    while Instant::now() < until {
        if stream.write_all(&request).await.is_err() || !skip_message(&mut stream, &mut buffer).await {
            break;
        }
        answered += 1;
    }
    answered
}

/// Sends [`OPEN_LOOP_RATE`] requests per second to the addresses in turn, and returns the latencies of each address in
/// microseconds.
pub fn open_loop(addresses: &[SocketAddr], seconds: f64) -> Vec<Histogram<u64>> {
    block_on(async {
        let targets: Vec<_> = addresses.iter().map(|address| Rc::new(Target::new(*address))).collect();
        let start = Instant::now();
        let mut requests = JoinSet::new();
        for n in 0..(OPEN_LOOP_RATE * seconds) as usize {
            let scheduled_at = start + Duration::from_secs_f64(n as f64 / OPEN_LOOP_RATE);
            tokio::time::sleep_until(scheduled_at.into()).await;
            requests.spawn_local(targets[n % targets.len()].clone().measure_request());
        }
        while requests.join_next().await.is_some() {}
        targets.iter().map(|target| target.latencies.borrow().clone()).collect()
    })
}

/// An address under load, with its idle connections and measured latencies.
struct Target {
    address: SocketAddr,
    idle: RefCell<Vec<TcpStream>>,
    latencies: RefCell<Histogram<u64>>,
}

impl Target {
    fn new(address: SocketAddr) -> Self {
        let latencies = Histogram::new_with_bounds(MIN_LATENCY, MAX_LATENCY, SIGNIFICANT_DIGITS);
        Self { address, idle: RefCell::default(), latencies: RefCell::new(latencies.expect("valid bounds")) }
    }

    /// Sends one request on an idle connection, or on a new one, and records the latency of its response.
    async fn measure_request(self: Rc<Self>) {
        let idle = self.idle.borrow_mut().pop();
        let mut stream = match idle {
            Some(stream) => stream,
            None => TcpStream::connect(self.address).await.expect("the gateway listens"),
        };
        let _ = stream.set_nodelay(true);
        let sent_at = Instant::now();
        let sent = stream.write_all(&request()).await.is_ok();
        if sent && skip_message(&mut stream, &mut Vec::new()).await {
            let _ = self.latencies.borrow_mut().record(sent_at.elapsed().as_micros() as u64);
            self.idle.borrow_mut().push(stream);
        }
    }
}
