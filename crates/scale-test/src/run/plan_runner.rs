//! Executes the plays of a plan in order and collects their results.

use super::progress_line::ProgressLine;
use crate::client_calls::CallCounts;
use crate::fleet::Fleet;
use crate::plan::{Action, Component, Play};
use crate::report::{Convergence, FinalState, Findings, MachineUsage, PlayResult};
use crate::stop_reason::StopReason;
use milletpath_gateway::hollow_gateway::clock;
use oorandom::Rand64;

/// Separates these random numbers from others that are generated from the seed of the plan.
const SEED_SALT: u128 = 0x5ca1e;

/// Interval at which a condition is checked while waiting for it, in seconds.
const CHECK_INTERVAL: f64 = 0.2;

/// Interval at which the completion of commands is checked, in seconds.
const COMPLETION_CHECK_INTERVAL: f64 = 0.05;

/// A run in progress.
pub struct PlanRunner {
    pub(super) fleet: Fleet,
    pub(super) rng: Rand64,
    /// Distinguishes processes of hollow workers that use the same name.
    pub(super) endpoint_generation: u32,
    pub(super) final_state: Option<FinalState>,
    results: Vec<PlayResult>,
    progress: ProgressLine,
}

impl PlanRunner {
    /// Creates a runner for the plan of the fleet.
    pub fn new(fleet: Fleet) -> Self {
        Self {
            rng: Rand64::new(u128::from(fleet.plan.seed) ^ SEED_SALT),
            fleet,
            endpoint_generation: 0,
            final_state: None,
            results: Vec::new(),
            progress: ProgressLine::new(),
        }
    }

    /// The fleet of the run.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Executes all plays, then records the final configuration state.
    ///
    /// # Errors
    ///
    /// Why the run ends early. Results up to that point are kept.
    pub fn run_all_plays(&mut self) -> Result<(), StopReason> {
        for play in self.fleet.plan.plays.clone() {
            self.run_play(&play)?;
        }
        self.record_final_state()
    }

    fn run_play(&mut self, play: &Play) -> Result<(), StopReason> {
        let started_at = clock();
        self.fleet.trackers.budgets.begin_play(started_at, &play.label);
        let mut result = PlayResult::new(play, started_at - self.fleet.started_at());
        let outcome = self
            .perform_action(play, &mut result)
            .and_then(|()| self.await_convergence(play, &mut result))
            .and_then(|()| self.await_changes_applied(play));
        result.seconds = clock() - started_at;
        let membership_times = self.fleet.trackers.membership.take_times();
        if self.fleet.plan.runs(Component::Membership) {
            result.membership_times = membership_times;
        }
        let changes = self.fleet.trackers.changes.take_outcomes(clock());
        result.changes = (changes != Default::default()).then_some(changes);
        // The measurements are kept even if the play ended early.
        self.results.push(result);
        outcome
    }

    fn perform_action(&mut self, play: &Play, result: &mut PlayResult) -> Result<(), StopReason> {
        if proposes_from_the_start(&play.action) {
            self.propose_changes(play)?;
        }
        match play.action {
            Action::Start { duration } => self.start_all(duration),
            Action::SteadyState { duration } => self.measure_control_cost(duration, result),
            Action::RollingRestart { gateways, duration } => self.restart_random(gateways, duration),
            Action::RackFailure { gateways, downtime } => self.fail_rack(gateways, downtime, play, result),
            Action::ZoneFailure { zone, downtime } => self.fail_zone(zone, downtime, play, result),
            Action::Partition { regions, duration } => self.partition(regions, duration, play),
            Action::EndpointUpdates { zone, revisions, duration } => {
                self.replace_workers(zone, revisions, duration, result)
            }
            Action::ConfigChanges => Ok(()),
            Action::LeaderFailure { downtime } => self.fail_leader(downtime, play, result),
        }
    }

    /// Waits until every running gateway has the correct view of all others, or the timeout of the play expires.
    fn await_convergence(&mut self, play: &Play, result: &mut PlayResult) -> Result<(), StopReason> {
        let Some(timeout) = play.settle_timeout else { return Ok(()) };
        // In plays about changes, the run waits for their application instead.
        let is_about_changes = matches!(play.action, Action::ConfigChanges | Action::LeaderFailure { .. });
        if !self.fleet.plan.runs(Component::Membership) || is_about_changes {
            return Ok(());
        }
        let started_at = clock();
        let outcome = self.wait_for(started_at + timeout, Fleet::is_converged);
        let is_converged = self.fleet.is_converged();
        let waited = clock() - started_at;
        // If the wait was interrupted, the fleet might still have converged in time, so failure is not recorded.
        if outcome.is_ok() || is_converged {
            let membership = &self.fleet.trackers.membership;
            result.convergence = Some(Convergence {
                after: is_converged.then_some(waited),
                waited,
                known_to_all: membership.gateways_known_to_all(),
                total: membership.running_count(),
            });
        }
        outcome
    }

    /// Waits until a time, in seconds on the machine's monotonic clock.
    pub(super) fn wait_until(&mut self, until: f64) -> Result<(), StopReason> {
        self.wait_for(until, |_| false)
    }

    /// Waits until a condition holds or until a time.
    pub(super) fn wait_for(
        &mut self,
        until: f64,
        is_done: impl Fn(&Fleet) -> bool,
    ) -> Result<(), StopReason> {
        loop {
            let now = clock();
            if now >= until || is_done(&self.fleet) {
                return Ok(());
            }
            self.show_progress("");
            self.fleet.process_messages(until.min(now + CHECK_INTERVAL))?;
        }
    }

    /// Waits until a condition holds, without a timeout other than the time limit of the run.
    pub(super) fn await_completion(&mut self, is_done: impl Fn(&Fleet) -> bool) -> Result<(), StopReason> {
        while !is_done(&self.fleet) {
            self.fleet.process_messages(clock() + COMPLETION_CHECK_INTERVAL)?;
        }
        Ok(())
    }

    /// Updates the progress line, if standard error is a terminal.
    pub(super) fn show_progress(&self, detail: &str) {
        let play = self.fleet.plan.plays.get(self.results.len());
        self.progress.show(&self.fleet, play.map_or("", |play| play.label.as_str()), detail);
    }

    /// Clears the progress line.
    pub fn clear_progress(&self) {
        self.progress.clear();
    }

    /// Ends all processes of the fleet and returns the measurements.
    pub fn into_findings(mut self, machine: MachineUsage, calls: Option<CallCounts>) -> Findings {
        let budgets = self.fleet.take_budget_totals();
        drop(self.fleet);
        let (plays, state) = (self.results, self.final_state);
        Findings { plays, budgets: budgets.finish(), machine, calls, state }
    }
}

/// Whether changes are proposed from the start of the action. Other actions propose them at a later point.
fn proposes_from_the_start(action: &Action) -> bool {
    matches!(action, Action::SteadyState { .. } | Action::RollingRestart { .. } | Action::ConfigChanges)
}
