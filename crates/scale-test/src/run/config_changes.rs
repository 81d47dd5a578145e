//! Configuration changes in a run: when authors propose them, when they are applied, and what is applied at the end.

use super::plan_runner::PlanRunner;
use crate::applied_state::AppliedState;
use crate::control::{LOOKUP_LEAD_SECONDS, MAX_PROPOSAL_SECONDS};
use crate::fleet::Fleet;
use crate::plan::{Action, Component, Play};
use crate::report::FinalState;
use crate::stop_reason::StopReason;
use milletpath_config_log::ReplicaView;
use milletpath_gateway::hollow_gateway::clock;

/// How long changes may take until all have applied them where a play states no time, in seconds.
const DEFAULT_APPLY_TIMEOUT: f64 = 10.0;

/// How long gateways that started lately may take to catch up at the end of a run, in seconds.
const FINAL_STATE_TIMEOUT: f64 = 10.0;

/// Between two queries of the final state, in seconds.
const FINAL_STATE_INTERVAL: f64 = 0.5;

impl PlanRunner {
    /// Has authors propose the changes of a play.
    pub(super) fn propose_changes(&mut self, play: &Play) -> Result<(), StopReason> {
        if play.changes == 0 {
            return Ok(());
        }
        let period = match play.action {
            // All changes fall into the time that is measured, and so do their outcomes.
            Action::SteadyState { .. } => (play.proposal_period - 2.0 * LOOKUP_LEAD_SECONDS).max(0.0),
            _ => play.proposal_period,
        };
        self.fleet.propose_changes(play.changes, clock() + LOOKUP_LEAD_SECONDS, period)
    }

    /// Waits until all gateways that run have applied all changes: first for the authors, as long as they may take, then as
    /// long as the play allows.
    pub(super) fn await_changes_applied(&mut self, play: &Play) -> Result<(), StopReason> {
        if play.changes == 0 {
            return Ok(());
        }
        self.wait_for(clock() + MAX_PROPOSAL_SECONDS, |fleet| fleet.trackers.changes.open_proposals() == 0)?;
        let timeout = play.settle_timeout.unwrap_or(DEFAULT_APPLY_TIMEOUT);
        self.wait_for(clock() + timeout, |fleet| fleet.trackers.changes.is_converged())
    }

    /// Asks gateways and control machines what is applied, until all agree or time is over.
    pub(super) fn record_final_state(&mut self) -> Result<(), StopReason> {
        if !self.fleet.plan.runs(Component::ConfigChanges) {
            return Ok(());
        }
        let until = clock() + FINAL_STATE_TIMEOUT;
        loop {
            let state = query_state(&mut self.fleet)?;
            let is_final = state.broken_bound().is_none() || clock() >= until;
            self.final_state = Some(state);
            if is_final {
                return Ok(());
            }
            self.wait_until(clock() + FINAL_STATE_INTERVAL)?;
        }
    }
}

fn query_state(fleet: &mut Fleet) -> Result<FinalState, StopReason> {
    let gateways: Vec<_> = fleet.gateway_states()?.into_values().collect();
    let applied = |view: ReplicaView| AppliedState { number: view.number, digest: view.digest };
    let machines = fleet.control_machine_views()?.into_values();
    let machines: Vec<_> = machines.map(|view| view.map(applied)).collect();
    Ok(FinalState::of(&gateways, &machines, fleet.trackers.changes.latest_committed()))
}
