//! An installation: its configuration files, its processes and the commands that change and inspect it.

use super::processes::{FileSizeLimit, ReadyProcess, start};
use super::{KEY, OTHER_KEY};
use crate::process::Process;
use crate::program::{program, scratch_path};
use crate::wait::wait_at_most;
use nix::sys::signal::Signal;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Port of the first installation in this process; each further installation uses the next one.
const FIRST_PORT: usize = 20_000;

/// Number of the control machines' configuration, distinct from those of the gateways.
const CONTROL_NUMBER: usize = 99;

/// Number of the author's configuration, distinct from those of the gateways.
const AUTHOR_NUMBER: usize = 98;

/// Prefix of the line in which a gateway prints its address.
const LISTENING_PREFIX: &str = "listening on http://";

/// Differences of one configuration from the default one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConfigDifference {
    /// Whether the profile "order" is missing.
    pub lacks_profile: bool,
    /// Whether it names a key other than the shared one.
    pub other_key: bool,
}

/// A running gateway.
struct RunningGateway {
    process: Process,
    /// Address at which it listens for clients.
    address: String,
}

/// Control machines, gateways and one worker, whose processes are killed on drop.
pub struct Installation {
    folder: PathBuf,
    port: usize,
    control_machines: Vec<Option<Process>>,
    gateways: Vec<Option<RunningGateway>>,
    _worker: Process,
}

/// Returns the address `127.A.B.n`, where A and B are derived from the id of this test process so that other processes
/// are unlikely to use it.
fn host(n: usize) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{n}", 16 + pid % 200, pid / 200 % 250)
}

/// Returns the address of a control machine.
fn control_address(machine: usize, port: usize) -> String {
    format!("{}:{port}", host(machine + 1))
}

