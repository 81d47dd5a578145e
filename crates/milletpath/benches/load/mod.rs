//! Shared by the benches: workers that answer immediately, gateways as processes, request loops and statistics.

#![allow(dead_code, reason = "each bench uses a part of it")]

pub mod gateway_process;
pub mod http_message;
pub mod instant_workers;
pub mod request_loops;
pub mod statistics;

use tokio::task::LocalSet;

/// Runs a future to completion on the calling thread. The future may spawn tasks that are not `Send` (`spawn_local`).
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(future))
}

/// Returns the argument after a flag on the bench's command line.
pub fn flag_value(flag: &str) -> Option<String> {
    std::env::args().skip_while(|argument| argument != flag).nth(1)
}
