//! One gateway of a run: its configuration file, its process, and the input by which faults are injected into its cores.

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
        /// The log.
        log: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Its process did not start.
    #[error("the gateway did not start: {source}; see {}", log.display())]
    Start {
        /// Its log.
        log: PathBuf,
        /// Why.
        source: StartError,
    },
    /// The thread that waited for its start panicked.
    #[error("waiting for the gateway's start failed: {0}")]
    Wait(#[from] tokio::task::JoinError),
}

/// Starts gateways' processes.
pub(super) struct Launcher {
    /// The gateway's program.
    pub(super) program: PathBuf,
    /// A fault that they are started with.
    pub(super) injected_fault: Option<String>,
}

impl Launcher {
    /// Starts a process; returns once it listens.
    pub(super) async fn launch(&self, config: &Path) -> Result<GatewayProcess, LaunchError> {
        let log = config.with_extension("log");
        let file = OpenOptions::new().create(true).append(true).open(&log);
        let file = file.map_err(|source| LaunchError::Log { log: log.clone(), source })?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--charter").arg(config).arg("--stir").stdin(Stdio::piped()).stderr(file);
        if let Some(fault) = &self.injected_fault {
            command.arg("--plant").arg(fault);
        }
        // On a thread of its own, because other gateways' workers and registry run on this one meanwhile.
        let started = tokio::task::spawn_blocking(|| GatewayProcess::start(command)).await?;
        started.map_err(|source| LaunchError::Start { log, source })
    }
}

/// A gateway, whether its process runs or not.
pub(super) struct Gateway {
    /// Its configuration file.
    pub(super) config: PathBuf,
    /// Where clients reach it.
    pub(super) address: SocketAddr,
    process: RefCell<Option<GatewayProcess>>,
    fault_input: RefCell<Option<ChildStdin>>,
}

impl Gateway {
    /// A gateway whose process was started for the first time.
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

    /// A new process runs from now on.
    pub(super) fn set_process(&self, mut process: GatewayProcess) {
        self.fault_input.replace(process.child.stdin.take());
        self.process.replace(Some(process));
    }

    /// Whether a process runs.
    pub(super) fn is_running(&self) -> bool {
        self.process.borrow().is_some()
    }

    /// Where its process receives datagrams.
    pub(super) fn membership_address(&self) -> Option<SocketAddr> {
        self.process.borrow().as_ref().and_then(|process| process.membership_address)
    }

    /// Kills its process, if one runs.
    pub(super) fn kill(&self) {
        self.process.take();
    }

    /// Sends a signal to its process, if one runs.
    pub(super) fn signal(&self, signal: Signal) -> nix::Result<()> {
        let process = self.process.borrow();
        let Some(process) = process.as_ref() else { return Ok(()) };
        kill(Pid::from_raw(process.child.id().cast_signed()), signal)
    }

    /// Injects a fault into a core of its process.
    pub(super) fn inject(&self, core: usize, fault: &str) -> io::Result<()> {
        let mut input = self.fault_input.borrow_mut();
        let input = input.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        // A few bytes, which the pipe takes also if the process is paused.
        input.write_all(format!("{core} {fault}\n").as_bytes())
    }
}
