//! Conditions that end a run before its plan is complete.

use crate::plan::Plan;
use crate::stop_reason::StopReason;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The limits of a run and the flag that stops it from another thread.
pub struct StopConditions {
    stop: Arc<AtomicBool>,
    /// When the run started, in seconds on the machine's monotonic clock.
    pub started_at: f64,
    time_limit_seconds: f64,
    memory_limit_gb: f64,
}

impl StopConditions {
    /// Creates the conditions with the limits of the plan.
    pub fn new(plan: &Plan, stop: Arc<AtomicBool>, now: f64) -> Self {
        let (time_limit_seconds, memory_limit_gb) = (plan.time_limit, plan.memory_limit_gb);
        Self { stop, started_at: now, time_limit_seconds, memory_limit_gb }
    }

    /// Whether the stop flag is set.
    pub fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// Checks the stop flag and the time limit.
    pub fn check_time(&self, now: f64) -> Result<(), StopReason> {
        if self.is_stopping() {
            return Err(StopReason::Stopped);
        }
        if now - self.started_at > self.time_limit_seconds {
            return Err(StopReason::TimeLimit);
        }
        Ok(())
    }

    /// Checks the total resident memory of all processes against the limit.
    pub fn check_memory(&self, gigabytes: f64) -> Result<(), StopReason> {
        if gigabytes > self.memory_limit_gb { Err(StopReason::MemoryLimit { gigabytes }) } else { Ok(()) }
    }
}

#[cfg(test)]
mod tests;
