//! Gateways as processes that know each other over links which a test can break. No calls: what they know is asked for
//! as an operator would.

use milletpath_emulator::relay::Relay;
use milletpath_membership::MembershipView;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// What a charter says of one gateway.
#[derive(Clone)]
pub struct Stated {
    pub name: String,
    pub gateways: usize,
    pub key: String,
    /// Gateways that are named as seeds.
    pub seeds: Vec<usize>,
}

pub struct Fleet {
    pub relay: Relay,
    folder: PathBuf,
    pub stated: Vec<Stated>,
    children: Vec<Option<Child>>,
    /// Where each hears letters itself, behind its link.
    pub links: Vec<Option<SocketAddr>>,
}

pub const KEY: &str = "a secret of more than thirty-two bytes, for tests alone";

impl Fleet {
    /// A fleet of which no process runs yet; the first is the seed.
    pub fn new(size: usize) -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let folder = folder.join(format!("fleet-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let stated =
            |n| Stated { name: format!("gateway-{n}"), gateways: size, key: KEY.into(), seeds: vec![0] };
        Self {
            relay: Relay::start(size, Instant::now(), 1).expect("links"),
            folder,
            stated: (0..size).map(stated).collect(),
            children: (0..size).map(|_| None).collect(),
            links: vec![None; size],
        }
    }

    /// A fleet in which all run and know each other.
    pub fn together(size: usize) -> Self {
        let mut fleet = Self::new(size);
        (0..size).for_each(|n| fleet.begin(n));
        let all: Vec<_> = (0..size).collect();
        fleet.wait("all know each other and have standing", |f| {
            all.iter().all(|n| f.knows(*n, &all) && f.view(*n).is_some_and(|v| v.quorum_seconds > 0.0))
        });
        fleet
    }

    fn charter(&self, n: usize) -> PathBuf {
        self.folder.join(format!("gateway-{n}.hcl"))
    }

    fn write(&self, n: usize, listen: SocketAddr) {
        let Stated { name, gateways, key, seeds } = &self.stated[n];
        std::fs::write(self.folder.join(format!("{n}.key")), key).expect("a file");
        let seeds: Vec<_> = seeds.iter().map(|s| format!("\"{}\"", self.relay.address(*s))).collect();
        let text = format!(
            r#"
listen   = "127.0.0.1:0"
gateways = {gateways}
cores    = 1
profile "check" {{
  due    = 1
  effect = "pure"
}}
workers {{
  worker "w" {{ address = "127.0.0.1:9" }}
}}
peers {{
  listen    = "{listen}"
  advertise = "{}"
  name      = "{name}"
  seeds     = [{}]
  key       = "{n}.key"
  period    = 0.2
  lease     = 1.2
  floor     = 0.5
}}
"#,
            self.relay.address(n),
            seeds.join(", "),
        );
        std::fs::write(self.charter(n), text).expect("a file");
    }

    pub fn begin(&mut self, n: usize) {
        self.write(n, "127.0.0.1:0".parse().expect("an address"));
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.log_file(n)).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_milletpath"));
        command.arg("serve").arg("--charter").arg(self.charter(n)).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn().expect("it starts");
        let lines = BufReader::new(child.stdout.take().expect("piped")).lines().map_while(Result::ok);
        let link = lines
            .take_while(|l| !l.starts_with("listening"))
            .find_map(|l| l.strip_prefix("peers on udp://")?.parse::<SocketAddr>().ok())
            .expect("it tells where it hears others");
        // From here on operators find it by its charter.
        self.write(n, link);
        self.relay.set_address(n, link);
        self.links[n] = Some(link);
        self.children[n] = Some(child);
    }

    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            child.kill().expect("it runs");
            child.wait().expect("it ends");
        }
    }

    pub fn signal(&self, n: usize, signal: Signal) {
        let child = self.children[n].as_ref().expect("it runs");
        kill(Pid::from_raw(child.id() as i32), signal).expect("it runs");
    }

    fn log_file(&self, n: usize) -> PathBuf {
        self.folder.join(format!("gateway-{n}.log"))
    }

    /// Lines of a gateway's log that say such a thing.
    pub fn said(&self, n: usize, what: &str) -> usize {
        let log = std::fs::read_to_string(self.log_file(n)).expect("a log");
        log.lines().filter(|line| line.contains(what)).count()
    }

    /// What a gateway knows, as `milletpath peers` tells it.
    pub fn view(&self, n: usize) -> Option<MembershipView> {
        serde_json::from_slice(&self.peers_output(n)?).ok()
    }

    /// The same as it is printed.
    pub fn peers_json(&self, n: usize) -> Option<serde_json::Value> {
        serde_json::from_slice(&self.peers_output(n)?).ok()
    }

    fn peers_output(&self, n: usize) -> Option<Vec<u8>> {
        let mut command = Command::new(env!("CARGO_BIN_EXE_milletpath"));
        let output =
            command.arg("peers").arg("--charter").arg(self.charter(n)).arg("--json").output().ok()?;
        Some(output.stdout)
    }

    /// Whether one takes just these, beside itself, for there.
    pub fn knows(&self, n: usize, all: &[usize]) -> bool {
        let Some(view) = self.view(n) else { return false };
        let mut there: Vec<_> =
            view.members.iter().filter(|m| m.state == "alive").map(|m| m.name.clone()).collect();
        let mut wanted: Vec<_> =
            all.iter().filter(|o| **o != n).map(|o| self.stated[*o].name.clone()).collect();
        there.sort();
        wanted.sort();
        there == wanted
    }

    /// Waits until it is so; fails when it is not for a long time.
    pub fn wait(&self, what: &str, such: impl Fn(&Self) -> bool) {
        const LONG: Duration = Duration::from_secs(60);
        let began = Instant::now();
        while !such(self) {
            let views: Vec<_> = if began.elapsed() > LONG {
                (0..self.children.len()).map(|n| self.view(n)).collect()
            } else {
                Vec::new()
            };
            assert!(began.elapsed() < LONG, "{what}: not so after a minute; {views:#?}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|n| self.kill(n));
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
