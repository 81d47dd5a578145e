//! Runs the clients on a separate thread, so that a busy worker does not delay them.

use super::{RunError, RunOptions};
use crate::clients::{self, ClientOptions, LoadBalancer};
use crate::context::{ContextOptions, EmulatorContext};
use crate::scenario_file::Scenario;
use crate::traffic::{self, PlannedRequest};
use milletpath_history_checker::HistoryRecord;
use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;
use tokio::task::LocalSet;

/// The clients' thread; it returns the history as the clients observed it.
pub(super) struct ClientThread(JoinHandle<io::Result<Vec<HistoryRecord>>>);

impl ClientThread {
    /// Starts the thread. Planned times count from now; the clients' clock reads 0 at `started`.
    pub(super) fn start(
        scenario: &Scenario,
        options: &RunOptions<'_>,
        started: Instant,
        load_balancer: Arc<LoadBalancer>,
    ) -> io::Result<Self> {
        let plan = traffic::plan(scenario, options.seed);
        let context_options = ContextOptions::of_scenario(scenario, options.seed);
        let (seed, tolerance) = (options.seed, options.tolerance);
        let client_options = ClientOptions { scenario: scenario.clone(), load_balancer, seed, tolerance };
        let run = move || run(started, context_options, client_options, plan);
        std::thread::Builder::new().name("clients".into()).spawn(run).map(Self)
    }

    /// Whether the last call has ended.
    pub(super) fn is_finished(&self) -> bool {
        self.0.is_finished()
    }

    /// Waits for the thread to end, and returns its history.
    pub(super) fn join(self) -> Result<Vec<HistoryRecord>, RunError> {
        Ok(self.0.join().map_err(|_| RunError::ClientsPanicked)??)
    }
}

fn run(
    started: Instant,
    context_options: ContextOptions,
    client_options: ClientOptions,
    plan: Vec<PlannedRequest>,
) -> io::Result<Vec<HistoryRecord>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let context = EmulatorContext::new(started, context_options);
    let run = clients::run(context.clone(), client_options, plan);
    runtime.block_on(LocalSet::new().run_until(run));
    Ok(context.take_history())
}
