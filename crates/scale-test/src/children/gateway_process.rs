//! A real gateway: a process of `milletpath serve`, whose log reports what it knows of the others.

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
    /// The system does not start the program, or has no room for another thread.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The process ended, or printed no address for clients.
    #[error("gateway {gateway} does not tell where it listens")]
    NoAddress {
        /// Its number.
        gateway: usize,
    },
}

/// A real gateway's process. Dropped, it is killed.
pub struct GatewayProcess {
    process: ChildProcess,
    gateway: usize,
    /// Distinguishes it from other processes under its number.
    pub incarnation: u64,
    /// Where clients and other gateways reach it.
    pub addresses: GatewayAddresses,
    /// Where it receives configuration changes, if it follows them.
    pub config_log_address: Option<SocketAddr>,
    /// When it was started, in seconds on the machine's monotonic clock.
    pub started_at: f64,
}

impl GatewayProcess {
    /// Starts a gateway and waits until it reports where it listens. What its log reports of other gateways and of
    /// configuration changes goes to `messages`.
    ///
    /// # Errors
    ///
    /// The program can't be started, or ends before it listens.
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
        // What it observes of the others is logged at this level.
        command.env("MILLETPATH_LOG", "info").stdin(Stdio::null());
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        let (output, log) = (child.stdout.take(), child.stderr.take());
        // From here on an error kills the process, as the handle is dropped.
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

    /// Its process id.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Asks it to shut down gracefully. Its end is reported to `messages`.
    ///
    /// # Errors
    ///
    /// The signal can't be sent, or the system has no room for another thread.
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
        // Once the run is over nobody receives; the log is still read, so that the gateway can go on writing.
        if let Some(LoggedObservation { subject, state }) = membership_observation(&line) {
            let at = clock();
            let _ =
                messages.send(ChildMessage::MembershipChanged { gateway, incarnation, subject, state, at });
        } else if let Some(number) = applied_number(&line) {
            let _ = messages.send(ChildMessage::ChangesApplied { gateway, incarnation, number, at: clock() });
        }
    }
}

/// All addresses that a gateway prints when it starts.
struct ListenAddresses {
    addresses: GatewayAddresses,
    config_log_address: Option<SocketAddr>,
}

/// Reads the lines that a gateway prints when it starts, up to its address for clients, which is the last.
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
