//! The signals that request a shutdown: SIGTERM, and SIGINT, which Ctrl-C sends.

use milletpath_process_environment::signals::{SIGINT, SIGTERM, SignalReceiver};
use std::io;

/// Receives the shutdown signals. Once registered, they no longer terminate the process immediately.
pub struct ShutdownSignals {
    /// Receiver of SIGTERM.
    terminate: SignalReceiver,
    /// Receiver of SIGINT.
    interrupt: SignalReceiver,
}

impl ShutdownSignals {
    /// Registers handlers for the signals. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// A handler cannot be registered; the signals may then still terminate the process immediately.
    pub fn register() -> io::Result<Self> {
        Ok(Self { terminate: SignalReceiver::new(SIGTERM)?, interrupt: SignalReceiver::new(SIGINT)? })
    }

    /// Waits for either signal.
    pub async fn received(&mut self) {
        tokio::select! {
            () = self.terminate.next() => {}
            () = self.interrupt.next() => {}
        }
    }
}

/// Waits for a shutdown signal. If the handlers cannot be registered, logs the error and never completes.
pub async fn shutdown_requested() {
    match ShutdownSignals::register() {
        Ok(mut signals) => signals.received().await,
        Err(error) => {
            tracing::error!(%error, "signals can't be received; end the process with SIGKILL");
            std::future::pending::<()>().await;
        }
    }
}
