//! What real gateways have beside them: stand-in workers on loopback, and a few calls a second, so that
//! budgets which all gateways share are wanted where some are real.

use crate::plan::Plan;
use milletpath_emulator::small_fleet::{context, worker_options};
use milletpath_emulator::worker::Worker;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Stand-in workers in a thread of their own; they end with it.
pub struct StandIns {
    pub addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StandIns {
    pub fn start(workers: usize, seed: u64) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let (tell, told) = channel();
        let stopped = stop.clone();
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            let work = async move {
                let context = context(seed);
                let mut all = Vec::new();
                for number in 0..workers {
                    all.push(Worker::start(context.clone(), worker_options(number), 1).await);
                }
                let all: io::Result<Vec<_>> = all.into_iter().collect();
                let _ = tell.send(
                    all.as_ref()
                        .map_err(io::Error::to_string)
                        .map(|all| all.iter().map(|w| w.addresses[0]).collect::<Vec<_>>()),
                );
                while !stopped.load(Ordering::Acquire) {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            };
            runtime.block_on(tokio::task::LocalSet::new().run_until(work));
        };
        let thread = std::thread::Builder::new().name("workers".into()).spawn(run)?;
        let ended = || io::Error::other("stand-in workers can't start");
        let addresses = told.recv().map_err(|_| ended())?.map_err(io::Error::other)?;
        Ok(Self { addresses, stop, thread: Some(thread) })
    }
}

impl Drop for StandIns {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        self.thread.take().into_iter().for_each(|t| _ = t.join());
    }
}

/// What became of the calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub sent: u64,
    pub handled: u64,
}

/// Calls to the real gateways in turn, in a thread of its own.
pub struct Calls {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<Counts>>,
}

type Places = Arc<Mutex<BTreeMap<usize, (SocketAddr, Option<SocketAddr>)>>>;

impl Calls {
    pub fn start(plan: &Plan, places: Places) -> io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        if plan.calls <= 0.0 || plan.real == 0 {
            return Ok(Self { stop, thread: None });
        }
        let (every, functions, stopped) = (1.0 / plan.calls, plan.functions, stop.clone());
        let run = move || {
            let (began, mut counts) = (Instant::now(), Counts::default());
            while !stopped.load(Ordering::Acquire) {
                // What falls due while one call takes long is called off: they keep a rate, they don't make
                // up for time.
                let due = (began.elapsed().as_secs_f64() / every).ceil() * every;
                std::thread::sleep(Duration::from_secs_f64((due - began.elapsed().as_secs_f64()).max(0.0)));
                let there: Vec<SocketAddr> = {
                    let places = places.lock().unwrap_or_else(PoisonError::into_inner);
                    places.values().map(|(address, _)| *address).collect()
                };
                let Some(at) = there.get(counts.sent as usize % there.len().max(1)) else { continue };
                let function = counts.sent as usize / there.len() % functions;
                counts.sent += 1;
                counts.handled += u64::from(call(*at, function).unwrap_or(false));
            }
            counts
        };
        Ok(Self { stop, thread: Some(std::thread::Builder::new().name("calls".into()).spawn(run)?) })
    }

    /// Ends them; none where there were none.
    pub fn end(mut self) -> Option<Counts> {
        self.stop.store(true, Ordering::Release);
        self.thread.take()?.join().ok()
    }
}

impl Drop for Calls {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
    }
}

/// One call, on a connection of its own; whether it was handled.
fn call(at: SocketAddr, function: usize) -> io::Result<bool> {
    /// Seconds for which nothing may come.
    const WAIT: Duration = Duration::from_secs(4);
    let mut stream = TcpStream::connect_timeout(&at, WAIT)?;
    stream.set_read_timeout(Some(WAIT))?;
    write!(
        stream,
        "POST /v1/functions/f{function}/activations HTTP/1.1\r\nhost: gateway\r\nmilletpath-client: all\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    )?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(answer.starts_with(b"HTTP/1.1 200"))
}
