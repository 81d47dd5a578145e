//! How busy the machine is, and how much memory the run uses, second by second.

use crate::machine_load::{self, CpuTime};

/// Seconds between two samples.
const SAMPLE_INTERVAL: f64 = 1.0;

/// Samples of the machine's load.
pub struct LoadMonitor {
    sampled_at: f64,
    cores: Option<CpuTime>,
    /// The fraction of all cores that was in use in the latest second.
    pub latest_busy: Option<f64>,
    /// The highest such fraction.
    pub highest_busy: Option<f64>,
    /// The highest resident memory of all processes of the run together, in GB.
    pub highest_memory_gb: f64,
}

impl LoadMonitor {
    /// A monitor that samples from now on.
    pub fn new(now: f64) -> Self {
        Self {
            sampled_at: now,
            cores: CpuTime::read(),
            latest_busy: None,
            highest_busy: None,
            highest_memory_gb: 0.0,
        }
    }

    /// Whether it is time for the next sample.
    pub fn is_due(&self, now: f64) -> bool {
        now >= self.sampled_at + SAMPLE_INTERVAL
    }

    /// Takes a sample. Gives the resident memory of these processes, in GB.
    pub fn sample(&mut self, now: f64, processes: &[u32]) -> f64 {
        self.sampled_at = now;
        let cores = CpuTime::read();
        if let (Some(cores), Some(before)) = (cores, self.cores) {
            let busy = cores.utilization_since(before);
            self.latest_busy = Some(busy);
            self.highest_busy = Some(self.highest_busy.map_or(busy, |highest| highest.max(busy)));
        }
        self.cores = cores;
        let megabytes: f64 = processes.iter().copied().filter_map(machine_load::process_memory_mb).sum();
        let gigabytes = megabytes / 1e3;
        self.highest_memory_gb = self.highest_memory_gb.max(gigabytes);
        gigabytes
    }
}
