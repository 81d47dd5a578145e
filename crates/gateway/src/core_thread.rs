//! The thread of one core, with its own single-threaded runtime on which the core serves its client connections from
//! accept to close.

use crate::core_context::{CoreContext, HEARTBEAT_INTERVAL};
use crate::message_handler;
use crate::shared_runtime::SharedRuntime;
use milletpath_multicore::watchdog::Watchdog;
use nix::sched::{CpuSet, sched_getaffinity, sched_setaffinity};
use nix::unistd::Pid;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::task::LocalSet;

/// Seconds between two rounds of closing idle connections; short compared to the idle timeout.
const IDLE_CHECK_INTERVAL: f64 = 1.0;

/// The supervisor's handle to a core's thread.
pub struct CoreThread {
    thread: Option<JoinHandle<()>>,
    /// Number of this thread among those of the core's slot, starting at 0.
    pub incarnation: u32,
    /// Evaluates the thread's heartbeat.
    pub watchdog: Watchdog,
}

impl CoreThread {
    /// Starts the first thread of a core. It runs until the gateway is stopping, `accepting` is cleared and its last
    /// connection has ended.
    pub fn start(shared_runtime: &Arc<SharedRuntime>, core: usize, accepting: &Arc<AtomicBool>) -> Self {
        let watchdog = Watchdog::new(shared_runtime.now());
        let mut core_thread = Self { thread: None, incarnation: 0, watchdog };
        core_thread.restart(shared_runtime, core, accepting);
        core_thread
    }

    /// Starts a thread for a core that has none. A failure is logged, and the watchdog decides when to retry.
    pub fn restart(&mut self, shared_runtime: &Arc<SharedRuntime>, core: usize, accepting: &Arc<AtomicBool>) {
        let now = shared_runtime.now();
        // Counts as a heartbeat, to give the thread time for its first one.
        shared_runtime.core_slots[core].heartbeat.beat(self.incarnation, now);
        match spawn(shared_runtime, core, self.incarnation, accepting) {
            Ok(thread) => {
                self.thread = Some(thread);
                self.watchdog.core_started(now);
            }
            Err(error) => {
                tracing::error!(core, %error, "a core thread can't start; trying again later");
                self.watchdog.core_lost(now);
            }
        }
    }

    /// Whether a thread was started; it may have ended since.
    pub fn is_started(&self) -> bool {
        self.thread.is_some()
    }

    /// Joins the thread if it has ended. Returns whether it panicked, or `None` if there is no ended thread.
    pub fn take_finished(&mut self) -> Option<bool> {
        let thread = self.thread.take_if(|thread| thread.is_finished())?;
        Some(thread.join().is_err())
    }

    /// Takes the thread's handle, to be joined elsewhere.
    pub fn take_thread(&mut self) -> Option<JoinHandle<()>> {
        self.thread.take()
    }

    /// Abandons a stalled thread. It can't be joined, but ends by itself once it runs again and finds that it was
    /// replaced.
    pub fn abandon(&mut self) {
        self.thread = None;
    }
}

fn spawn(
    shared_runtime: &Arc<SharedRuntime>,
    core: usize,
    incarnation: u32,
    accepting: &Arc<AtomicBool>,
) -> io::Result<JoinHandle<()>> {
    let (shared_runtime, accepting) = (shared_runtime.clone(), accepting.clone());
    std::thread::Builder::new().name(format!("core-{core}")).spawn(move || {
        if shared_runtime.config.limits.pin {
            pin_to_processor(core);
        }
        match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => {
                let core = run(shared_runtime, core, incarnation, accepting);
                runtime.block_on(LocalSet::new().run_until(core));
            }
            // The supervisor detects that the thread has ended and starts another.
            Err(error) => tracing::error!(core, %error, "a core's runtime can't start"),
        }
    })
}

/// Pins this thread to one of the processors that the process may use.
fn pin_to_processor(core: usize) {
    let this_thread = Pid::from_raw(0);
    let pinned = sched_getaffinity(this_thread).and_then(|allowed| {
        let allowed: Vec<_> = (0..CpuSet::count()).filter(|n| allowed.is_set(*n) == Ok(true)).collect();
        let mut processor = CpuSet::new();
        processor.set(allowed[core % allowed.len().max(1)])?;
        sched_setaffinity(this_thread, &processor)
    });
    if let Err(error) = pinned {
        tracing::warn!(core, %error, "a core thread can't be pinned to a processor");
    }
}

/// Serves until the gateway stops or another thread has taken over this core's slot.
async fn run(shared_runtime: Arc<SharedRuntime>, core: usize, incarnation: u32, accepting: Arc<AtomicBool>) {
    let slot = &shared_runtime.core_slots[core];
    let context = CoreContext::new(shared_runtime.clone(), core, incarnation, message_handler::handle);
    let (mut next_heartbeat, mut next_idle_check) = (0.0, shared_runtime.now() + IDLE_CHECK_INTERVAL);
    loop {
        let now = shared_runtime.now();
        if now >= next_heartbeat {
            next_heartbeat = now + HEARTBEAT_INTERVAL;
            if !context.beat().await {
                tracing::warn!(core, "this core thread was replaced; it ends");
                return;
            }
            // If the supervisor itself has stalled, the first core that notices runs the timers.
            if shared_runtime.is_overdue(2.0 * HEARTBEAT_INTERVAL) {
                context.with_dispatcher(|dispatcher, now| dispatcher.advance(now));
            }
            if now >= next_idle_check {
                next_idle_check = now + IDLE_CHECK_INTERVAL;
                context.close_idle();
            }
        }
        context.process_messages();
        if shared_runtime.stopping.load(Ordering::Acquire) {
            context.stop();
            let accepting = accepting.load(Ordering::Acquire);
            if !accepting && slot.open_connections.load(Ordering::Acquire) == 0 && slot.mailbox.is_empty() {
                return;
            }
        }
        tokio::select! {
            () = slot.wake.notified() => {}
            () = tokio::time::sleep(Duration::from_secs_f64(HEARTBEAT_INTERVAL)) => {}
        }
    }
}
