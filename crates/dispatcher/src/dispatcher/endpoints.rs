//! The endpoint list: which workers there are, by the registry. The caller follows the registry and passes on what it
//! states; the worker table keeps it, and the router is notified of each endpoint.

use super::Dispatcher;
use crate::worker_table::{EndpointRevision, WorkerProcess};
use milletpath_policy::Budget;
use milletpath_protocol::registry::EndpointEntry;
use std::sync::Arc;

/// Adjustments of workers' budgets that are kept at least, before those of workers that are not listed are dropped.
const MIN_WORKER_ADJUSTMENTS: usize = 64;

impl<T> Dispatcher<T> {
    /// Takes one revision of the endpoint list, `complete` or only the entries that changed.
    pub fn update_endpoints(&mut self, now: f64, complete: bool, entries: &[EndpointEntry]) {
        self.state.now = now;
        if complete {
            self.router.begin_full_list();
        }
        self.state
            .worker_table
            .update(now, complete, entries, |endpoint_update| self.router.update_endpoint(endpoint_update));
        self.apply_worker_adjustments();
        self.router.end_list(now, &mut self.state);
        self.report_cancelled_attempts();
    }

    /// Applies to each listed worker's index what was adjusted for its name, before a restart or at another index.
    fn apply_worker_adjustments(&mut self) {
        let listed = self.state.worker_table.workers();
        if self.worker_adjustments.len() > 2 * listed.len() + MIN_WORKER_ADJUSTMENTS {
            self.worker_adjustments.retain(|name, _| listed.iter().any(|(_, known)| known == name));
        }
        for (worker, name) in listed {
            if let Some(adjustment) = self.worker_adjustments.get(&name).copied() {
                self.adjust_router_budget(Budget::InFlight(worker), adjustment);
            }
        }
    }

    /// The registry did not answer, or closed the stream of changes.
    pub fn endpoint_list_failed(&mut self, now: f64) {
        self.state.now = now;
        self.router.watch_failed(now, &mut self.state);
        self.report_cancelled_attempts();
    }

    /// Every change of the endpoint list until now has been passed on: a worker that is reported later was not listed
    /// before. The source of the list stated so at `stated_at` or later.
    pub fn endpoint_list_confirmed(&mut self, now: f64, stated_at: f64) {
        self.state.worker_table.start_times.list_confirmed(now);
        self.router.list_confirmed(stated_at);
    }

    /// Whether the source of the endpoint list has been silent for so long that workers have to prove that they take
    /// new work.
    pub fn endpoint_list_is_stale(&self, now: f64) -> bool {
        self.router.list_is_stale(now)
    }

    /// Seconds since the endpoint list was known to be current; infinite before it first was.
    pub fn endpoint_list_age(&self, now: f64) -> f64 {
        self.router.list_age(now)
    }

    /// Number of workers that are listed as ready and get no new work now, as the list is stale and they have not
    /// proved that they take any.
    pub fn unproven_workers(&self, now: f64) -> usize {
        self.router.unproven_workers(now)
    }

    /// A worker answered on a connection that was made then, whatever it answered: by that it is known for how long it
    /// has been one process.
    pub fn worker_answered(&mut self, now: f64, worker: usize, connected_at: f64) {
        self.router.worker_answered(now, worker, connected_at);
    }

    /// The wall clock was read, in seconds since the Unix epoch. It may have been stepped since the last reading; it
    /// counts only for the start times of processes that are first reported from here on.
    pub fn wall_clock_read(&mut self, now: f64, unix_time: f64) {
        self.state.worker_table.start_times.wall_clock_read(now, unix_time);
    }

    /// Changes with every update of the endpoint list and every restart of the dispatcher.
    pub fn endpoint_revision(&self) -> EndpointRevision {
        self.state.worker_table.revision()
    }

    /// Whether an endpoint list is known.
    pub fn has_endpoints(&self) -> bool {
        self.state.worker_table.revision().revision > 0
    }

    /// Index and name of each listed worker.
    pub fn workers(&self) -> Vec<(usize, Arc<str>)> {
        self.state.worker_table.workers()
    }

    /// The address of a worker, and which process has its name; an address that can't be reached for an unknown index.
    pub fn worker_process(&self, worker: usize) -> WorkerProcess {
        self.state.worker_table.process(worker)
    }

    /// When the process of a worker started, in seconds on the dispatcher's clock; none means long ago.
    pub fn started(&self, worker: usize) -> Option<f64> {
        self.state.worker_table.started(worker)
    }
}
