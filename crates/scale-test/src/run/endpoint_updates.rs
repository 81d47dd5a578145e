//! Replaces all hollow workers of a zone and measures the cost for the dispatchers of the gateways.

use super::plan_runner::PlanRunner;
use crate::distribution::Distribution;
use crate::fleet::Fleet;
use crate::hollow_workers;
use crate::plan::Component;
use crate::report::{EndpointUpdateCost, PlayResult};
use crate::stop_reason::StopReason;
use milletpath_gateway::hollow_gateway::clock;
use std::collections::BTreeMap;

impl PlanRunner {
    /// Removes all hollow workers of a zone with one update of the endpoint list, and adds them again as new processes
    /// with several updates that are spread evenly over `duration` seconds.
    pub(super) fn replace_workers(
        &mut self,
        zone: usize,
        revisions: usize,
        duration: f64,
        result: &mut PlayResult,
    ) -> Result<(), StopReason> {
        let plan = &self.fleet.plan;
        if !plan.runs(Component::EndpointList) {
            return Ok(());
        }
        let workers = 0..plan.workers.hollow;
        let workers: Vec<usize> =
            workers.filter(|worker| hollow_workers::zone_of(plan, *worker) == zone).collect();
        let revisions = revisions.min(workers.len());
        let cpu_before = self.read_dispatcher_cpu()?;
        let slowest_removal = self.remove_workers(&workers)?;
        self.endpoint_generation += 1;
        let seconds = self.add_workers(&workers, revisions, duration)?;
        let cpu_after = self.read_dispatcher_cpu()?;
        let used = cpu_after.iter().filter_map(|(gateway, cpu)| Some(cpu - cpu_before.get(gateway)?));
        result.endpoint_updates = Some(EndpointUpdateCost {
            workers: workers.len(),
            revisions,
            seconds,
            slowest_removal,
            slowest_addition: self.fleet.hosts.endpoint_updates.max_cpu_seconds(),
            dispatcher_cpu: Distribution::of(used.collect()),
        });
        Ok(())
    }

    /// Removes workers with one update. Returns the processor time of the slowest gateway in seconds.
    fn remove_workers(&mut self, workers: &[usize]) -> Result<f64, StopReason> {
        self.fleet.hosts.endpoint_updates.reset_max_cpu();
        self.fleet.hosts.update_endpoints(workers, self.endpoint_generation, false);
        self.await_completion(is_list_updated)?;
        Ok(self.fleet.hosts.endpoint_updates.max_cpu_seconds())
    }

    /// Adds workers with several updates. Returns the seconds until all gateways had applied them.
    fn add_workers(&mut self, workers: &[usize], revisions: usize, duration: f64) -> Result<f64, StopReason> {
        let started_at = clock();
        let chunk = workers.len().div_ceil(revisions.max(1)).max(1);
        for (number, added) in workers.chunks(chunk).enumerate() {
            self.fleet.process_messages(started_at + duration * number as f64 / revisions as f64)?;
            self.fleet.hosts.update_endpoints(added, self.endpoint_generation, true);
        }
        self.await_completion(is_list_updated)?;
        Ok(clock() - started_at)
    }

    /// Processor time of the dispatcher of each hollow gateway, in seconds.
    fn read_dispatcher_cpu(&mut self) -> Result<BTreeMap<usize, f64>, StopReason> {
        self.fleet.refresh_readings()?;
        let readings = self.fleet.hosts.readings.latest().iter();
        Ok(readings.map(|(gateway, reading)| (*gateway, reading.dispatcher_cpu)).collect())
    }
}

fn is_list_updated(fleet: &Fleet) -> bool {
    fleet.hosts.endpoint_updates.is_complete()
}
