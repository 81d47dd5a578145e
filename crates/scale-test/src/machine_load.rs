//! What the machine and the processes of a run use, as the system tells: whether there was room for the run,
//! or what it measured was a crowd's.

use std::collections::BTreeSet;
use std::fs;

/// Ticks of a second in `/proc`, the same on every Linux that this runs on.
const TICKS_PER_SECOND: f64 = 100.0;

/// Part of all cores in use past which a run is not alone with its mechanism any more.
pub const SATURATION_THRESHOLD: f64 = 0.9;

/// Seconds of all cores together: in use, and in all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuTime {
    pub busy: f64,
    pub all: f64,
}

impl CpuTime {
    pub fn read() -> Option<Self> {
        Self::parse(&fs::read_to_string("/proc/stat").ok()?)
    }

    /// From the text of `/proc/stat`.
    pub fn parse(text: &str) -> Option<Self> {
        let line = text.lines().find_map(|l| l.strip_prefix("cpu "))?;
        let ticks: Vec<f64> = line.split_whitespace().filter_map(|f| f.parse().ok()).collect();
        // user nice system idle iowait irq softirq steal; guests are in user already.
        let all: f64 = ticks.get(..8)?.iter().sum();
        let idle = ticks[3] + ticks[4];
        Some(Self { busy: (all - idle) / TICKS_PER_SECOND, all: all / TICKS_PER_SECOND })
    }

    /// Part of all cores that was in use since then.
    pub fn utilization_since(self, before: Self) -> f64 {
        (self.busy - before.busy) / (self.all - before.all).max(1e-9)
    }
}

/// Seconds of processor time of a process.
pub fn process_cpu_seconds(process: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The name, in brackets, may hold anything.
    let rest = text.rsplit(") ").next().unwrap_or("");
    let ticks = |n: usize| rest.split(' ').nth(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Resident memory of a process, in MB.
pub fn process_memory_mb(process: u32) -> Option<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1024.0 / 1e6)
}

/// Seconds of processor time of a process's thread of that name.
pub fn thread_cpu_seconds(process: u32, name: &str) -> Option<f64> {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let task = tasks
        .flatten()
        .map(|t| t.path())
        .find(|path| fs::read_to_string(path.join("comm")).is_ok_and(|comm| comm.trim_end() == name))?;
    let text = fs::read_to_string(task.join("schedstat")).ok()?;
    text.split_whitespace().next()?.parse::<f64>().ok().map(|ns| ns / 1e9)
}

/// Datagrams that the system dropped at sockets with these ports, for want of room or of somebody who reads.
pub fn dropped_datagrams(ports: &BTreeSet<u16>) -> u64 {
    let text = fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let read = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port = u16::from_str_radix(fields.get(1)?.split(':').nth(1)?, 16).ok()?;
        Some((port, fields.last()?.parse::<u64>().ok()?))
    };
    text.lines().skip(1).filter_map(read).filter(|(port, _)| ports.contains(port)).map(|(_, n)| n).sum()
}
