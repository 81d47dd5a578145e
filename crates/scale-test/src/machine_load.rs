//! Resource usage of the machine and of processes, read from `/proc`. It shows whether the run had enough processors or
//! whether its measurements are distorted by load.

use std::collections::BTreeSet;
use std::fs;

/// Clock ticks per second in `/proc` (`USER_HZ`), the same on all supported Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;

/// Utilization of all cores above which measurements are also affected by a lack of processors.
pub const SATURATION_THRESHOLD: f64 = 0.9;

/// Processor time of all cores together since boot, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuTime {
    /// Busy time.
    pub busy_seconds: f64,
    /// Busy and idle time.
    pub total_seconds: f64,
}

impl CpuTime {
    /// Reads the current values; `None` if `/proc/stat` can't be read.
    #[must_use]
    pub fn read() -> Option<Self> {
        Self::parse(&fs::read_to_string("/proc/stat").ok()?)
    }

    /// Parses the text of `/proc/stat`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let line = text.lines().find_map(|line| line.strip_prefix("cpu "))?;
        let ticks: Vec<f64> = line.split_whitespace().filter_map(|field| field.parse().ok()).collect();
        // Fields: user nice system idle iowait irq softirq steal. The guest fields after them are already included in
        // user.
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

/// Processor time of a process in seconds; 0 if there is no such process.
#[must_use]
pub fn process_cpu_seconds(process: u32) -> f64 {
    // Indices of the fields after the process name, which is in parentheses and may contain any character.
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

/// Resident memory of a process in MB; `None` if there is no such process.
#[must_use]
pub fn process_memory_mb(process: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024.0 / 1e6)
}

/// Processor time of the thread with this name in a process, in seconds; `None` if there is no such thread.
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

/// Number of datagrams that the kernel dropped at UDP sockets on these ports because the receive buffers were full.
#[must_use]
pub fn dropped_datagrams(ports: &BTreeSet<u16>) -> u64 {
    let text = fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let sockets = text.lines().skip(1).filter_map(parse_udp_socket);
    sockets.filter(|socket| ports.contains(&socket.port)).map(|socket| socket.drops).sum()
}

/// Port and drop count of a UDP socket.
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
