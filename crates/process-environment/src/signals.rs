//! Operating system signals as futures. Each receiver uses one pipe. Tokio's implementation is not used because it opens
//! a pair of Unix sockets in every process, and the platform's simulation of many routers has no file descriptors left
//! for them.

use signal_hook::SigId;
use signal_hook::low_level::{pipe::register, unregister};
use std::io::{self, ErrorKind, pipe};
use std::os::fd::OwnedFd;
use tokio::net::unix::pipe::Receiver;

pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// Receives one kind of signal from its creation until it is dropped.
pub struct SignalReceiver {
    pipe: Receiver,
    id: SigId,
}

impl SignalReceiver {
    /// Starts to receive `signal`, which replaces its default action, such as terminating the process.
    ///
    /// # Errors
    ///
    /// Returns an error if no pipe could be opened or the signal cannot be caught.
    pub fn new(signal: i32) -> io::Result<Self> {
        let (read_end, write_end) = pipe()?;
        let pipe = Receiver::from_owned_fd(OwnedFd::from(read_end))?;
        Ok(Self { pipe, id: register(signal, write_end)? })
    }

    /// Waits for the next signal. Signals that arrived since the last call are reported as one.
    pub async fn next(&mut self) {
        if let Err(e) = self.read().await {
            tracing::error!("reading a signal's pipe failed: {e}; end the process with SIGKILL");
            std::future::pending::<()>().await;
        }
    }

    async fn read(&self) -> io::Result<()> {
        /// Bytes read at once, more than the signals that arrive together: any left in the pipe would be reported as
        /// another signal.
        const MAX_SIGNALS: usize = 64;
        loop {
            self.pipe.readable().await?;
            match self.pipe.try_read(&mut [0; MAX_SIGNALS]) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(_) => return Ok(()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}

impl Drop for SignalReceiver {
    fn drop(&mut self) {
        unregister(self.id);
    }
}

#[cfg(test)]
mod tests;