impl Installation {
    /// Writes all configurations and starts only the worker.
    pub fn new(control_machines: usize, gateways: usize) -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let port = FIRST_PORT + COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = scratch_path("installation", "");
        std::fs::create_dir_all(&folder).expect("the folder is writable");
        std::fs::write(folder.join("changes.key"), KEY).expect("the file is writable");
        std::fs::write(folder.join("other.key"), OTHER_KEY).expect("the file is writable");
        let control: Vec<_> = (0..control_machines).map(|n| control_address(n, port)).collect();
        let numbers = (0..gateways).map(|n| (format!("gateway-{n}"), n));
        let others = [("control".to_owned(), CONTROL_NUMBER), ("author".to_owned(), AUTHOR_NUMBER)];
        for (name, number) in numbers.chain(others) {
            let text = configuration(&control, port, number, ConfigDifference::default());
            std::fs::write(folder.join(format!("{name}.hcl")), text).expect("the file is writable");
        }
        let mut command = program();
        command.arg("workers").arg("--config").arg(folder.join("author.hcl"));
        let worker = start(command, &folder.join("worker.log"), "worker w on").process;
        Self {
            folder,
            port,
            control_machines: (0..control_machines).map(|_| None).collect(),
            gateways: (0..gateways).map(|_| None).collect(),
            _worker: worker,
        }
    }

    /// Creates an installation, starts all its processes and waits until the control machines report every gateway as
    /// current.
    pub fn running(control_machines: usize, gateways: usize) -> Self {
        let mut installation = Self::new(control_machines, gateways);
        (0..control_machines).for_each(|n| installation.start_control(n, &["--initialize"]));
        (0..gateways).for_each(|n| installation.start_gateway(n));
        installation.wait_until("all gateways are current", |installation| {
            installation.count_gateways(|gateway| gateway["state"] == "current") == gateways
        });
        installation
    }

    /// Returns the path of a file in the installation's folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Returns the address at which a control machine listens.
    pub fn control_address(&self, machine: usize) -> String {
        control_address(machine, self.port)
    }

    /// Returns the addresses at which the control machines listen.
    pub fn control_addresses(&self) -> Vec<String> {
        (0..self.control_machines.len()).map(|n| self.control_address(n)).collect()
    }

    /// Rewrites the configuration of a gateway.
    pub fn configure_gateway(&self, n: usize, difference: ConfigDifference) {
        let text = configuration(&self.control_addresses(), self.port, n, difference);
        std::fs::write(self.file(&format!("gateway-{n}.hcl")), text).expect("the file is writable");
    }

    /// Rewrites the author's configuration with the given addresses of control machines, and appends `appended_text`.
    pub fn configure_author(&self, difference: ConfigDifference, control: &[String], appended_text: &str) {
        let text = configuration(control, self.port, AUTHOR_NUMBER, difference) + appended_text;
        std::fs::write(self.file("author.hcl"), text).expect("the file is writable");
    }

    /// Starts or restarts a control machine.
    pub fn start_control(&mut self, n: usize, arguments: &[&str]) {
        self.start_control_with(n, self.control_command(n, arguments));
    }

    /// Like [`start_control`](Self::start_control), with a limit on the size of each file that the process writes,
    /// which simulates a full disk.
    pub fn start_limited_control(&mut self, n: usize, limit: FileSizeLimit, arguments: &[&str]) {
        self.start_control_with(n, limit.apply(&self.control_command(n, arguments)));
    }

    fn start_control_with(&mut self, n: usize, command: Command) {
        let log = self.file(&format!("control-{n}.err"));
        self.control_machines[n] = Some(start(command, &log, &format!("control {n} on")).process);
    }

    /// Returns a command that runs `milletpath control`, without starting it.
    pub fn control_command(&self, n: usize, arguments: &[&str]) -> Command {
        let mut command = program();
        command.arg("control").arg("--config").arg(self.file("control.hcl"));
        command.arg("--number").arg(n.to_string()).args(arguments);
        command
    }

    /// Removes the limit on the size of the files that a control machine writes.
    pub fn lift_file_size_limit(&self, n: usize) {
        let pid = self.control(n).id().to_string();
        let status = Command::new("prlimit").args(["--pid", &pid, "--fsize=unlimited:unlimited"]).status();
        assert!(status.expect("prlimit runs").success());
    }

    /// Returns the process of a running control machine.
    pub fn control(&self, n: usize) -> &Process {
        self.control_machines[n].as_ref().expect("the control machine runs")
    }

    /// Whether a control machine was started and has not exited.
    pub fn is_control_running(&mut self, n: usize) -> bool {
        self.control_machines[n].as_mut().is_some_and(|process| process.try_exit_status().is_none())
    }

    /// Kills a running control machine.
    pub fn kill_control(&mut self, n: usize) {
        self.control_machines[n].take().expect("the control machine runs").end(Signal::SIGKILL);
    }

    /// Starts or restarts a gateway.
    pub fn start_gateway(&mut self, n: usize) {
        self.start_gateway_with(n, self.gateway_command(n));
    }

    /// Like [`start_gateway`](Self::start_gateway), with a limit on the size of each file that the process writes.
    pub fn start_limited_gateway(&mut self, n: usize, limit: FileSizeLimit) {
        self.start_gateway_with(n, limit.apply(&self.gateway_command(n)));
    }

    fn gateway_command(&self, n: usize) -> Command {
        let mut command = program();
        command.arg("serve").arg("--config").arg(self.file(&format!("gateway-{n}.hcl")));
        command
    }

    fn start_gateway_with(&mut self, n: usize, command: Command) {
        let log = self.file(&format!("gateway-{n}.err"));
        let ReadyProcess { process, ready_line } = start(command, &log, LISTENING_PREFIX);
        let address = ready_line.trim_start_matches(LISTENING_PREFIX).to_owned();
        self.gateways[n] = Some(RunningGateway { process, address });
    }

    /// Returns the process of a running gateway.
    pub fn gateway(&self, n: usize) -> &Process {
        &self.running_gateway(n).process
    }

    fn running_gateway(&self, n: usize) -> &RunningGateway {
        self.gateways[n].as_ref().expect("the gateway runs")
    }

    /// Sends a signal to a running gateway and waits until it has exited.
    pub fn end_gateway(&mut self, n: usize, signal: Signal) {
        self.gateways[n].take().expect("the gateway runs").process.end(signal);
    }

    /// Counts the lines of a process's log that contain `text`. Processes are named `control-0`, `gateway-0` and so on.
    pub fn count_log_lines(&self, process: &str, text: &str) -> usize {
        let log =
            std::fs::read_to_string(self.file(&format!("{process}.err"))).expect("the log file is readable");
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Returns a command that runs `milletpath change`, without starting it. `text` is the content of its input file;
    /// if it is empty, the command gets no file.
    pub fn change_command(&self, text: &str, arguments: &[&str]) -> Command {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("change-{}.hcl", COUNT.fetch_add(1, Ordering::Relaxed));
        let mut command = program();
        command.arg("change").arg("--config").arg(self.file("author.hcl")).args(arguments);
        if !text.is_empty() {
            std::fs::write(self.file(&name), text).expect("the file is writable");
            command.arg(self.file(&name));
        }
        command
    }

    /// Runs `milletpath change`.
    pub fn change(&self, text: &str, arguments: &[&str]) -> Output {
        self.change_command(text, arguments).output().expect("the program runs")
    }

    /// Makes a change by `milletpath change`, asserts that all reachable gateways applied it, and returns its number.
    pub fn apply_change(&self, text: &str, arguments: &[&str]) -> u64 {
        let output = self.change(text, arguments);
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{output:?}");
        let number = printed.lines().find_map(|line| line.split(": number ").nth(1)?.parse().ok());
        number.unwrap_or_else(|| panic!("{printed}"))
    }

    /// Runs `milletpath changes` with the given configuration file.
    pub fn changes(&self, configuration: &str, arguments: &[&str]) -> Output {
        let mut command = program();
        command.arg("changes").arg("--config").arg(self.file(configuration)).args(arguments);
        command.output().expect("the program runs")
    }

    fn changes_json(&self, configuration: &str, arguments: &[&str]) -> Value {
        serde_json::from_slice(&self.changes(configuration, arguments).stdout).unwrap_or_default()
    }

    /// Returns the status that the control machines report through `milletpath changes`; null if none answers.
    pub fn status(&self) -> Value {
        self.changes_json("author.hcl", &["--json"])
    }

    /// Returns the status that a control machine reports of itself.
    pub fn control_status(&self, machine: usize) -> Value {
        self.status()["control"][machine]["view"].clone()
    }

    /// Returns the status that a gateway reports of itself.
    pub fn gateway_status(&self, gateway: usize) -> Value {
        self.changes_json(&format!("gateway-{gateway}.hcl"), &["--json", "--here"])
    }

    /// Counts the gateways whose status, as reported by the control machines, matches.
    pub fn count_gateways(&self, matches: impl Fn(&Value) -> bool) -> usize {
        self.status()["gateways"]
            .as_array()
            .map_or(0, |all| all.iter().filter(|gateway| matches(gateway)).count())
    }

    /// Returns the index of the control machine that is the leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let status = self.status();
        status["control"].as_array()?.iter().position(|machine| machine["view"]["leads"] == true)
    }

    /// Calls the function "packs" at a gateway with the given profile and returns the status of the response.
    pub fn call(&self, gateway: usize, profile: &str) -> u16 {
        let mut stream =
            TcpStream::connect(&self.running_gateway(gateway).address).expect("the gateway listens");
        let head = "POST /v1/functions/packs/activations HTTP/1.1\r\nhost: g\r\nconnection: close\r\n";
        write!(stream, "{head}milletpath-profile: {profile}\r\ncontent-length: 2\r\n\r\nhi")
            .expect("the gateway reads the request");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("the gateway responds");
        let status = response.split(' ').nth(1).and_then(|status| status.parse().ok());
        status.unwrap_or_else(|| panic!("{response}"))
    }

    /// Calls the function "packs" at a gateway with the profiles "order" and "check" and returns both statuses.
    pub fn call_as_order_and_check(&self, gateway: usize) -> (u16, u16) {
        (self.call(gateway, "order"), self.call(gateway, "check"))
    }

    /// Waits until the condition holds. After a minute it panics and prints the status.
    pub fn wait_until(&self, condition: &str, holds: impl Fn(&Self) -> bool) {
        const TIMEOUT: Duration = Duration::from_secs(60);
        const POLL_INTERVAL: Duration = Duration::from_millis(50);
        if wait_at_most(TIMEOUT, POLL_INTERVAL, || holds(self).then_some(())).is_none() {
            panic!("timed out after {TIMEOUT:?} waiting until {condition}; status: {:#}", self.status());
        }
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        self.gateways.clear();
        self.control_machines.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the text of the configuration numbered `n`.
fn configuration(control: &[String], port: usize, n: usize, difference: ConfigDifference) -> String {
    let (worker, own) = (host(90), host(100 + n));
    let control: Vec<_> = control.iter().map(|address| format!("\"{address}\"")).collect();
    let key = if difference.other_key { "other.key" } else { "changes.key" };
    let order = "profile \"order\" {\n  due = 5\n  cut_off = 10\n  effect = \"pure\"\n}";
    let order = if difference.lacks_profile { "" } else { order };
    format!(
        r#"
listen = "127.0.0.1:0"
cores  = 1
profile "check" {{
  due     = 5
  cut_off = 10
  effect  = "pure"
}}
{order}
function "packs" {{
  profile = "check"
}}
workers {{
  worker "w" {{ address = "{worker}:{port}" }}
}}
changes {{
  control = [{}]
  key     = "{key}"
  listen  = "{own}:{port}"
  state   = "gateway-{n}.state"
  name    = "gateway-{n}"
}}
"#,
        control.join(", ")
    )
}
