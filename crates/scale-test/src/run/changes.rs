//! Changes in a run: when authors propose them, and what is in force at the end.

use super::Playing;
use crate::applied_state::AppliedState;
use crate::control::{AUTHOR_TRIES, LOOK};
use crate::fleet::StopReason;
use crate::plan::{Action, Component, Play};
use crate::report::{FinalState, PlayResult};
use milletpath_gateway::hollow_gateway::clock;

impl Playing {
    /// Has authors propose the changes of a play.
    pub(super) fn propose(&mut self, play: &Play) -> Result<(), StopReason> {
        if play.changes == 0 {
            return Ok(());
        }
        // All within the play, and known before it ends.
        let over = if matches!(play.action, Action::SteadyState { .. }) {
            (play.proposal_period - 2.0 * LOOK).max(0.0)
        } else {
            play.proposal_period
        };
        self.fleet.propose(play.changes, clock() + LOOK, over)
    }

    /// Waits until all changes are in force at all that run: as long as authors try, and then for as long as
    /// the play has.
    pub(super) fn in_force(&mut self, play: &Play) -> Result<(), StopReason> {
        if play.changes == 0 {
            return Ok(());
        }
        /// Seconds, where the play does not say.
        const USUAL: f64 = 10.0;
        self.wait(clock() + AUTHOR_TRIES, |fleet| fleet.changed.open_proposals() == 0)?;
        self.wait(clock() + play.settle_timeout.unwrap_or(USUAL), |fleet| fleet.changed.is_converged())
    }

    /// Kills the control machine that leads when half of the changes are proposed, and begins it again later.
    pub(super) fn control(
        &mut self,
        play: &Play,
        away: f64,
        played: &mut PlayResult,
    ) -> Result<(), StopReason> {
        self.propose(play)?;
        let half = clock() + LOOK + 0.5 * play.proposal_period;
        self.wait(half, |_| false)?;
        let leader = self.fleet.leader()?;
        let leader =
            leader.ok_or_else(|| StopReason::Failed("no control machine leads in mid-change".into()))?;
        self.fleet.kill_control(&[leader]);
        played.killed_control_machine = Some(leader);
        self.wait(half + away, |_| false)?;
        self.fleet.begin_control()
    }

    /// What is in force at the end, at gateways and control machines.
    pub(super) fn state(&mut self) -> Result<(), StopReason> {
        /// Seconds until those that began lately are heard.
        const WAIT: f64 = 10.0;
        if !self.fleet.plan.runs(Component::ConfigChanges) {
            return Ok(());
        }
        let until = clock() + WAIT;
        loop {
            let gateways = self.fleet.states()?.into_values().collect::<Vec<_>>();
            let control = self.fleet.control_views()?.into_values();
            let control = control
                .map(|v| v.map(|v| AppliedState { number: v.number, digest: v.digest }))
                .collect::<Vec<_>>();
            let state = FinalState::of(&gateways, &control, self.fleet.changed.latest_committed());
            let done = state.broken_bound().is_none() || clock() >= until;
            self.state = Some(state);
            if done {
                return Ok(());
            }
            self.wait(clock() + 0.5, |_| false)?;
        }
    }
}
