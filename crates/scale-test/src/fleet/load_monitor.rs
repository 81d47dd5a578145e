//! Samples processor utilization of the machine and memory usage of the run once a second.

use crate::machine_load::{self, CpuTime};

/// Interval between two samples, in seconds.
const SAMPLE_INTERVAL: f64 = 1.0;

/// Latest and peak load of the machine.
pub struct LoadMonitor {
    sampled_at: f64,
    cores: Option<CpuTime>,
    /// Utilization of all cores in the latest second, from 0 to 1.
    pub latest_utilization: Option<f64>,
    /// Highest utilization in any second.
    pub peak_utilization: Option<f64>,
    /// Highest total resident memory of the run's processes, in GB.
    pub peak_memory_gb: f64,
}

impl LoadMonitor {
    /// Creates a monitor with a first sample of the processor time at `now`.
    pub fn new(now: f64) -> Self {
        Self {
            sampled_at: now,
            cores: CpuTime::read(),
            latest_utilization: None,
            peak_utilization: None,
            peak_memory_gb: 0.0,
        }
    }

    /// Whether the next sample is due.
    pub fn is_due(&self, now: f64) -> bool {
        now >= self.sampled_at + SAMPLE_INTERVAL
    }

    /// Takes a sample. Returns the total resident memory of these processes in GB.
    pub fn sample(&mut self, now: f64, processes: &[u32]) -> f64 {
        self.sampled_at = now;
        let cores = CpuTime::read();
        if let (Some(cores), Some(before)) = (cores, self.cores) {
            let utilization = cores.utilization_since(before);
            self.latest_utilization = Some(utilization);
            self.peak_utilization =
                Some(self.peak_utilization.map_or(utilization, |highest| highest.max(utilization)));
        }
        self.cores = cores;
        let megabytes: f64 = processes.iter().copied().filter_map(machine_load::process_memory_mb).sum();
        let gigabytes = megabytes / 1e3;
        self.peak_memory_gb = self.peak_memory_gb.max(gigabytes);
        gigabytes
    }
}
