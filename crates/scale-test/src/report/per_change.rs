//! Cost of one configuration change for a gateway.

use super::Report;
use super::control_cost::{ControlCost, FollowerCost};
use super::figures::MemberFigures;
use super::play_result::PlayResult;
use serde::Serialize;

/// Cost of one configuration change for the median gateway.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct CostPerChange {
    /// Processor time in seconds.
    cpu: f64,
    /// Bytes received.
    bytes_in: f64,
    /// Bytes sent.
    bytes_out: f64,
}

/// A play in which the control-plane cost was measured.
struct MeasuredPlay<'a> {
    cost: &'a ControlCost,
    committed_changes: usize,
}

impl<'a> MeasuredPlay<'a> {
    fn of(play: &'a PlayResult) -> Option<Self> {
        let committed_changes = play.changes.as_ref().map_or(0, |outcomes| outcomes.committed_count);
        Some(Self { cost: play.control_cost.as_ref()?, committed_changes })
    }
}

impl Report {
    /// Slope of the median gateway's cost between the last measurement without changes and the last one with changes.
    /// `None` if either is missing.
    pub(super) fn cost_per_change(&self) -> Option<CostPerChange> {
        let last = |with_changes: bool| {
            let mut measured = self.plays.iter().rev().filter_map(MeasuredPlay::of);
            measured.find(|play| (play.committed_changes > 0) == with_changes)
        };
        let (with, without) = (last(true)?, last(false)?);
        let changes_per_second = with.committed_changes as f64 / with.cost.seconds;
        let slope = |figures: fn(&FollowerCost) -> &MemberFigures| {
            let increase =
                figures(&with.cost.follower).median()? - figures(&without.cost.follower).median()?;
            Some(increase / changes_per_second)
        };
        Some(CostPerChange {
            cpu: slope(|cost| &cost.cpu)?,
            bytes_in: slope(|cost| &cost.bytes_in)?,
            bytes_out: slope(|cost| &cost.bytes_out)?,
        })
    }
}
