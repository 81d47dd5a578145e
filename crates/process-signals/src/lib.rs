//! Signals of the system, to wait for. Each comes over a pipe of its own: the runtime's way is a pair of Unix sockets
//! in every process that uses it, and where the platform plays many routers there is no place for those.

use signal_hook::SigId;
use signal_hook::low_level::{pipe::register, unregister};
use std::io::{self, ErrorKind, pipe};
use std::os::fd::OwnedFd;
use tokio::net::unix::pipe::Receiver;

pub use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// One signal, heard from when this was made; no longer once it is dropped.
pub struct Heard {
    read: Receiver,
    id: SigId,
}

impl Heard {
    /// From now on this signal does nothing by itself.
    pub fn new(signal: i32) -> io::Result<Self> {
        let (read, write) = pipe()?;
        let read = Receiver::from_owned_fd(OwnedFd::from(read))?;
        Ok(Self { read, id: register(signal, write)? })
    }

    /// Waits for the next; those that came together since the last count once.
    pub async fn next(&mut self) {
        if let Err(e) = self.read().await {
            tracing::error!("a signal can't be heard any more: {e}; end the process outright");
            std::future::pending::<()>().await;
        }
    }

    async fn read(&self) -> io::Result<()> {
        /// More than come together: what is left over would count once more.
        const TURN: usize = 64;
        loop {
            self.read.readable().await?;
            match self.read.try_read(&mut [0; TURN]) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(_) => return Ok(()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}

impl Drop for Heard {
    fn drop(&mut self) {
        unregister(self.id);
    }
}

#[cfg(test)]
mod tests;
