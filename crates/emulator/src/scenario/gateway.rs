//! A gateway of a run: its configuration file, its process, and the input through which faults are injected into its
//! cores.

use crate::gateway_process::{GatewayProcess, StartError};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::cell::RefCell;
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ChildStdin, Command, Stdio};

/// Why a gateway can't be started.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// Its log can't be opened.
    #[error("the log {} can't be opened: {source}", log.display())]
    Log {
        /// The path of the log.
        log: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Its process did not start.
    #[error("the gateway did not start: {source}; see {}", log.display())]
    Start {
        /// The path of its log.
        log: PathBuf,
        /// The cause.
        source: StartError,
    },
    /// The thread that waited for its start panicked.
    #[error("waiting for the gateway's start failed: {0}")]
    Wait(#[from] tokio::task::JoinError),
}

/// Starts gateway processes.
pub(super) struct Launcher {
    /// The path of the gateway's executable.
    pub(super) program: PathBuf,
    /// A fault with which every gateway is started.
    pub(super) injected_fault: Option<String>,
}

impl Launcher {
    /// Starts a process; returns once it is listening.
    pub(super) async fn launch(&self, config: &Path) -> Result<GatewayProcess, LaunchError> {
        let log = config.with_extension("log");
        let file = OpenOptions::new().create(true).append(true).open(&log);
        let file = file.map_err(|source| LaunchError::Log { log: log.clone(), source })?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--charter").arg(config).arg("--stir").stdin(Stdio::piped()).stderr(file);
        if let Some(fault) = &self.injected_fault {
            command.arg("--plant").arg(fault);
        }
        // Runs on a separate thread, because the workers and the registry of other gateways use this one in the
        // meantime.
        let started = tokio::task::spawn_blocking(|| GatewayProcess::start(command)).await?;
        started.map_err(|source| LaunchError::Start { log, source })
    }
}

/// A gateway, whether or not its process is running.
pub(super) struct Gateway {
    /// The path of its configuration file.
    pub(super) config: PathBuf,
    /// The address on which it listens for clients.
    pub(super) address: SocketAddr,
    process: RefCell<Option<GatewayProcess>>,
    fault_input: RefCell<Option<ChildStdin>>,
}

impl Gateway {
    /// Creates a gateway from its first process.
    pub(super) fn new(config: PathBuf, process: GatewayProcess) -> Self {
        let gateway = Self {
            config,
            address: process.address,
            process: RefCell::default(),
            fault_input: RefCell::default(),
        };
        gateway.set_process(process);
        gateway
    }

    /// Sets a new process.
    pub(super) fn set_process(&self, mut process: GatewayProcess) {
        self.fault_input.replace(process.child.stdin.take());
        self.process.replace(Some(process));
    }

    /// Whether its process is running.
    pub(super) fn is_running(&self) -> bool {
        self.process.borrow().is_some()
    }

    /// The address on which its process receives datagrams.
    pub(super) fn membership_address(&self) -> Option<SocketAddr> {
        self.process.borrow().as_ref().and_then(|process| process.membership_address)
    }

    /// Kills its process, if it is running.
    pub(super) fn kill(&self) {
        self.process.take();
    }

    /// Sends a signal to its process, if it is running.
    pub(super) fn signal(&self, signal: Signal) -> nix::Result<()> {
        let process = self.process.borrow();
        let Some(process) = process.as_ref() else { return Ok(()) };
        kill(Pid::from_raw(process.child.id().cast_signed()), signal)
    }

    /// Injects a fault into a core of its process.
    pub(super) fn inject(&self, core: usize, fault: &str) -> io::Result<()> {
        let mut input = self.fault_input.borrow_mut();
        let input = input.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        // Does not block: the pipe has room for these few bytes even if the process is paused.
        input.write_all(format!("{core} {fault}\n").as_bytes())
    }
}
