//! A single-threaded Tokio runtime on the calling thread.

use std::io;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// The operating system did not provide the resources for a runtime.
#[derive(Debug, thiserror::Error)]
#[error("the async runtime can't start: {0}")]
pub struct RuntimeError(#[from] io::Error);

/// Runs a future to completion on the calling thread. The future may spawn tasks that are not `Send` (`spawn_local`).
///
/// # Errors
///
/// The runtime cannot start; the future was not polled.
pub fn block_on<T>(future: impl Future<Output = T>) -> Result<T, RuntimeError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(LocalSet::new().run_until(future)))
}
