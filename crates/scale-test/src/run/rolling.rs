//! Starts or restarts gateways one after another.

use super::plan_runner::PlanRunner;
use crate::fleet::Fleet;
use crate::stop_reason::StopReason;
use milletpath_gateway::hollow_gateway::clock;

/// Number of gateways between two updates of the progress line.
const PROGRESS_STEP: usize = 16;

impl PlanRunner {
    /// Starts all gateways in random order, spread evenly over `duration` seconds.
    pub(super) fn start_all(&mut self, duration: f64) -> Result<(), StopReason> {
        let gateways = self.shuffled_gateways();
        self.for_each_gateway(&gateways, duration, Fleet::start_gateway)
    }

    /// Restarts `count` random gateways, spread evenly over `duration` seconds.
    pub(super) fn restart_random(&mut self, count: usize, duration: f64) -> Result<(), StopReason> {
        let mut gateways = self.shuffled_gateways();
        gateways.truncate(count);
        self.for_each_gateway(&gateways, duration, Fleet::restart_gateway)
    }

    fn shuffled_gateways(&mut self) -> Vec<usize> {
        let mut gateways: Vec<usize> = (0..self.fleet.plan.gateways).collect();
        for last in (1..gateways.len()).rev() {
            gateways.swap(last, self.rng.rand_range(0..last as u64 + 1) as usize);
        }
        gateways
    }

    /// Applies an action to each gateway, spread evenly over `duration` seconds, and waits until all resulting starts
    /// and stops are complete.
    pub(super) fn for_each_gateway(
        &mut self,
        gateways: &[usize],
        duration: f64,
        mut action: impl FnMut(&mut Fleet, usize) -> Result<(), StopReason>,
    ) -> Result<(), StopReason> {
        let started_at = clock();
        for (number, gateway) in gateways.iter().enumerate() {
            self.fleet.process_messages(started_at + duration * number as f64 / gateways.len() as f64)?;
            action(&mut self.fleet, *gateway)?;
            if number % PROGRESS_STEP == 0 {
                self.show_progress(&format!("{number} of {}", gateways.len()));
            }
        }
        self.await_completion(Fleet::are_transitions_complete)
    }
}
