//! The registry's endpoint list: its entries, and the notification of all gateways about changes.

use crate::context::Context;
use crate::event::{Event, WorkerProcess};
use crate::registry_stall::RegistryStall;
use milletpath_emulator::scenario;
use milletpath_history_checker::HistoryEvent;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::net::SocketAddr;

pub(crate) struct EndpointList {
    /// Entries by worker.
    entries: Vec<EndpointEntry>,
    /// The current or the last stall of the registry.
    pub stall: RegistryStall,
}

impl EndpointList {
    /// Creates the list for workers that are already warm.
    pub fn new(workers: usize) -> Self {
        let entry = |worker| entry(WorkerProcess { worker, number: 0 }, None);
        Self { entries: (0..workers).map(entry).collect(), stall: RegistryStall::NONE }
    }

    pub fn entries(&self) -> &[EndpointEntry] {
        &self.entries
    }

    /// Sets the status of the given workers.
    pub fn set_status(&mut self, context: &mut Context, workers: &[usize], status: EndpointStatus) {
        workers.iter().for_each(|worker| self.entries[*worker].state = status);
        self.notify_gateways(context, workers);
    }

    /// Registers a worker's new process as ready, at a new address unless the options reuse worker addresses.
    pub fn register(&mut self, context: &mut Context, process: WorkerProcess) {
        let started = context.options.worker_time(context.now);
        let number = if context.options.reuse_worker_addresses { 0 } else { process.number };
        self.entries[process.worker] = entry(WorkerProcess { number, ..process }, Some(started));
        self.notify_gateways(context, &[process.worker]);
    }

    /// Notifies all gateways of the entries of the given workers. During a stall the history records the notification when it
    /// is deemed to have happened, and the entries arrive at the end of the stall.
    fn notify_gateways(&self, context: &mut Context, workers: &[usize]) {
        let states: Vec<_> = workers
            .iter()
            .map(|&worker| (worker, self.entries[worker].state == EndpointStatus::Ready))
            .collect();
        let entries = workers.iter().map(|worker| self.entries[*worker].clone()).collect();
        if !self.stall.is_active(context.now) {
            record_notifications(context, &states);
            return context.send(Event::EndpointsChanged(entries));
        }
        context.schedule(self.stall.deemed_notified_at(context.now), Event::EndpointsDeemedNotified(states));
        context.schedule(self.stall.delivered_at(context.now), Event::EndpointsChanged(entries));
    }
}

/// Records that all gateways have been notified of whether the given workers are ready.
pub(crate) fn record_notifications(context: &mut Context, states: &[(usize, bool)]) {
    for gateway in 0..context.scenario.gateways {
        for &(worker, ready) in states {
            context.record(HistoryEvent::EndpointNotified { gateway, worker, ready });
        }
    }
}

fn entry(process: WorkerProcess, started: Option<f64>) -> EndpointEntry {
    EndpointEntry { address: address(process), ..scenario::worker_entry(process.worker, started) }
}

/// The address of a worker's process, which differs between processes.
fn address(WorkerProcess { worker, number }: WorkerProcess) -> SocketAddr {
    SocketAddr::from(([10, (number % 250) as u8, (worker / 250) as u8, (worker % 250) as u8], 80))
}
