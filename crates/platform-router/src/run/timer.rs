//! The tasks that wait for times: what the dispatcher has due, and a regular look at all connections.

use crate::platform_router::{PlatformRouter, SharedRouter};
use std::time::Duration;

/// Time between two looks at the connections: short against the times after which they are closed.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(200);

impl PlatformRouter {
    /// Notifies the dispatcher that time has passed.
    fn on_timer(&mut self) {
        let now = self.now();
        self.dispatcher.advance(now);
        self.run_actions();
    }

    /// Closes connections that have been idle or silent for too long, and looks at what else changes with time.
    fn clean_up(&mut self) {
        let now = self.now();
        // Often enough that a heartbeat confirms the list for about the time at which it was written.
        self.peek_discovery();
        self.report_list_state(now);
        self.close_stale_clients(now);
        self.close_idle_worker_connections(now);
        self.run_actions();
    }
}

/// Wakes the dispatcher whenever something is due.
pub(super) async fn run_timer(router: SharedRouter) {
    loop {
        let (next, timer_changed) = {
            let mut router = router.borrow_mut();
            router.on_timer();
            let next = router.dispatcher.next_deadline();
            router.timer_set_for = next.unwrap_or(f64::INFINITY);
            let next = next.map(|at| router.started_at + Duration::from_secs_f64(at.max(0.0)));
            (next, router.timer_changed.clone())
        };
        match next {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(at) => {}
                () = timer_changed.notified() => {}
            },
            None => timer_changed.notified().await,
        }
    }
}

/// Looks after all connections at regular intervals.
pub(super) async fn run_cleanup(router: SharedRouter) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        router.borrow_mut().clean_up();
    }
}
