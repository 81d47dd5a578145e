//! `milletpath control`: runs a control machine, a replica of the log of configuration changes.
//!
//! - [`config_file`] reads the configuration, which lists the control machines.
//! - [`log_file`] reads the stored records of this machine, and rewrites them into a new file.
//! - [`machine`] runs a replica of `milletpath-config-log` in its own thread: it receives datagrams ([`receiver`]),
//!   stores records, and sends a message only after the records that it depends on are on disk. While the disk fails,
//!   the machine forwards changes but does not vote.
//!
//! SIGTERM and SIGINT stop the thread after its current batch of datagrams.

mod log_file;
mod machine;
mod receiver;

use crate::async_runtime::{self, RuntimeError};
use crate::config_file::{self, ConfigFileError, ConfigWithLog};
use crate::exit_status::{CommandError, ExitStatus};
use crate::shutdown_signal::shutdown_requested;
use clap::Args;
use log_file::LogFileError;
use machine::{ControlMachine, MachineSettings};
use milletpath_config_log::{DurableReplica, Replica, ReplicaConfig, RewritePolicy, Timing};
use milletpath_gateway::KeyFileError;
use milletpath_storage::survive_file_size_limit;
use std::io::{self, Write};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval between checks whether the thread has ended or is to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Command-line options of `control`.
#[derive(Args)]
pub struct Options {
    /// The configuration file, which lists the control machines
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: PathBuf,
    /// Number of this machine in the configuration's list of control machines, from 0
    #[arg(long)]
    number: usize,
    /// Create a new log; use it once, at the first start of all control machines
    #[arg(long, alias = "found")]
    initialize: bool,
}

/// Why a control machine cannot start, or ended early.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The configuration file cannot be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The configuration lists no control machine with this number.
    #[error("{}: has no control machine {number}; write --number 0 to {last}", path.display())]
    UnknownNumber { path: PathBuf, number: usize, last: usize },
    /// The key that authenticates datagrams cannot be used.
    #[error("key of changes: {0}")]
    Key(#[source] KeyFileError),
    /// The address of this control machine is in use, or is not an address of this host.
    #[error("{address} can't be listened on: {source}; is {number} the number of this machine?")]
    Listen { address: SocketAddr, number: usize, source: io::Error },
    /// The log file cannot be used.
    #[error("{}: {source}", path.display())]
    LogFile { path: PathBuf, source: LogFileError },
    /// The operating system refused another thread.
    #[error("the thread of the control machine can't be started: {0}")]
    Spawn(#[source] io::Error),
    /// The runtime that waits for signals cannot start.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The thread panicked; the panic was logged.
    #[error("the thread of the control machine panicked; restart this control machine")]
    Panicked,
}

impl CommandError for ControlError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ConfigFile(error) => error.exit_status(),
            Self::UnknownNumber { .. } => ExitStatus::InvalidInput,
            Self::LogFile { source: LogFileError::AlreadyInitialized, .. } => ExitStatus::InvalidInput,
            _ => ExitStatus::Failure,
        }
    }
}

/// Runs a control machine until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// The configuration or the log file cannot be used, the socket cannot be opened, or the thread cannot start or panics.
pub fn run(options: &Options) -> Result<ExitStatus, ControlError> {
    let ConfigWithLog { config, config_log } = config_file::read_with_log(&options.config_file)?;
    let number = options.number;
    let Some(address) = config_log.control.get(number).copied() else {
        let (path, last) = (options.config_file.clone(), config_log.control.len() - 1);
        return Err(ControlError::UnknownNumber { path, number, last });
    };
    let key = milletpath_gateway::read_control_key(&config_log.key_file).map_err(ControlError::Key)?;
    // Bind before opening the log file, so that a second process with the same number fails here without changing it.
    let socket =
        UdpSocket::bind(address).map_err(|source| ControlError::Listen { address, number, source })?;
    ignore_file_size_signal();
    let log_path = options.config_file.with_file_name(format!("control-{number}.log"));
    let replica = open_replica(&log_path, options, &config_log.control)?;
    let head = replica.replica().state().head();
    tracing::info!(number, %address, head, "control machine started");
    announce(number, address);
    run_until_stopped(ControlMachine::new(
        replica,
        MachineSettings { config, control: config_log.control, socket: Arc::new(socket), key },
    ))
}

/// Makes a write beyond the file size limit fail like one to a full disk, instead of ending the process by SIGXFSZ.
fn ignore_file_size_signal() {
    if let Err(error) = survive_file_size_limit() {
        tracing::warn!(%error, "SIGXFSZ can't be ignored: a limit on file sizes will end this process");
    }
}

/// Opens the log file, and starts a replica from its records.
fn open_replica(
    log_path: &Path,
    options: &Options,
    control: &[SocketAddr],
) -> Result<machine::StoredReplica, ControlError> {
    let stored = log_file::open(log_path, options.initialize)
        .map_err(|source| ControlError::LogFile { path: log_path.to_owned(), source })?;
    let config = ReplicaConfig {
        own_index: options.number,
        replicas: control.to_vec(),
        timing: Timing::default(),
        seed: milletpath_gateway::control_client::random_id(),
    };
    let replica = |records| Replica::new(config, 0.0, records);
    Ok(DurableReplica::new(stored, RewritePolicy::default(), 0.0, replica))
}

/// Prints the address on standard output for a parent process that waits until this one is ready.
fn announce(number: usize, address: SocketAddr) {
    let _ = writeln!(io::stdout(), "control {number} on udp://{address}");
}

/// Runs a control machine in its own thread until the process receives SIGTERM or SIGINT.
fn run_until_stopped(machine: ControlMachine) -> Result<ExitStatus, ControlError> {
    let stop = Arc::new(AtomicBool::new(false));
    let thread_stop = stop.clone();
    let thread = std::thread::Builder::new().name("control".into());
    let thread = thread.spawn(move || machine.run(&thread_stop)).map_err(ControlError::Spawn)?;
    let waited = async_runtime::block_on(async {
        tokio::select! {
            () = shutdown_requested() => {}
            // Without `stop`, the thread ends only by a panic.
            () = wait_for_exit(&thread) => {}
        }
    });
    stop.store(true, Ordering::Release);
    thread.join().map_err(|_| ControlError::Panicked)?;
    waited?;
    Ok(ExitStatus::Success)
}

/// Waits until a thread has finished.
async fn wait_for_exit(thread: &JoinHandle<()>) {
    while !thread.is_finished() {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
}
