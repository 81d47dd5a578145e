//! A gateway as a process.

use crate::process::Process;
use crate::program::{program_path, scratch_path};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// What the gateway prints in front of its address.
const LISTENING: &str = "listening on http://";

/// What differs from the usual configuration and limits.
pub struct GatewayOptions {
    /// Text at the top of the configuration.
    pub top_level_settings: &'static str,
    /// Text in its section on workers.
    pub workers_settings: &'static str,
    /// Whether the gateway sends load requests.
    pub load_requests: bool,
    /// Whether the gateway sends health checks.
    pub health_checks: bool,
    /// Seconds that a call may take.
    pub deadline: u32,
    /// Descriptors that the system grants.
    pub descriptors: usize,
}

impl Default for GatewayOptions {
    fn default() -> Self {
        Self {
            top_level_settings: "",
            workers_settings: "",
            load_requests: false,
            health_checks: false,
            deadline: 3,
            descriptors: 1024,
        }
    }
}

/// `milletpath serve` in front of one worker; it is killed, and its file removed, when it is dropped.
pub struct Gateway {
    /// Its process.
    pub process: Process,
    /// Where it listens for clients.
    pub address: SocketAddr,
    configuration_file: PathBuf,
}

impl Gateway {
    /// Starts one on a port of its own, with this text at the top of its configuration.
    pub fn start(worker: SocketAddr, top_level_settings: &'static str) -> Self {
        Self::with_options(worker, &GatewayOptions { top_level_settings, ..GatewayOptions::default() })
    }

    /// Starts one on a port of its own.
    pub fn with_options(worker: SocketAddr, options: &GatewayOptions) -> Self {
        Self::with_configuration(&configuration(worker, options), options.descriptors)
    }

    /// Starts one with the text of its configuration, to which the system grants so many descriptors.
    pub fn with_configuration(text: &str, descriptors: usize) -> Self {
        let configuration_file = scratch_path("gateway", ".hcl");
        std::fs::write(&configuration_file, text).expect("a writable file");
        let script = format!("ulimit -n {descriptors}; exec \"$0\" serve --config \"$1\"");
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(script).arg(program_path()).arg(&configuration_file);
        let mut child = shell.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("it starts");
        let mut lines = BufReader::new(child.stdout.take().expect("a piped stream")).lines();
        let process = Process::new(child);
        let address = lines
            .by_ref()
            .map_while(Result::ok)
            .find_map(|line| line.strip_prefix(LISTENING).and_then(|address| address.parse().ok()));
        Self { process, address: address.expect("the gateway listens"), configuration_file }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.configuration_file);
    }
}

fn configuration(worker: SocketAddr, options: &GatewayOptions) -> String {
    let GatewayOptions {
        top_level_settings,
        workers_settings,
        load_requests,
        health_checks,
        deadline,
        descriptors: _,
    } = options;
    format!(
        "seed = 3\nlisten = \"127.0.0.1:0\"\n{top_level_settings}\n\
         profile \"pure\" {{\ndue = 1\ncut_off = {deadline}\neffect = \"pure\"\n}}\n\
         workers {{\norders = {load_requests}\nprobes = {health_checks}\n{workers_settings}\n\
         worker \"w\" {{ address = \"{worker}\" }}\n}}\n"
    )
}
