//! One core: a thread with a runtime of its own, which carries the calls of its connections from their first byte to
//! their last.

use crate::core_context::{CoreContext, HEARTBEAT_INTERVAL};
use crate::message_handler;
use crate::shared_runtime::SharedRuntime;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Starts the thread of a seat, in that one of its lives. It lasts for as long as connections may be dealt to it.
pub fn start(
    shared_runtime: &Arc<SharedRuntime>,
    core: usize,
    incarnation: u32,
    accepting: &Arc<AtomicBool>,
) -> io::Result<JoinHandle<()>> {
    let (shared_runtime, accepting) = (shared_runtime.clone(), accepting.clone());
    std::thread::Builder::new().name(format!("core-{core}")).spawn(move || {
        if shared_runtime.config.limits.pin {
            pin(core);
        }
        match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => {
                runtime.block_on(tokio::task::LocalSet::new().run_until(run(
                    shared_runtime,
                    core,
                    incarnation,
                    accepting,
                )));
            }
            // The keeper sees that the thread has ended, and tries again.
            Err(e) => tracing::error!(core, "a core's runtime can't start: {e}"),
        }
    })
}

/// Keeps this thread on one of the processors that the process may use.
fn pin(core: usize) {
    use nix::sched::{CpuSet, sched_getaffinity, sched_setaffinity};
    use nix::unistd::Pid;
    let this = Pid::from_raw(0);
    let pinned = sched_getaffinity(this).and_then(|allowed| {
        let allowed: Vec<_> = (0..CpuSet::count()).filter(|n| allowed.is_set(*n) == Ok(true)).collect();
        let mut one = CpuSet::new();
        one.set(allowed[core % allowed.len().max(1)])?;
        sched_setaffinity(this, &one)
    });
    if let Err(e) = pinned {
        tracing::warn!(core, "can't be pinned to a processor: {e}");
    }
}

async fn run(shared_runtime: Arc<SharedRuntime>, index: usize, incarnation: u32, accepting: Arc<AtomicBool>) {
    /// Seconds between two looks for idle connections: short against the time they may be idle.
    const CHECK_INTERVAL: f64 = 1.0;
    let core_slot = &shared_runtime.core_slots[index];
    let context = CoreContext::new(shared_runtime.clone(), index, incarnation, message_handler::handle);
    let (mut next_heartbeat, mut next_check) = (0.0, shared_runtime.now() + CHECK_INTERVAL);
    loop {
        let now = shared_runtime.now();
        if now >= next_heartbeat {
            next_heartbeat = now + HEARTBEAT_INTERVAL;
            if !context.beat().await {
                tracing::warn!(core = index, "another core has taken this seat");
                return;
            }
            // The keeper itself may stand still; then whoever notices does what is due.
            if shared_runtime.is_overdue(2.0 * HEARTBEAT_INTERVAL) {
                context.with_dispatcher(|dispatcher, now| dispatcher.advance(now));
            }
            if now >= next_check {
                next_check = now + CHECK_INTERVAL;
                context.close_idle();
            }
        }
        context.process_messages();
        if shared_runtime.stopping.load(Ordering::Acquire) {
            context.stop();
            let more = accepting.load(Ordering::Acquire);
            if !more && core_slot.open.load(Ordering::Acquire) == 0 && core_slot.mail.is_empty() {
                return;
            }
        }
        tokio::select! {
            () = core_slot.wake.notified() => {}
            () = tokio::time::sleep(Duration::from_secs_f64(HEARTBEAT_INTERVAL)) => {}
        }
    }
}
