//! How busy the machine is, and how much memory the run uses, second by second.

use crate::machine_load::{self, CpuTime};

/// Seconds between two samples.
const SAMPLE_INTERVAL: f64 = 1.0;

/// Samples of the machine's load.
pub struct LoadMonitor {
    sampled_at: f64,
    cores: Option<CpuTime>,
    /// Utilization of all cores in the latest second, from 0 to 1.
    pub latest_utilization: Option<f64>,
    /// The highest utilization of a second.
    pub peak_utilization: Option<f64>,
    /// The highest resident memory of all processes of the run together, in GB.
    pub peak_memory_gb: f64,
}

impl LoadMonitor {
    /// A monitor that samples from now on.
    pub fn new(now: f64) -> Self {
        Self {
            sampled_at: now,
            cores: CpuTime::read(),
            latest_utilization: None,
            peak_utilization: None,
            peak_memory_gb: 0.0,
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
