//! A gateway as a process of its own, for days and benches.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

/// A process that told where it listens; dropped, it is killed outright.
pub struct GatewayProcess {
    pub child: Child,
    pub address: SocketAddr,
    /// Where it hears other gateways, if it does.
    pub link: Option<SocketAddr>,
}

impl GatewayProcess {
    /// Starts it, and waits on this thread until it tells on its standard output where it listens.
    pub fn start(mut command: Command) -> io::Result<Self> {
        let mut child = command.stdout(Stdio::piped()).spawn()?;
        let lines = child.stdout.take().into_iter().flat_map(|out| BufReader::new(out).lines());
        let mut link = None;
        let told = lines.map_while(Result::ok).find_map(|line| {
            link = line.strip_prefix("peers on udp://").and_then(|at| at.trim().parse().ok()).or(link);
            line.strip_prefix("listening on http://")?.trim().parse().ok()
        });
        match told {
            Some(address) => Ok(Self { child, address, link }),
            None => {
                let _ = child.kill();
                let _ = child.wait();
                Err(io::Error::other("it does not tell where it listens"))
            }
        }
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
