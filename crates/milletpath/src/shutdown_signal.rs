//! The signals that ask the process to end: SIGTERM, and SIGINT, which Ctrl-C sends.

use milletpath_process_environment::signals::{SIGINT, SIGTERM, SignalReceiver};
use std::io;

/// Receives the signals that ask the process to end, which then no longer end it at once.
pub struct ShutdownSignals {
    /// SIGTERM.
    terminate: SignalReceiver,
    /// SIGINT.
    interrupt: SignalReceiver,
}

impl ShutdownSignals {
    /// Begins to receive the signals. Must run within a runtime.
    ///
    /// # Errors
    ///
    /// The system refuses a handler; the signals may still end the process at once.
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

/// Waits until the process is asked to end; without end where signals can't be received.
pub async fn shutdown_requested() {
    match ShutdownSignals::register() {
        Ok(mut signals) => signals.received().await,
        Err(error) => {
            tracing::error!(%error, "signals can't be received; end the process with SIGKILL");
            std::future::pending::<()>().await;
        }
    }
}
