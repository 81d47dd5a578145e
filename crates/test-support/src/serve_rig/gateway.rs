//! A gateway process.

use crate::process::Process;
use crate::program::{program_path, scratch_path};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// Prefix of the line in which the gateway prints its address.
const LISTENING_PREFIX: &str = "listening on http://";

/// Settings and limits in which a gateway can differ from the default.
pub struct GatewayOptions {
    /// Text at the top level of the configuration.
    pub top_level_settings: &'static str,
    /// Text in the configuration's `workers` block.
    pub workers_settings: &'static str,
    /// Whether the gateway sends load requests.
    pub load_requests: bool,
    /// Whether the gateway sends health checks.
    pub health_checks: bool,
    /// Deadline of a call in seconds.
    pub deadline: u32,
    /// Limit on open file descriptors.
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

/// A `milletpath serve` process in front of one worker. On drop the process is killed and its configuration file
/// removed.
pub struct Gateway {
    /// The process.
    pub process: Process,
    /// Address at which it listens for clients.
    pub address: SocketAddr,
    configuration_file: PathBuf,
}

impl Gateway {
    /// Starts a gateway on a free port, with the given text at the top level of its configuration.
    pub fn start(worker: SocketAddr, top_level_settings: &'static str) -> Self {
        Self::with_options(worker, &GatewayOptions { top_level_settings, ..GatewayOptions::default() })
    }

    /// Starts a gateway on a free port.
    pub fn with_options(worker: SocketAddr, options: &GatewayOptions) -> Self {
        Self::with_configuration(&configuration(worker, options), options.descriptors)
    }

    /// Starts a gateway with the given configuration text and limit on open file descriptors.
    pub fn with_configuration(text: &str, descriptors: usize) -> Self {
        let configuration_file = scratch_path("gateway", ".hcl");
        std::fs::write(&configuration_file, text).expect("the file is writable");
        let script = format!("ulimit -n {descriptors}; exec \"$0\" serve --config \"$1\"");
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(script).arg(program_path()).arg(&configuration_file);
        let mut child =
            shell.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().expect("the gateway starts");
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let process = Process::new(child);
        let address = lines
            .by_ref()
            .map_while(Result::ok)
            .find_map(|line| line.strip_prefix(LISTENING_PREFIX).and_then(|address| address.parse().ok()));
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
