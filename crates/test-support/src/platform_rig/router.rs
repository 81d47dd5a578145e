//! A router as a process.

use super::configuration::RouterConfiguration;
use crate::process::Process;
use crate::program::{program, program_path, scratch_path};
use crate::wait::becomes_true;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};

/// Lines of a router's log that are kept.
const MAX_LOG_LINES: usize = 10_000;

/// `milletpath platform`; it is killed, and its file removed, when it is dropped.
pub struct Router {
    /// Its process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its configuration file.
    pub configuration_file: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
}

impl Router {
    /// Starts one with the usual configuration.
    pub fn start(workers: &[SocketAddr], discovery: SocketAddr, max_sockets: usize) -> Self {
        Self::with_configuration(&RouterConfiguration::new(workers, discovery, max_sockets))
    }

    /// Starts one with this configuration.
    pub fn with_configuration(configuration: &RouterConfiguration) -> Self {
        let file = write_configuration(configuration);
        let mut command = program();
        command.arg("platform");
        Self::run(&mut command, file)
    }

    /// Starts one to which the system grants fewer descriptors than its configuration states.
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
        let mut log = BufReader::new(child.stderr.take().expect("a piped stream"));
        let process = Process::new(child);
        let address = read_address(&mut log);
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let kept = lines.clone();
        // Read to its end, so that the router never waits for room in the pipe.
        std::thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let mut kept = kept.lock().expect("no test thread panicked");
                if kept.len() < MAX_LOG_LINES {
                    kept.push(line);
                }
            }
        });
        Self { process, address, configuration_file, log: lines }
    }

    /// The lines with this text that it has logged since it listens.
    pub fn log_lines_containing(&self, text: &str) -> Vec<String> {
        let lines = self.log.lock().expect("no test thread panicked");
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Waits until discovery has vouched for its list: from then on a worker's first frame is a call's.
    pub fn wait_for_current_list(&self) {
        let is_current = || !self.log_lines_containing("the endpoint list is current").is_empty();
        assert!(becomes_true(is_current), "discovery does not vouch for the list");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.configuration_file);
    }
}

fn write_configuration(configuration: &RouterConfiguration) -> PathBuf {
    let path = scratch_path("router", ".json");
    std::fs::write(&path, configuration.text()).expect("a writable file");
    path
}

/// The address in the first line of the log that names one.
fn read_address(log: &mut impl BufRead) -> SocketAddr {
    loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).expect("a readable log") > 0, "the router exited");
        let address = line.split("address=").nth(1).and_then(|rest| rest.split_whitespace().next());
        if let Some(address) = address.and_then(|address| address.parse().ok()) {
            return address;
        }
    }
}
