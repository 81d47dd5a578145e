//! Hollow workers: entries of the endpoint list without a process behind them.

use crate::plan::Plan;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::net::{Ipv4Addr, SocketAddr};

/// Zone of a hollow worker. Workers are spread over the zones in the same way as gateways.
pub fn zone_of(plan: &Plan, worker: usize) -> usize {
    worker % plan.zones.len()
}

/// Endpoint list entry of a hollow worker. The generation distinguishes processes that use the same name.
pub fn endpoint(plan: &Plan, worker: usize, generation: u32, status: EndpointStatus) -> EndpointEntry {
    // Addresses are in the benchmarking network (RFC 2544), where nothing answers; hollow gateways never connect to
    // workers.
    let [_, a, b, c] = (worker as u32).to_be_bytes();
    let address = SocketAddr::from((Ipv4Addr::new(198, 18 + a, b, c), 9000));
    EndpointEntry {
        name: format!("worker-{worker}"),
        address,
        started: (generation > 0).then_some(f64::from(generation) + 1.0),
        size: 1.0,
        kind: "std".into(),
        zone: plan.zones[zone_of(plan, worker)].name.clone(),
        cell: String::new(),
        state: status,
    }
}

/// The hollow workers that are present.
pub struct HollowWorkers {
    /// Generation of each worker; `None` if it is gone.
    generations: Vec<Option<u32>>,
}

impl HollowWorkers {
    /// Creates this number of workers, all present in their first generation.
    pub fn new(count: usize) -> Self {
        Self { generations: vec![Some(0); count] }
    }

    /// Returns the complete endpoint list.
    pub fn endpoints(&self, plan: &Plan) -> Vec<EndpointEntry> {
        let present = self.generations.iter().enumerate();
        present
            .filter_map(|(worker, generation)| {
                Some(endpoint(plan, worker, (*generation)?, EndpointStatus::Ready))
            })
            .collect()
    }

    /// Applies an update and returns the changed entries. Unknown workers are ignored.
    pub fn update(
        &mut self,
        plan: &Plan,
        workers: &[usize],
        generation: u32,
        present: bool,
    ) -> Vec<EndpointEntry> {
        let status = if present { EndpointStatus::Ready } else { EndpointStatus::Gone };
        let mut changed = Vec::new();
        for worker in workers {
            let Some(current) = self.generations.get_mut(*worker) else { continue };
            *current = present.then_some(generation);
            changed.push(endpoint(plan, *worker, generation, status));
        }
        changed
    }
}

#[cfg(test)]
mod tests;
