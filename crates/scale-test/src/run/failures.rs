//! Failure injection: kills and restarts gateways and control machines, and partitions regions.

use super::plan_runner::PlanRunner;
use crate::control::LOOKUP_LEAD_SECONDS;
use crate::fleet::Fleet;
use crate::plan::{Component, Play, RegionPair};
use crate::report::{FailureDetection, PlayResult};
use crate::stop_reason::{ProcessFailure, StopReason};
use milletpath_gateway::hollow_gateway::clock;

impl PlanRunner {
    /// Kills `count` gateways of a random zone at once and restarts them.
    pub(super) fn fail_rack(
        &mut self,
        count: usize,
        downtime: f64,
        play: &Play,
        result: &mut PlayResult,
    ) -> Result<(), StopReason> {
        let zones = self.fleet.plan.zones.len() as u64;
        let zone = self.rng.rand_range(0..zones) as usize;
        let gateways: Vec<usize> = self.fleet.plan.gateways_in_zone(zone).take(count).collect();
        self.fail_and_restart(&gateways, &[], downtime, play, result)
    }

    /// Kills all gateways and control machines of a zone at once and restarts them.
    pub(super) fn fail_zone(
        &mut self,
        zone: usize,
        downtime: f64,
        play: &Play,
        result: &mut PlayResult,
    ) -> Result<(), StopReason> {
        let plan = &self.fleet.plan;
        let gateways: Vec<usize> = plan.gateways_in_zone(zone).collect();
        let machines = 0..plan.control_machines;
        let machines: Vec<usize> =
            machines.filter(|machine| plan.zone_of_control_machine(*machine) == zone).collect();
        self.fail_and_restart(&gateways, &machines, downtime, play, result)
    }

    /// Kills gateways and control machines at once. Restarts them when all others have detected the failure and applied
    /// the changes proposed meanwhile, or after `downtime` seconds.
    fn fail_and_restart(
        &mut self,
        gateways: &[usize],
        control_machines: &[usize],
        downtime: f64,
        play: &Play,
        result: &mut PlayResult,
    ) -> Result<(), StopReason> {
        let started_at = clock();
        self.fleet.kill_control_machines(control_machines);
        self.fleet.kill_gateways(gateways)?;
        self.await_completion(Fleet::are_transitions_complete)?;
        self.propose_changes(play)?;
        let has_membership = self.fleet.plan.runs(Component::Membership);
        let has_changes = play.changes > 0;
        self.wait_for(started_at + downtime, |fleet| {
            let is_known =
                if has_membership { fleet.trackers.is_membership_converged() } else { has_changes };
            is_known && fleet.trackers.changes.is_converged()
        })?;
        if has_membership {
            let membership = &self.fleet.trackers.membership;
            result.failure_detection = Some(FailureDetection {
                detected_by: membership.converged_observers(),
                total: membership.running_count(),
            });
        }
        self.fleet.restart_control_machines()?;
        self.for_each_gateway(gateways, 0.0, Fleet::start_gateway)
    }

    /// Partitions two regions from each other for `duration` seconds.
    pub(super) fn partition(
        &mut self,
        regions: RegionPair,
        duration: f64,
        play: &Play,
    ) -> Result<(), StopReason> {
        let plan = &self.fleet.plan;
        let region_of: Vec<usize> = (0..plan.gateways).map(|gateway| plan.region_of(gateway)).collect();
        let started_at = clock();
        self.fleet.links.partition_regions(regions);
        self.fleet
            .trackers
            .membership
            .begin_partition(move |a, b| regions.connects(region_of[a], region_of[b]));
        let outcome = self.propose_changes(play).and_then(|()| self.wait_until(started_at + duration));
        self.fleet.links.heal_partition(regions);
        self.fleet.trackers.membership.end_partition(clock());
        outcome
    }

    /// Kills the leader of the control machines when half of the play's changes are proposed, and restarts it
    /// `downtime` seconds later.
    pub(super) fn fail_leader(
        &mut self,
        downtime: f64,
        play: &Play,
        result: &mut PlayResult,
    ) -> Result<(), StopReason> {
        self.propose_changes(play)?;
        let halfway = clock() + LOOKUP_LEAD_SECONDS + 0.5 * play.proposal_period;
        self.wait_until(halfway)?;
        let leader = self.fleet.leader()?.ok_or(ProcessFailure::NoLeader)?;
        self.fleet.kill_control_machines(&[leader]);
        result.killed_control_machine = Some(leader);
        self.wait_until(halfway + downtime)?;
        self.fleet.restart_control_machines()
    }
}
