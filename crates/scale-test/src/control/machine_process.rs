//! The process of one control machine.

use super::ControlError;
use crate::child_process::ChildProcess;
use crate::gateway_config;
use crate::host_protocol::AddressMap;
use crate::run_files::RunFiles;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::process::{Command, Stdio};

/// Number of ports to try: another process may bind a free port before the control machine does.
const PORT_ATTEMPTS: usize = 4;

/// Whether a control machine starts with a new log or with the log of an earlier process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogState {
    /// Initializes a new log.
    New,
    /// Continues its existing log.
    Existing,
}

/// The process of a control machine, which is killed on drop.
pub struct ControlMachine {
    process: ChildProcess,
    /// The address it listens on. Others reach it through the relay.
    pub address: SocketAddr,
}

impl ControlMachine {
    /// Starts a control machine and waits until it listens.
    ///
    /// # Errors
    ///
    /// The program can't be spawned, or exits before it listens, on every port that was tried.
    pub fn start(
        files: &RunFiles,
        addresses: &AddressMap,
        number: usize,
        log: LogState,
    ) -> Result<Self, ControlError> {
        let mut attempt = 1;
        loop {
            let address = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
            match Self::start_at(files, addresses, number, log, address) {
                Err(_) if attempt < PORT_ATTEMPTS => attempt += 1,
                result => return result,
            }
        }
    }

    fn start_at(
        files: &RunFiles,
        addresses: &AddressMap,
        number: usize,
        log: LogState,
        address: SocketAddr,
    ) -> Result<Self, ControlError> {
        // The other control machines are reached through the relay; its own entry is the address that it binds.
        let mut control_machines = addresses.control_machines.clone();
        control_machines[number] = address;
        let config = files.control_config(number);
        std::fs::write(&config, gateway_config::control_text(&control_machines, addresses))?;
        let mut command = Command::new(&files.program);
        command.args(["--log", "json", "control", "--charter"]).arg(&config);
        command.args(["--number", &number.to_string()]).args((log == LogState::New).then_some("--found"));
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(files.open_control_log(number)?);
        let mut child = command.spawn()?;
        let output = child.stdout.take();
        // If anything below fails, dropping the handle kills the process.
        let machine = Self { process: ChildProcess::new(child), address };
        let output = output.ok_or(ControlError::NotListening { machine: number })?;
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        let announcement = format!("control {number} on udp://");
        match lines.any(|line| line.starts_with(&announcement)) {
            true => Ok(machine),
            false => Err(ControlError::NotListening { machine: number }),
        }
    }

    /// Process id.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.process.is_running()
    }
}
