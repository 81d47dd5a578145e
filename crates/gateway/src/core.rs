//! One core: a thread with a runtime of its own, which carries the calls of its connections from their first byte to
//! their last.

use crate::errands;
use crate::shared_runtime::SharedRuntime;
use crate::shell::{Gateway, PULSE};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Starts the thread of a seat, in that one of its lives. It lasts for as long as connections may be dealt to it.
pub fn start(
    shared_runtime: &Arc<SharedRuntime>,
    seat: usize,
    life: u32,
    accepting: &Arc<AtomicBool>,
) -> io::Result<JoinHandle<()>> {
    let (shared_runtime, accepting) = (shared_runtime.clone(), accepting.clone());
    std::thread::Builder::new().name(format!("core-{seat}")).spawn(move || {
        if shared_runtime.config.limits.pin {
            pin(seat);
        }
        match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => {
                runtime.block_on(tokio::task::LocalSet::new().run_until(run(
                    shared_runtime,
                    seat,
                    life,
                    accepting,
                )));
            }
            // The keeper sees that the thread has ended, and tries again.
            Err(e) => tracing::error!(seat, "a core's runtime can't start: {e}"),
        }
    })
}

/// Keeps this thread on one of the processors that the process may use.
fn pin(seat: usize) {
    use nix::sched::{CpuSet, sched_getaffinity, sched_setaffinity};
    use nix::unistd::Pid;
    let this = Pid::from_raw(0);
    let pinned = sched_getaffinity(this).and_then(|allowed| {
        let allowed: Vec<_> = (0..CpuSet::count()).filter(|n| allowed.is_set(*n) == Ok(true)).collect();
        let mut one = CpuSet::new();
        one.set(allowed[seat % allowed.len().max(1)])?;
        sched_setaffinity(this, &one)
    });
    if let Err(e) = pinned {
        tracing::warn!(seat, "can't be pinned to a processor: {e}");
    }
}

async fn run(shared_runtime: Arc<SharedRuntime>, number: usize, life: u32, accepting: Arc<AtomicBool>) {
    /// Seconds between two looks for idle connections: short against the time they may be idle.
    const LOOK: f64 = 1.0;
    let seat = &shared_runtime.core_slots[number];
    let gateway = Gateway::new(shared_runtime.clone(), number, life, errands::carry_out);
    let (mut pulse, mut look) = (0.0, shared_runtime.now() + LOOK);
    loop {
        let now = shared_runtime.now();
        if now >= pulse {
            pulse = now + PULSE;
            if !gateway.beat().await {
                tracing::warn!(seat = number, "another core has taken this seat");
                return;
            }
            // The keeper itself may stand still; then whoever notices does what is due.
            if shared_runtime.overdue(2.0 * PULSE) {
                gateway.tell(|desk, now| desk.advance(now));
            }
            if now >= look {
                look = now + LOOK;
                gateway.close_idle();
            }
        }
        gateway.collect();
        if shared_runtime.stopping.load(Ordering::Acquire) {
            gateway.stop();
            let more = accepting.load(Ordering::Acquire);
            if !more && seat.open.load(Ordering::Acquire) == 0 && seat.mail.is_empty() {
                return;
            }
        }
        tokio::select! {
            () = seat.bell.notified() => {}
            () = tokio::time::sleep(Duration::from_secs_f64(PULSE)) => {}
        }
    }
}
