//! A gateway as a process of its own, for scenarios and benches.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// Why a gateway did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// There is no process.
    #[error("the process can't be started: {0}")]
    Spawn(#[from] std::io::Error),
    /// It ended or closed its standard output first.
    #[error("it ended without printing the address that it listens on")]
    NoAddress,
}

/// A gateway that listens; it is killed when this is dropped.
pub struct GatewayProcess {
    /// The process.
    pub child: Child,
    /// Where clients reach it.
    pub address: SocketAddr,
    /// Where it receives datagrams of other gateways, if it does.
    pub membership_address: Option<SocketAddr>,
}

impl GatewayProcess {
    /// Starts it, and waits on this thread until it prints the address that it listens on.
    ///
    /// # Errors
    /// The process can't be started, or ends without printing its address.
    pub fn start(mut command: Command) -> Result<Self, StartError> {
        let mut child = command.stdout(Stdio::piped()).spawn()?;
        let lines = child.stdout.take().into_iter().flat_map(|stdout| BufReader::new(stdout).lines());
        let mut membership_address = None;
        let address = lines.map_while(Result::ok).find_map(|line| {
            let printed =
                line.strip_prefix("peers on udp://").and_then(|address| address.trim().parse().ok());
            membership_address = printed.or(membership_address);
            line.strip_prefix("listening on http://")?.trim().parse().ok()
        });
        if let Some(address) = address {
            return Ok(Self { child, address, membership_address });
        }
        let _ = child.kill();
        let _ = child.wait();
        Err(StartError::NoAddress)
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
