//! Emulated workers on loopback for the real gateways.

use milletpath_emulator::small_fleet::{context, worker_options};
use milletpath_emulator::worker::Worker;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which the thread checks whether it should stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why emulated workers can't be started.
#[derive(Debug, thiserror::Error)]
pub enum EmulatedWorkersError {
    /// The system can't provide a thread, runtime or socket.
    #[error("emulated workers can't start: {0}")]
    System(#[from] io::Error),
    /// The thread exited before reporting whether the workers started.
    #[error("emulated workers can't start: their thread ended")]
    ThreadEnded,
}

/// Emulated workers that run in their own thread. On drop they are stopped and the thread is joined.
pub struct EmulatedWorkers {
    /// Addresses that the workers listen on.
    pub addresses: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl EmulatedWorkers {
    /// Starts this number of workers and waits until all of them listen.
    ///
    /// # Errors
    ///
    /// The system can't provide a thread, runtime or socket.
    pub fn start(workers: usize, seed: u64) -> Result<Self, EmulatedWorkersError> {
        let stop = Arc::new(AtomicBool::new(false));
        let (started, addresses) = channel();
        let stopped = stop.clone();
        let run = move || run_workers(workers, seed, &started, &stopped);
        let thread = std::thread::Builder::new().name("workers".into()).spawn(run)?;
        let addresses = addresses.recv().map_err(|_| EmulatedWorkersError::ThreadEnded)??;
        Ok(Self { addresses, stop, thread: Some(thread) })
    }
}

impl Drop for EmulatedWorkers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was already printed to standard error.
            let _ = thread.join();
        }
    }
}

fn run_workers(
    workers: usize,
    seed: u64,
    started: &Sender<io::Result<Vec<SocketAddr>>>,
    stopped: &AtomicBool,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            let _ = started.send(Err(e));
            return;
        }
    };
    let work = async {
        let context = context(seed);
        let mut running = Vec::new();
        for number in 0..workers {
            match Worker::start(context.clone(), worker_options(number), 1).await {
                Ok(worker) => running.push(worker),
                Err(e) => {
                    let _ = started.send(Err(e));
                    return;
                }
            }
        }
        let _ = started.send(Ok(running.iter().map(|worker| worker.addresses[0]).collect()));
        while !stopped.load(Ordering::Acquire) {
            tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        }
    };
    runtime.block_on(tokio::task::LocalSet::new().run_until(work));
}
