//! The timer tasks: one for the dispatcher's deadlines, one for periodic cleanup of connections.

use crate::platform_router::{PlatformRouter, SharedRouter};
use std::time::Duration;

/// Interval of the cleanup, short compared with the timeouts after which connections are closed.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(200);

impl PlatformRouter {
    /// Advances the dispatcher's clock, and ends the wait of work that was held back for too long.
    fn on_timer(&mut self) {
        let now = self.now();
        self.dispatcher.advance(now);
        self.run_actions();
        self.release_backlog();
    }

    /// Closes connections that have been idle or silent for too long, and updates other time-dependent state.
    fn clean_up(&mut self) {
        let now = self.now();
        self.heartbeat.beat();
        // Frequent checks of the socket let a heartbeat confirm the list for about the time at which it was written.
        self.peek_discovery();
        self.report_list_state(now);
        if let Some(rejected) = self.unread_rejections.take_due(now) {
            tracing::warn!(rejected, "too little processor time: calls that were read late were rejected");
        }
        if let Some(rejected) = self.memory_rejections.take_due(now) {
            tracing::warn!(rejected, "too little memory: calls were not sent to a worker");
        }
        self.wake_paused_clients();
        self.close_stale_clients(now);
        self.close_idle_worker_connections(now);
        self.run_actions();
    }
}

/// Advances the dispatcher whenever a deadline is due.
pub(crate) async fn run_timer(router: SharedRouter) {
    loop {
        let (next, timer_changed) = {
            let mut router = router.borrow_mut();
            router.on_timer();
            let next = router.next_deadline();
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

/// Runs the cleanup periodically.
pub(super) async fn run_cleanup(router: SharedRouter) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        router.borrow_mut().clean_up();
    }
}
