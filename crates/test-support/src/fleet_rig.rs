//! Gateways with membership as processes, connected through a relay on which a test injects link faults. The rig makes
//! no calls. It reads what a gateway knows with `milletpath members`, as an operator does.

use crate::process::Process;
use crate::program::{program, scratch_path};
use crate::wait::wait_at_most;
use milletpath_emulator::relay::Relay;
use milletpath_membership::MembershipView;
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};

/// Shared key of the gateways in a fleet.
pub const KEY: &str = "a secret of more than thirty-two bytes, for tests alone";

/// Prefix of the line in which a gateway prints the address at which it receives datagrams.
const MEMBERSHIP_ADDRESS_PREFIX: &str = "peers on udp://";

/// The configuration of one gateway.
#[derive(Clone)]
pub struct GatewaySpec {
    /// Name of the gateway.
    pub name: String,
    /// Number of gateways in the fleet.
    pub gateways: usize,
    /// Shared key.
    pub key: String,
    /// Indices of the gateways that it uses as seeds.
    pub seeds: Vec<usize>,
}

/// A fleet of gateway processes, which are killed on drop.
pub struct Fleet {
    /// Relay that carries the datagrams between the gateways, on which a test injects faults.
    pub relay: Relay,
    /// The configuration of each gateway, applied when the gateway is started.
    pub specs: Vec<GatewaySpec>,
    folder: PathBuf,
    processes: Vec<Option<Process>>,
    datagram_addresses: Vec<Option<SocketAddr>>,
}

impl Fleet {
    /// Creates a fleet without starting a process. The first gateway is the seed of all.
    pub fn new(size: usize) -> Self {
        let folder = scratch_path("fleet", "");
        std::fs::create_dir_all(&folder).expect("the folder is writable");
        let spec =
            |n| GatewaySpec { name: format!("gateway-{n}"), gateways: size, key: KEY.into(), seeds: vec![0] };
        Self {
            relay: Relay::start(size, Instant::now(), 1).expect("the relay starts"),
            specs: (0..size).map(spec).collect(),
            folder,
            processes: (0..size).map(|_| None).collect(),
            datagram_addresses: vec![None; size],
        }
    }

    /// Creates a fleet in which all gateways run, see each other as alive and have a quorum.
    pub fn converged(size: usize) -> Self {
        let mut fleet = Self::new(size);
        (0..size).for_each(|n| fleet.start(n));
        let all: Vec<_> = (0..size).collect();
        fleet.wait_until("all gateways see each other as alive and have a quorum", |fleet| {
            all.iter().all(|n| {
                fleet.sees_alive(*n, &all) && fleet.view(*n).is_some_and(|view| view.quorum_seconds > 0.0)
            })
        });
        fleet
    }

    /// Number of gateways in the fleet, running or not.
    pub fn size(&self) -> usize {
        self.specs.len()
    }

    /// Starts or restarts a gateway.
    pub fn start(&mut self, n: usize) {
        self.write_configuration(n, (Ipv4Addr::LOCALHOST, 0).into());
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_file(n))
            .expect("the log file is writable");
        let mut command = program();
        command.arg("serve").arg("--config").arg(self.configuration_file(n));
        let mut child = command.stdout(Stdio::piped()).stderr(log).spawn().expect("the gateway starts");
        let lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let process = Process::new(child);
        let address = lines
            .map_while(Result::ok)
            .take_while(|line| !line.starts_with("listening"))
            .find_map(|line| line.strip_prefix(MEMBERSHIP_ADDRESS_PREFIX)?.parse::<SocketAddr>().ok())
            .expect("the gateway prints the address at which it receives datagrams");
        // With the actual address in the configuration, `milletpath members` reaches the gateway.
        self.write_configuration(n, address);
        self.relay.set_address(n, address);
        self.datagram_addresses[n] = Some(address);
        self.processes[n] = Some(process);
    }

    /// Kills a gateway if it runs.
    pub fn kill(&mut self, n: usize) {
        self.processes[n] = None;
    }

    /// Returns the process of a running gateway.
    pub fn process(&self, n: usize) -> &Process {
        self.processes[n].as_ref().expect("the gateway runs")
    }

    /// Sends a datagram directly to a gateway, bypassing the relay.
    pub fn send_datagram(&self, socket: &UdpSocket, n: usize, bytes: &[u8]) {
        let _ = socket.send_to(bytes, self.datagram_addresses[n].expect("the gateway was started"));
    }

    /// Counts the lines of a gateway's log that contain `text`.
    pub fn count_log_lines(&self, n: usize, text: &str) -> usize {
        let log = std::fs::read_to_string(self.log_file(n)).expect("the log file is readable");
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Returns a gateway's view of the fleet from `milletpath members`; `None` if the gateway does not answer.
    pub fn view(&self, n: usize) -> Option<MembershipView> {
        serde_json::from_slice(&self.members_output(n)?).ok()
    }

    /// Returns the output of `milletpath members` as untyped JSON.
    pub fn members_json(&self, n: usize) -> Option<serde_json::Value> {
        serde_json::from_slice(&self.members_output(n)?).ok()
    }

    fn members_output(&self, n: usize) -> Option<Vec<u8>> {
        let mut command = program();
        command.arg("members").arg("--config").arg(self.configuration_file(n)).arg("--json");
        Some(command.output().ok()?.stdout)
    }

    /// Whether a gateway sees exactly these gateways, besides itself, as alive.
    pub fn sees_alive(&self, n: usize, gateways: &[usize]) -> bool {
        let Some(view) = self.view(n) else { return false };
        let alive = view.members.iter().filter(|member| member.state == "alive");
        let mut alive: Vec<_> = alive.map(|member| member.name.clone()).collect();
        let others = gateways.iter().filter(|other| **other != n);
        let mut expected: Vec<_> = others.map(|other| self.specs[*other].name.clone()).collect();
        alive.sort();
        expected.sort();
        alive == expected
    }

    /// Whether all gateways run and see each other as alive.
    pub fn all_see_all(&self) -> bool {
        let all: Vec<_> = (0..self.size()).collect();
        all.iter().all(|n| self.sees_alive(*n, &all))
    }

    /// Waits until the condition holds. After a minute it panics and prints the view of each gateway.
    pub fn wait_until(&self, condition: &str, holds: impl Fn(&Self) -> bool) {
        const TIMEOUT: Duration = Duration::from_secs(60);
        const POLL_INTERVAL: Duration = Duration::from_millis(100);
        if wait_at_most(TIMEOUT, POLL_INTERVAL, || holds(self).then_some(())).is_none() {
            let views: Vec<_> = (0..self.size()).map(|n| self.view(n)).collect();
            panic!("timed out after {TIMEOUT:?} waiting until {condition}; views: {views:#?}");
        }
    }

    fn configuration_file(&self, n: usize) -> PathBuf {
        self.folder.join(format!("gateway-{n}.hcl"))
    }

    fn log_file(&self, n: usize) -> PathBuf {
        self.folder.join(format!("gateway-{n}.log"))
    }

    fn write_configuration(&self, n: usize, listen: SocketAddr) {
        let GatewaySpec { name, gateways, key, seeds } = &self.specs[n];
        std::fs::write(self.folder.join(format!("{n}.key")), key).expect("the file is writable");
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{}\"", self.relay.address(*seed))).collect();
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
        std::fs::write(self.configuration_file(n), text).expect("the file is writable");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
