//! A router process.

use super::configuration::RouterConfiguration;
use crate::process::Process;
use crate::program::{program, program_path, scratch_path};
use crate::wait::becomes_true;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Maximum number of lines that are kept of a router's log.
const MAX_LOG_LINES: usize = 10_000;

/// A `milletpath platform` process. On drop the process is killed and its configuration file removed.
pub struct Router {
    /// The process.
    pub process: Process,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Path of its configuration file.
    pub configuration_file: PathBuf,
    log_lines: Arc<Mutex<Vec<String>>>,
}

impl Router {
    /// Starts a router with the default configuration for these workers.
    pub fn start(workers: &[SocketAddr], discovery: SocketAddr, max_sockets: usize) -> Self {
        Self::with_configuration(&RouterConfiguration::new(workers, discovery, max_sockets))
    }

    /// Starts a router with the given configuration.
    pub fn with_configuration(configuration: &RouterConfiguration) -> Self {
        let file = write_configuration(configuration);
        let mut command = program();
        command.arg("platform");
        Self::run(&mut command, file)
    }

    /// Starts a router with an operating-system limit on open file descriptors that is lower than its configuration
    /// assumes.
    pub fn with_descriptor_limit(descriptors: usize, configuration: &RouterConfiguration) -> Self {
        let file = write_configuration(configuration);
        let mut shell = Command::new("sh");
        let script = format!("ulimit -n {descriptors}; exec \"$0\" platform");
        shell.arg("-c").arg(script).arg(program_path());
        Self::run(&mut shell, file)
    }

    fn run(command: &mut Command, configuration_file: PathBuf) -> Self {
        command.env("LB_CONFIG", &configuration_file).env_remove("LB_LISTEN").stderr(Stdio::piped());
        let mut child = command.spawn().expect("the router starts");
        let mut log = BufReader::new(child.stderr.take().expect("stderr is piped"));
        let process = Process::new(child);
        let address = read_address(&mut log);
        let log_lines = Arc::<Mutex<Vec<String>>>::default();
        let shared_lines = log_lines.clone();
        // Read the log until it ends, even when no more lines are kept: a full pipe would block the router.
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let mut kept_lines = shared_lines.lock().expect("no test thread panicked");
                if kept_lines.len() < MAX_LOG_LINES {
                    kept_lines.push(line);
                }
            }
        });
        Self { process, address, configuration_file, log_lines }
    }

    /// Returns the log lines that contain `text`. Lines logged before the router began to listen are not included.
    pub fn log_lines_containing(&self, text: &str) -> Vec<String> {
        let lines = self.log_lines.lock().expect("no test thread panicked");
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Returns the log since the router began to listen, for the message of a failed assertion.
    pub fn log(&self) -> String {
        self.log_lines_containing("").join("\n")
    }

    /// Waits until discovery has confirmed the router's endpoint list. From then on the first frame that a worker
    /// receives belongs to a call.
    pub fn wait_for_current_list(&self) {
        let is_current = || !self.log_lines_containing("the endpoint list is current").is_empty();
        assert!(becomes_true(is_current), "discovery did not confirm the endpoint list");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.configuration_file);
    }
}

fn write_configuration(configuration: &RouterConfiguration) -> PathBuf {
    let path = scratch_path("router", ".json");
    std::fs::write(&path, configuration.text()).expect("the file is writable");
    path
}

/// Reads the log up to the first line that contains an address, and returns the address.
fn read_address(log: &mut impl BufRead) -> SocketAddr {
    loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).expect("the log is readable") > 0, "the router exited");
        let address = line.split("address=").nth(1).and_then(|rest| rest.split_whitespace().next());
        if let Some(address) = address.and_then(|address| address.parse().ok()) {
            return address;
        }
    }
}

/// The shortest time after SIGTERM at which the platform may send SIGKILL, where the longest deadline of a call is this
/// many milliseconds.
pub fn earliest_sigkill(deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.min(3000) + 700)
}
