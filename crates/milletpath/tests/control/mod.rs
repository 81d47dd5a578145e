//! A small installation as processes: control machines, gateways, one worker. Where each listens is fixed, as
//! charters name it, and its own to this test process: a loopback address drawn from the process's number, a
//! port for each site.

pub mod authors;

use milletpath_config_log::message::Key;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

pub const KEY: &str = "a secret of more than thirty-two bytes, for tests alone";
const OTHER_KEY: &str = "another secret of more than thirty-two bytes, for tests";

/// What differs in one gateway's charter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Differs {
    /// It has no profile "order".
    pub poorer: bool,
    pub other_key: bool,
}

pub struct Site {
    pub folder: PathBuf,
    port: usize,
    control: usize,
    machines: Vec<Option<Child>>,
    gateways: Vec<Option<(Child, String)>>,
    worker: Option<Child>,
}

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_milletpath"))
}

/// An address of the loopback net that no other test process is likely to use.
fn host(n: usize) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{n}", 16 + pid % 200, pid / 200 % 250)
}

impl Site {
    /// Charters are written, and nothing runs but the worker.
    pub fn new(control: usize, gateways: usize) -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let folder = folder.join(format!("changes-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("changes.key"), KEY).expect("a file");
        std::fs::write(folder.join("other.key"), OTHER_KEY).expect("a file");
        let mut site = Self {
            folder,
            port: 20_000 + count,
            control,
            machines: (0..control).map(|_| None).collect(),
            gateways: (0..gateways).map(|_| None).collect(),
            worker: None,
        };
        site.write("control", 99, Differs::default());
        site.write("author", 98, Differs::default());
        (0..gateways).for_each(|n| site.differ(n, Differs::default()));
        let mut command = program();
        command.arg("workers").arg("--charter").arg(site.file("author.hcl"));
        site.worker = Some(begun(command, "worker.log", &site.folder, "worker w on").0);
        site
    }

    /// All run, and the gateways are heard.
    pub fn running(control: usize, gateways: usize) -> Self {
        let mut site = Self::new(control, gateways);
        (0..control).for_each(|n| site.begin_control(n, &["--found"]));
        (0..gateways).for_each(|n| site.begin_gateway(n));
        site.wait("all gateways are heard", |s| s.gateways_that(|g| g["state"] == "current") == gateways);
        site
    }

    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Where a control machine listens.
    pub fn at(&self, machine: usize) -> String {
        format!("{}:{}", host(machine + 1), self.port)
    }

    fn charter(&self, control: &[String], n: usize, differs: Differs) -> String {
        let (worker, own, port) = (host(90), host(100 + n), self.port);
        let control: Vec<_> = control.iter().map(|at| format!("\"{at}\"")).collect();
        let key = if differs.other_key { "other.key" } else { "changes.key" };
        let order = "profile \"order\" {\n  due = 5\n  cut_off = 10\n  effect = \"pure\"\n}";
        let order = if differs.poorer { "" } else { order };
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

    fn write(&self, name: &str, n: usize, differs: Differs) {
        let control: Vec<_> = (0..self.control).map(|n| self.at(n)).collect();
        let text = self.charter(&control, n, differs);
        std::fs::write(self.file(&format!("{name}.hcl")), text).expect("a file");
    }

    /// Writes the charter of a gateway anew.
    pub fn differ(&self, n: usize, differs: Differs) {
        self.write(&format!("gateway-{n}"), n, differs);
    }

    /// Writes the author's charter anew: so it differs, and so it knows the control machines.
    pub fn author(&self, differs: Differs, control: &[String], more: &str) {
        let text = self.charter(control, 98, differs) + more;
        std::fs::write(self.file("author.hcl"), text).expect("a file");
    }

    pub fn begin_control(&mut self, n: usize, how: &[&str]) {
        let command = self.control_command(n, how);
        self.machines[n] =
            Some(begun(command, &format!("control-{n}.err"), &self.folder, &format!("control {n} on")).0);
    }

    pub fn control_command(&self, n: usize, how: &[&str]) -> Command {
        let mut command = program();
        command.arg("control").arg("--charter").arg(self.file("control.hcl"));
        command.arg("--number").arg(n.to_string()).args(how);
        command
    }

    pub fn begin_gateway(&mut self, n: usize) {
        let mut command = program();
        command.arg("serve").arg("--charter").arg(self.file(&format!("gateway-{n}.hcl")));
        let (child, line) = begun(command, &format!("gateway-{n}.err"), &self.folder, "listening on http://");
        self.gateways[n] = Some((child, line.trim_start_matches("listening on http://").to_owned()));
    }

    pub fn kill_control(&mut self, n: usize) {
        end(self.machines[n].take(), Signal::SIGKILL);
    }

    /// Ends a gateway by that signal, and waits until it is gone.
    pub fn end_gateway(&mut self, n: usize, by: Signal) {
        end(self.gateways[n].take().map(|(child, _)| child), by);
    }

    pub fn signal_control(&self, n: usize, signal: Signal) {
        send(self.machines[n].as_ref().expect("it runs"), signal);
    }

    pub fn signal_gateway(&self, n: usize, signal: Signal) {
        send(&self.gateways[n].as_ref().expect("it runs").0, signal);
    }

    /// Lines of a process's log that say such a thing.
    pub fn said(&self, who: &str, what: &str) -> usize {
        let log = std::fs::read_to_string(self.file(&format!("{who}.err"))).expect("a log");
        log.lines().filter(|line| line.contains(what)).count()
    }

    /// `milletpath change`, not yet begun, with this text as its file.
    pub fn change_command(&self, text: &str, how: &[&str]) -> Command {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("change-{}.hcl", COUNT.fetch_add(1, Ordering::Relaxed));
        let mut command = program();
        command.arg("change").arg("--charter").arg(self.file("author.hcl")).args(how);
        if !text.is_empty() {
            std::fs::write(self.file(&name), text).expect("a file");
            command.arg(self.file(&name));
        }
        command
    }

    pub fn change(&self, text: &str, how: &[&str]) -> Output {
        self.change_command(text, how).output().expect("it runs")
    }

    /// A change that must be in force at all gateways; gives its number.
    pub fn changed(&self, text: &str, how: &[&str]) -> u64 {
        let output = self.change(text, how);
        let told = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{output:?}");
        let number = told.lines().find_map(|l| l.split(": number ").nth(1)?.parse().ok());
        number.unwrap_or_else(|| panic!("{told}"))
    }

    /// `milletpath changes`, by that charter.
    pub fn changes(&self, charter: &str, how: &[&str]) -> Output {
        let mut command = program();
        command.arg("changes").arg("--charter").arg(self.file(charter)).args(how);
        command.output().expect("it runs")
    }

    fn told(&self, charter: &str, how: &[&str]) -> Value {
        serde_json::from_slice(&self.changes(charter, how).stdout).unwrap_or_default()
    }

    /// What the control machines know, as `milletpath changes` tells it.
    pub fn known(&self) -> Value {
        self.told("author.hcl", &["--json"])
    }

    /// What a control machine knows.
    pub fn view(&self, machine: usize) -> Value {
        self.known()["control"][machine]["view"].clone()
    }

    /// What a gateway knows itself.
    pub fn here(&self, gateway: usize) -> Value {
        self.told(&format!("gateway-{gateway}.hcl"), &["--json", "--here"])
    }

    pub fn gateways_that(&self, such: impl Fn(&Value) -> bool) -> usize {
        self.known()["gateways"].as_array().map_or(0, |all| all.iter().filter(|g| such(g)).count())
    }

    /// The one among the control machines that proposes.
    pub fn leader(&self) -> Option<usize> {
        let known = self.known();
        known["control"].as_array()?.iter().position(|m| m["view"]["leads"] == true)
    }

    /// The status of a call of "packs" at a gateway, under that profile.
    pub fn call(&self, gateway: usize, profile: &str) -> u16 {
        let (_, at) = self.gateways[gateway].as_ref().expect("it runs");
        let mut stream = TcpStream::connect(at).expect("it listens");
        let head = "POST /v1/functions/packs/activations HTTP/1.1\r\nhost: g\r\nconnection: close\r\n";
        write!(stream, "{head}milletpath-profile: {profile}\r\ncontent-length: 2\r\n\r\nhi")
            .expect("it reads");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("it answers");
        answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_else(|| panic!("{answer}"))
    }

    /// Waits until it is so; fails when it is not for a long time.
    pub fn wait(&self, what: &str, such: impl Fn(&Self) -> bool) {
        const LONG: Duration = Duration::from_secs(60);
        let began = Instant::now();
        while !such(self) {
            assert!(began.elapsed() < LONG, "{what}: not so after a minute; {:#}", self.known());
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let gateways = self.gateways.iter_mut().filter_map(Option::take).map(|(child, _)| child);
        let machines = self.machines.iter_mut().filter_map(Option::take);
        for mut child in gateways.chain(machines).chain(self.worker.take()) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn send(child: &Child, signal: Signal) {
    kill(Pid::from_raw(child.id() as i32), signal).expect("it runs");
}

fn end(child: Option<Child>, by: Signal) {
    let mut child = child.expect("it runs");
    send(&child, by);
    child.wait().expect("it ends");
}

/// Starts a process, and waits for the line with which it says that it is there.
fn begun(mut command: Command, log: &str, folder: &std::path::Path, says: &str) -> (Child, String) {
    let path = folder.join(log);
    let log = std::fs::OpenOptions::new().create(true).append(true).open(&path).expect("a log");
    let mut child = command.stdout(Stdio::piped()).stderr(log).spawn().expect("it starts");
    let lines = BufReader::new(child.stdout.take().expect("piped")).lines().map_while(Result::ok);
    let line = { lines }.find(|line| line.starts_with(says));
    let told = || std::fs::read_to_string(&path).unwrap_or_default();
    let line = line.unwrap_or_else(|| panic!("it ended without \"{says}\": {}", told()));
    (child, line)
}

/// The key of the site, for a test that speaks itself.
pub fn key() -> Key {
    Key::new(KEY.as_bytes())
}
