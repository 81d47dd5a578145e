//! The asynchronous runtime of the calling thread.

use std::io;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// The system gives no resources for a runtime.
#[derive(Debug, thiserror::Error)]
#[error("the async runtime can't start: {0}")]
pub struct RuntimeError(#[from] io::Error);

/// Runs a future to its end on the calling thread; it may spawn tasks that stay on this thread.
///
/// # Errors
///
/// The runtime can't start; the future was not run.
pub fn block_on<T>(future: impl Future<Output = T>) -> Result<T, RuntimeError> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(LocalSet::new().run_until(future)))
}
