//! `milletpath control`: a control machine. One thread runs a replica of `milletpath-config-log` with a UDP socket and a log
//! file: records are on the disk before any message goes out that depends on them. While the disk fails, the machine relays
//! and does not vote. A change that its configuration cannot hold is denied here, before it is proposed.

mod machine;
mod receiver;

use machine::ControlMachine;
use milletpath_config::{ConfigLogConfig, GatewayConfig};
use milletpath_config_log::{
    DurableReplica, LoadError, Replica, ReplicaConfig, ReplicaView, RewritePolicy, StoredLog, Timing,
};
use milletpath_storage::{Backoff, DiskFolder, Folder, OpenError, is_transient, survive_file_size_limit};
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::net::UdpSocket;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time between two checks whether the process is to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs `milletpath control`; `initialize` starts a new log.
pub fn control(config_file: &Path, number: usize, initialize: bool) -> ExitCode {
    let (config, config_log) = match read_config_log(config_file) {
        Ok(config) => config,
        Err(code) => return code,
    };
    let Some(at) = config_log.control.get(number).copied() else {
        let (name, last) = (config_file.display(), config_log.control.len() - 1);
        eprintln!("{name}: has no control machine {number}; write --number 0 to {last}");
        return ExitCode::from(2);
    };
    let file = config_file.with_file_name(format!("control-{number}.log"));
    let key = match milletpath_gateway::read_control_key(&config_log.key_file) {
        Ok(key) => key,
        Err(e) => return print_failure(&format!("key of changes: {e}")),
    };
    // Before the file is touched, so that a second process with the same number ends here.
    let socket = match UdpSocket::bind(at) {
        Ok(socket) => socket,
        Err(e) => {
            return print_failure(&format!("{at} can't be listened on: {e}; is this machine {number} here?"));
        }
    };
    if let Err(e) = survive_file_size_limit() {
        tracing::warn!("a limit on the size of files will end this process: {e}");
    }
    let stored = match open_log(&file, initialize) {
        Ok(stored) => stored,
        Err(code) => return code,
    };
    let (started_at, seed) = (Instant::now(), milletpath_gateway::control_client::random_id());
    let control = config_log.control.clone();
    let replica = DurableReplica::new(stored, RewritePolicy::default(), 0.0, |records| {
        let config = ReplicaConfig { own_index: number, replicas: control, timing: Timing::default(), seed };
        Replica::new(config, 0.0, records)
    });
    let head = replica.replica().state().head();
    tracing::info!(number, %at, head, "a control machine");
    // For the program that started this one.
    let _ = writeln!(io::stdout(), "control {number} on udp://{at}");
    run_until_stopped(ControlMachine::new(
        replica,
        config,
        config_log.control,
        socket.into(),
        key,
        started_at,
    ))
}

/// Runs a control machine in a thread of its own until the process is asked to stop.
fn run_until_stopped(machine: ControlMachine) -> ExitCode {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let thread = std::thread::Builder::new().name("control".into()).spawn(move || machine.run(&stopped));
    let Ok(thread) = thread else { return print_failure("its thread can't start") };
    let ended = crate::local(async {
        tokio::select! {
            () = crate::serve::stop() => {}
            // The thread ends by itself only if it panics.
            () = async { while !thread.is_finished() { tokio::time::sleep(STOP_CHECK_INTERVAL).await } } => {}
        }
        ExitCode::SUCCESS
    });
    stop.store(true, Ordering::Release);
    match thread.join() {
        Ok(()) => ended,
        Err(_) => print_failure("the control machine broke"),
    }
}

/// Reads the log file, and writes its records into a new one. While the disk fails, reading is tried again; writing the new
/// file is left to the running machine.
fn open_log(file: &Path, initialize: bool) -> Result<StoredLog<DiskFolder>, ExitCode> {
    let shown = file.display();
    let Some((folder, name)) = DiskFolder::of_file(file) else {
        return Err(print_failure(&format!("{shown}: is no file name")));
    };
    let mut stored = load(&folder, &name, std::thread::sleep)
        .map_err(|error| print_failure(&format!("{shown}: {error}")))?;
    if stored.torn_bytes > 0 {
        let bytes = stored.torn_bytes;
        tracing::warn!(file = %shown, bytes, "a record that a crash cut short is taken off the log");
    }
    if initialize && !stored.is_empty() {
        eprintln!("{shown}: holds a log already; begin without --found");
        return Err(ExitCode::from(2));
    }
    if !initialize && stored.is_empty() {
        tracing::warn!("begins without a log: learns from the others, and votes once all of them answered");
    }
    match stored.renew(initialize) {
        Ok(()) => Ok(stored),
        Err(e) if !initialize && is_transient(e.io()) => {
            tracing::error!(file = %shown, "{e}; it does not vote until its log is written");
            Ok(stored)
        }
        Err(e) => Err(print_failure(&format!("{shown}: {e}; mend the disk or its permissions"))),
    }
}

/// Reads the log file, again while the disk fails; `sleep` waits between two attempts.
fn load<F: Folder + Clone>(
    folder: &F,
    name: &str,
    mut sleep: impl FnMut(Duration),
) -> Result<StoredLog<F>, LoadError> {
    let mut backoff = Backoff::default();
    loop {
        match StoredLog::load(folder.clone(), name) {
            Err(LoadError::Open(OpenError::Io(e))) if is_transient(&e) => {
                let wait = backoff.failed();
                if backoff.failures() == 1 {
                    tracing::error!(file = name, "the log can't be read: {e}; it is tried again");
                }
                sleep(Duration::from_secs_f64(wait));
            }
            loaded => return loaded,
        }
    }
}

/// The status report of a control machine for operators, in JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlStatus {
    #[serde(flatten)]
    /// What its replica knows.
    pub view: ReplicaView,
    /// Seconds since its process started.
    pub up: f64,
    /// CPU seconds of its thread.
    pub cpu: f64,
    /// Size of its log file, in bytes.
    pub log: u64,
    /// Why the log file cannot be written at present.
    #[serde(default)]
    pub log_error: Option<String>,
}

/// Reads a configuration file that has a section on the configuration log, and prints what is wrong with it otherwise.
pub fn read_config_log(config_file: &Path) -> Result<(GatewayConfig, ConfigLogConfig), ExitCode> {
    let config = crate::read(config_file)?;
    match config.config_log.clone() {
        Some(changes) => Ok((config, changes)),
        None => {
            eprintln!("{}: has no changes; add changes {{ ... }} to the charter", config_file.display());
            Err(ExitCode::from(2))
        }
    }
}

fn print_failure(why: &str) -> ExitCode {
    eprintln!("{why}");
    ExitCode::FAILURE
}

#[cfg(test)]
mod tests;
