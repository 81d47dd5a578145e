//! The endpoint list: which workers exist according to the registry. The caller follows the registry and passes on
//! its updates; the worker table stores them, and the router is notified of each endpoint.

use super::Dispatcher;
use crate::worker_table::{EndpointRevision, WorkerProcess};
use milletpath_policy::Budget;
use milletpath_protocol::registry::EndpointEntry;
use std::sync::Arc;

/// Minimum number of adjustments to workers' budgets that are kept before those of workers that are no longer listed
/// are dropped.
const MIN_WORKER_ADJUSTMENTS: usize = 64;

impl<T> Dispatcher<T> {
    /// Applies one update of the endpoint list: the `complete` list, or only the entries that changed.
    pub fn update_endpoints(&mut self, now: f64, complete: bool, entries: &[EndpointEntry]) {
        self.apply_endpoints(now, complete, entries);
        self.end_endpoints(now);
    }

    /// Applies one of several updates that are known at the same time. Nothing is placed by them before
    /// [`end_endpoints`](Self::end_endpoints), which must be called before any other event is reported but that the list
    /// is current.
    pub fn apply_endpoints(&mut self, now: f64, complete: bool, entries: &[EndpointEntry]) {
        self.state.now = now;
        if complete {
            self.router.begin_full_list();
        }
        self.state
            .worker_table
            .update(now, complete, entries, |endpoint_update| self.router.update_endpoint(endpoint_update));
        self.apply_worker_adjustments(entries);
    }

    /// Ends the updates that were applied by [`apply_endpoints`](Self::apply_endpoints): queued requests are placed again.
    pub fn end_endpoints(&mut self, now: f64) {
        self.state.now = now;
        self.router.end_list(now, &mut self.state);
        self.report_cancelled_attempts();
    }

    /// Applies the adjustments stored by worker name to the current index of each worker among the updated entries;
    /// the index may have changed, for example in a restart.
    fn apply_worker_adjustments(&mut self, entries: &[EndpointEntry]) {
        let worker_table = &self.state.worker_table;
        if self.worker_adjustments.len() > 2 * worker_table.len() + MIN_WORKER_ADJUSTMENTS {
            self.worker_adjustments.retain(|name, _| worker_table.listed_worker(name).is_some());
        }
        if self.worker_adjustments.is_empty() {
            return;
        }
        for entry in entries {
            let Some(worker) = self.state.worker_table.listed_worker(&entry.name) else { continue };
            if let Some(adjustment) = self.worker_adjustments.get(entry.name.as_str()).copied() {
                self.adjust_router_budget(Budget::InFlight(worker), adjustment);
            }
        }
    }

    /// Reports that the registry did not answer or closed the stream of changes.
    pub fn endpoint_list_failed(&mut self, now: f64) {
        self.state.now = now;
        self.router.watch_failed(now, &mut self.state);
        self.report_cancelled_attempts();
    }

    /// Reports that all changes of the endpoint list up to `now` have been passed on, so a worker that is first
    /// reported later was not listed before. The source of the list stated so at `stated_at` or later.
    pub fn endpoint_list_confirmed(&mut self, now: f64, stated_at: f64) {
        self.state.worker_table.start_times.list_confirmed(now);
        self.router.list_confirmed(stated_at);
    }

    /// Whether the source of the endpoint list has been silent for so long that the list is stale. Workers then get
    /// new work only after they have proved that they accept it.
    pub fn endpoint_list_is_stale(&self, now: f64) -> bool {
        self.router.list_is_stale(now)
    }

    /// Seconds since the endpoint list was last known to be current; infinite if it never was.
    pub fn endpoint_list_age(&self, now: f64) -> f64 {
        self.router.list_age(now)
    }

    /// Number of workers that are listed as ready but get no new work, because the list is stale and they have not
    /// proved that they accept any.
    pub fn unproven_workers(&self, now: f64) -> usize {
        self.router.unproven_workers(now)
    }

    /// Reports that a worker answered, with any response, on a connection established at `connected_at`. This proves
    /// that it has been the same process since then.
    pub fn worker_answered(&mut self, now: f64, worker: usize, connected_at: f64) {
        self.router.worker_answered(now, worker, connected_at);
    }

    /// Reports a reading of the wall clock, in seconds since the Unix epoch. The clock may have been stepped since
    /// the last reading; a reading only affects the start times of processes that are first reported after it.
    pub fn wall_clock_read(&mut self, now: f64, unix_time: f64) {
        self.state.worker_table.start_times.wall_clock_read(now, unix_time);
    }

    /// Revision of the endpoint list; it changes with every update of the list and every restart of the dispatcher.
    pub fn endpoint_revision(&self) -> EndpointRevision {
        self.state.worker_table.revision()
    }

    /// Whether an endpoint list has been received since the dispatcher was created or restarted.
    pub fn has_endpoints(&self) -> bool {
        self.state.worker_table.revision().revision > 0
    }

    /// Index and name of each listed worker.
    pub fn workers(&self) -> Vec<(usize, Arc<str>)> {
        self.state.worker_table.workers()
    }

    /// The address of a worker and the number of its process. For an unknown index, an address that cannot be
    /// reached.
    pub fn worker_process(&self, worker: usize) -> WorkerProcess {
        self.state.worker_table.process(worker)
    }

    /// When a worker's process started, in seconds on the dispatcher's clock; `None` means long ago.
    pub fn started(&self, worker: usize) -> Option<f64> {
        self.state.worker_table.started(worker)
    }
}
