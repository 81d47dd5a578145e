//! What the benches share: workers that answer at once, gateways as processes, and loops of requests.

#![allow(dead_code, reason = "each bench uses a part of it")]

pub mod gateway_process;
pub mod http_message;
pub mod instant_workers;
pub mod request_loops;
pub mod statistics;

use tokio::task::LocalSet;

/// Runs a future to its end on the calling thread; it may spawn tasks on this thread.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(future))
}

/// The value behind a flag of the bench's command line.
pub fn flag_value(flag: &str) -> Option<String> {
    std::env::args().skip_while(|argument| argument != flag).nth(1)
}
