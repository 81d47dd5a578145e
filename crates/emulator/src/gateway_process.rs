//! Runs a gateway in a separate process, for scenarios and benchmarks.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// Why a gateway did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The process could not be spawned.
    #[error("the process can't be started: {0}")]
    Spawn(#[from] std::io::Error),
    /// The process ended or closed its standard output before it printed its address.
    #[error("the process ended without printing the address on which it listens")]
    NoAddress,
}

/// A gateway that is listening; its process is killed on drop.
pub struct GatewayProcess {
    /// The gateway's process.
    pub child: Child,
    /// The address on which it listens for clients.
    pub address: SocketAddr,
    /// The address on which it receives datagrams from other gateways, if it takes part in a membership.
    pub membership_address: Option<SocketAddr>,
}

impl GatewayProcess {
    /// Starts the process, and blocks this thread until it prints the address on which it listens.
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
