//! Generates a low rate of calls to the real gateways, so that there is demand for the shared budgets at some gateways.

use crate::plan::Plan;
use crate::reachable_gateways::ReachableGateways;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Timeout of a connection attempt and of each read.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Counts of sent and successful calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallCounts {
    /// Calls that were sent.
    pub sent: u64,
    /// Calls that were answered with status 200.
    pub succeeded: u64,
}

/// Sends calls to the real gateways in round-robin order from its own thread. On drop it stops after the current call.
pub struct CallGenerator {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<CallCounts>>,
}

impl CallGenerator {
    /// Starts with the call rate and functions of the plan. Sends nothing if the rate is zero or there are no real
    /// gateways.
    ///
    /// # Errors
    ///
    /// The system can't create another thread.
    pub fn start(plan: &Plan, gateways: ReachableGateways) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        if plan.calls_per_second <= 0.0 || plan.real_gateways == 0 {
            return Ok(Self { stop, thread: None });
        }
        let (interval, functions, stopped) = (1.0 / plan.calls_per_second, plan.functions, stop.clone());
        let run = move || send_calls(interval, functions, &gateways, &stopped);
        Ok(Self { stop, thread: Some(std::thread::Builder::new().name("calls".into()).spawn(run)?) })
    }

    /// Stops and returns the counts; `None` if no calls were sent at all.
    pub fn finish(mut self) -> Option<CallCounts> {
        self.stop.store(true, Ordering::Release);
        self.thread.take()?.join().ok()
    }
}

impl Drop for CallGenerator {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

fn send_calls(
    interval: f64,
    functions: usize,
    gateways: &ReachableGateways,
    stopped: &AtomicBool,
) -> CallCounts {
    let (started_at, mut counts) = (Instant::now(), CallCounts::default());
    while !stopped.load(Ordering::Acquire) {
        // Calls that fall due while a slow one is in progress are skipped, so that the rate is never exceeded to catch
        // up.
        let now = started_at.elapsed().as_secs_f64();
        let due_at = (now / interval).ceil() * interval;
        std::thread::sleep(Duration::from_secs_f64((due_at - started_at.elapsed().as_secs_f64()).max(0.0)));
        let addresses = gateways.http_addresses();
        let Some(address) = addresses.get(counts.sent as usize % addresses.len().max(1)) else { continue };
        let function = counts.sent as usize / addresses.len() % functions;
        counts.sent += 1;
        counts.succeeded += u64::from(call(*address, function).unwrap_or(false));
    }
    counts
}

/// Sends one call on a new connection. Returns whether it succeeded.
fn call(gateway: SocketAddr, function: usize) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&gateway, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(
        stream,
        "POST /v1/functions/f{function}/activations HTTP/1.1\r\nhost: gateway\r\nmilletpath-client: all\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    )?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    Ok(response.starts_with(b"HTTP/1.1 200"))
}
