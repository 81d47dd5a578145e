//! A real gateway: a `milletpath serve` process whose log reports its view of the other gateways.

use super::gateway_log::{LoggedObservation, applied_number, membership_observation};
use crate::child_message::ChildMessage;
use crate::child_process::ChildProcess;
use crate::reachable_gateways::GatewayAddresses;
use milletpath_gateway::hollow_gateway::clock;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::SyncSender;

/// Why a real gateway can't be started.
#[derive(Debug, thiserror::Error)]
pub enum GatewayProcessError {
    /// The program can't be spawned, or the system can't create another thread.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The process exited, or closed its output without printing an address for clients.
    #[error("gateway {gateway} exited or printed no address for clients")]
    NoAddress {
        /// Number of the gateway.
        gateway: usize,
    },
}

/// The process of a real gateway, which is killed on drop.
pub struct GatewayProcess {
    process: ChildProcess,
    gateway: usize,
    /// Distinguishes this process from others of the same gateway.
    pub incarnation: u64,
    /// Addresses for clients and for other gateways.
    pub addresses: GatewayAddresses,
    /// Address at which it receives configuration changes, if it follows them.
    pub config_log_address: Option<SocketAddr>,
    /// When the process was started, in seconds on the machine's monotonic clock.
    pub started_at: f64,
}

impl GatewayProcess {
    /// Starts a gateway and waits until it prints its addresses. Membership observations and applied changes found in
    /// its log are sent to `messages`.
    ///
    /// # Errors
    ///
    /// The program can't be spawned, or exits before it listens.
    pub fn start(
        program: &Path,
        config: &Path,
        gateway: usize,
        incarnation: u64,
        messages: SyncSender<ChildMessage>,
    ) -> Result<Self, GatewayProcessError> {
        let started_at = clock();
        let mut command = Command::new(program);
        command.arg("--log").arg("json").arg("serve").arg("--charter").arg(config);
        // Membership observations are logged at this level.
        command.env("MILLETPATH_LOG", "info").stdin(Stdio::null());
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        let (output, log) = (child.stdout.take(), child.stderr.take());
        // If anything below fails, dropping the handle kills the process.
        let process = ChildProcess::new(child);
        if let Some(log) = log {
            let read = move || read_log(log, gateway, incarnation, &messages);
            std::thread::Builder::new().name("log".into()).spawn(read)?;
        }
        let listening = output.and_then(read_addresses);
        let ListenAddresses { addresses, config_log_address } =
            listening.ok_or(GatewayProcessError::NoAddress { gateway })?;
        Ok(Self { process, gateway, incarnation, addresses, config_log_address, started_at })
    }

    /// Process id.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Requests a graceful shutdown. The exit is reported to `messages`.
    ///
    /// # Errors
    ///
    /// The signal can't be sent, or the system can't create another thread.
    pub fn shut_down(mut self, messages: SyncSender<ChildMessage>) -> io::Result<()> {
        let at = clock();
        self.process.terminate()?;
        std::thread::Builder::new().name("shutdown".into()).spawn(move || {
            self.process.wait_or_kill();
            let _ = messages.send(ChildMessage::GatewayStopped { gateway: self.gateway, at });
        })?;
        Ok(())
    }
}

fn read_log(log: impl Read, gateway: usize, incarnation: u64, messages: &SyncSender<ChildMessage>) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        // After the run has ended nobody receives. The log must still be drained, or the gateway would block on a full
        // pipe.
        if let Some(LoggedObservation { subject, state }) = membership_observation(&line) {
            let at = clock();
            let _ =
                messages.send(ChildMessage::MembershipChanged { gateway, incarnation, subject, state, at });
        } else if let Some(number) = applied_number(&line) {
            let _ = messages.send(ChildMessage::ChangesApplied { gateway, incarnation, number, at: clock() });
        }
    }
}

/// The addresses that a gateway prints at startup.
struct ListenAddresses {
    addresses: GatewayAddresses,
    config_log_address: Option<SocketAddr>,
}

/// Reads the startup output of a gateway up to the address for clients, which is printed last.
fn read_addresses(output: impl Read) -> Option<ListenAddresses> {
    let (mut membership, mut config_log_address) = (None, None);
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        if let Some(address) = line.strip_prefix("peers on udp://") {
            membership = address.trim().parse().ok();
        }
        if let Some(address) = line.strip_prefix("changes on udp://") {
            config_log_address = address.trim().parse().ok();
        }
        let http = line.strip_prefix("listening on http://").and_then(|address| address.trim().parse().ok());
        if let Some(http) = http {
            return Some(ListenAddresses {
                addresses: GatewayAddresses { http, membership },
                config_log_address,
            });
        }
    }
    None
}

#[cfg(test)]
mod tests;
