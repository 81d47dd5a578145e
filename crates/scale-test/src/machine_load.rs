//! What the machine and the processes of a run use, by `/proc`: whether the run had the processors that it needed, or
//! what it measured is also the effect of other load.

use std::collections::BTreeSet;
use std::fs;

/// Clock ticks of a second in `/proc`, the same on every Linux that this runs on.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fraction of all cores in use above which measurements of a run also show the lack of processors.
pub const SATURATION_THRESHOLD: f64 = 0.9;

/// Processor time of all cores together since the machine started, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuTime {
    /// In use.
    pub busy_seconds: f64,
    /// In use or idle.
    pub total_seconds: f64,
}

impl CpuTime {
    /// The processor time so far; none where `/proc/stat` can't be read.
    #[must_use]
    pub fn read() -> Option<Self> {
        Self::parse(&fs::read_to_string("/proc/stat").ok()?)
    }

    /// Parses the text of `/proc/stat`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let line = text.lines().find_map(|line| line.strip_prefix("cpu "))?;
        let ticks: Vec<f64> = line.split_whitespace().filter_map(|field| field.parse().ok()).collect();
        // user nice system idle iowait irq softirq steal; the fields of virtual machines after them are in user already.
        let total: f64 = ticks.get(..8)?.iter().sum();
        let idle = ticks[3] + ticks[4];
        Some(Self {
            busy_seconds: (total - idle) / TICKS_PER_SECOND,
            total_seconds: total / TICKS_PER_SECOND,
        })
    }

    /// Fraction of all cores that was in use since an earlier reading.
    #[must_use]
    pub fn utilization_since(self, earlier: Self) -> f64 {
        let total = self.total_seconds - earlier.total_seconds;
        (self.busy_seconds - earlier.busy_seconds) / total.max(1e-9)
    }
}

/// Seconds of processor time that a process has used; 0 for one that is not there.
#[must_use]
pub fn process_cpu_seconds(process: u32) -> f64 {
    // Fields after the process's name, which is in brackets and may hold anything.
    const USER_TIME: usize = 11;
    const SYSTEM_TIME: usize = 12;
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields = text.rsplit(") ").next().unwrap_or("");
    let ticks = |field: usize| {
        let text = fields.split(' ').nth(field);
        text.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0)
    };
    (ticks(USER_TIME) + ticks(SYSTEM_TIME)) / TICKS_PER_SECOND
}

/// Resident memory of a process in MB; none for one that is not there.
#[must_use]
pub fn process_memory_mb(process: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024.0 / 1e6)
}

/// Seconds of processor time that a process's thread of that name has used; none where there is no such thread.
#[must_use]
pub fn thread_cpu_seconds(process: u32, name: &str) -> Option<f64> {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let has_name = |task: &std::path::Path| {
        fs::read_to_string(task.join("comm")).is_ok_and(|comm| comm.trim_end() == name)
    };
    let task = tasks.flatten().map(|task| task.path()).find(|task| has_name(task))?;
    let text = fs::read_to_string(task.join("schedstat")).ok()?;
    let nanoseconds: f64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanoseconds / 1e9)
}

/// Datagrams that the system dropped at UDP sockets with these ports, because their buffers were full.
#[must_use]
pub fn dropped_datagrams(ports: &BTreeSet<u16>) -> u64 {
    let text = fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let sockets = text.lines().skip(1).filter_map(parse_udp_socket);
    sockets.filter(|socket| ports.contains(&socket.port)).map(|socket| socket.drops).sum()
}

/// A UDP socket of the system.
struct UdpSocketDrops {
    port: u16,
    drops: u64,
}

/// Parses a line of `/proc/net/udp`.
fn parse_udp_socket(line: &str) -> Option<UdpSocketDrops> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let port = u16::from_str_radix(fields.get(1)?.split(':').nth(1)?, 16).ok()?;
    Some(UdpSocketDrops { port, drops: fields.last()?.parse().ok()? })
}
