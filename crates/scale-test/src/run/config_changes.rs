//! Configuration changes during a run: proposes them, waits until they are applied, and records the final state.

use super::plan_runner::PlanRunner;
use crate::applied_state::AppliedState;
use crate::control::{LOOKUP_LEAD_SECONDS, MAX_PROPOSAL_SECONDS};
use crate::fleet::Fleet;
use crate::plan::{Action, Component, Play};
use crate::report::FinalState;
use crate::stop_reason::StopReason;
use milletpath_config_log::ReplicaView;
use milletpath_gateway::hollow_gateway::clock;

/// Seconds to wait until all gateways have applied the changes of a play that states no time.
const DEFAULT_APPLY_TIMEOUT: f64 = 10.0;

/// Seconds that recently started gateways may take to catch up at the end of a run.
const FINAL_STATE_TIMEOUT: f64 = 10.0;

/// Seconds between two queries of the final state.
const FINAL_STATE_INTERVAL: f64 = 0.5;

impl PlanRunner {
    /// Starts authors that propose the changes of a play.
    pub(super) fn propose_changes(&mut self, play: &Play) -> Result<(), StopReason> {
        if play.changes == 0 {
            return Ok(());
        }
        let period = match play.action {
            // All proposals and their outcomes must fall into the measured time.
            Action::SteadyState { .. } => (play.proposal_period - 2.0 * LOOKUP_LEAD_SECONDS).max(0.0),
            _ => play.proposal_period,
        };
        self.fleet.propose_changes(play.changes, clock() + LOOKUP_LEAD_SECONDS, period)
    }

    /// Waits until all running gateways have applied all changes. First waits for the authors for as long as they may
    /// take, then for the time that the play allows.
    pub(super) fn await_changes_applied(&mut self, play: &Play) -> Result<(), StopReason> {
        if play.changes == 0 {
            return Ok(());
        }
        self.wait_for(clock() + MAX_PROPOSAL_SECONDS, |fleet| fleet.trackers.changes.open_proposals() == 0)?;
        let timeout = play.settle_timeout.unwrap_or(DEFAULT_APPLY_TIMEOUT);
        self.wait_for(clock() + timeout, |fleet| fleet.trackers.changes.is_converged())
    }

    /// Queries the state of gateways and control machines until all agree or the timeout expires.
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
