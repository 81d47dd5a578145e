//! Bounds that a run can break, and the texts by which reports name them.

use super::figures::format_figure;
use super::final_state::Agreement;

/// A bound that a run broke: which, by how much, where. Its text is part of the report's JSON.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BrokenBound {
    /// The run was stopped from outside.
    #[error("the run was stopped")]
    Stopped,
    /// The run took longer than it may.
    #[error("the run was not over after its limit of {limit} s")]
    TimeLimit {
        /// Seconds that the run may take.
        limit: f64,
    },
    /// The processes of the run had more memory than they may.
    #[error("memory of the run: {gigabytes:.1} GB where {limit_gb} GB are its most")]
    MemoryLimit {
        /// What they had, in GB.
        gigabytes: f64,
        /// What they may have, in GB.
        limit_gb: f64,
    },
    /// A process of the run failed.
    #[error("a process failed: {reason}")]
    ProcessFailed {
        /// Which, and how.
        reason: String,
    },
    /// The fleet did not converge in time.
    #[error("never settled in {play}: {known_to_all} of {total} believed by all after {waited:.1} s")]
    NotConverged {
        /// The play's label.
        play: String,
        /// Gateways of which all others had the correct view.
        known_to_all: usize,
        /// Gateways that ran.
        total: usize,
        /// Seconds for which convergence was waited for.
        waited: f64,
    },
    /// Some changes are not known to be committed.
    #[error("changes in {play}: {committed} of {proposed} are known to be made; {first}")]
    Uncommitted {
        /// The play's label.
        play: String,
        /// Changes that are known to be committed.
        committed: usize,
        /// Changes that were proposed.
        proposed: usize,
        /// The first that is not known to be committed, and why.
        first: String,
    },
    /// Some gateways never applied a change that was committed while they ran.
    #[error(
        "changes in {play}: never in force, {never} times of a change and a gateway, at {gateways} gateways"
    )]
    NeverApplied {
        /// The play's label.
        play: String,
        /// Pairs of a change and a gateway.
        never: usize,
        /// Gateways.
        gateways: usize,
    },
    /// Some gateways never caught up after a restart.
    #[error("changes in {play}: {gateways} that began anew never had all that was made before")]
    NeverCaughtUp {
        /// The play's label.
        play: String,
        /// Gateways that did not.
        gateways: usize,
    },
    /// A change was applied too late somewhere.
    #[error(
        "known.change in {play}: {} s where {} are granted, later at {late} of {total} changes and gateways",
        format_figure(*worst), format_figure(*limit)
    )]
    AppliedTooLate {
        /// The play's label.
        play: String,
        /// Seconds of the slowest.
        worst: f64,
        /// Seconds that it may take.
        limit: f64,
        /// Pairs of a change and a gateway that took longer.
        late: usize,
        /// All such pairs.
        total: usize,
    },
    /// Control used more of a resource than it may.
    #[error(
        "control.{resource} in {play}: {} {unit} at gateway-{gateway} where {} are granted, over it at {over} of {total}",
        format_figure(*worst), format_figure(*limit)
    )]
    ControlCost {
        /// The resource, by its name in JSON.
        resource: &'static str,
        /// The unit of the figures.
        unit: &'static str,
        /// The play's label.
        play: String,
        /// The gateway that used most.
        gateway: usize,
        /// What it used.
        worst: f64,
        /// What it may use.
        limit: f64,
        /// Gateways that used more than they may.
        over: usize,
        /// All gateways that were measured.
        total: usize,
    },
    /// Gateways or control machines have applied different changes at the end.
    #[error(
        "state: {} of {} gateways and {} of {} control machines are at number {number} with digest {digest:016x}",
        gateways.agreeing, gateways.total, control_machines.agreeing, control_machines.total
    )]
    StateDiffers {
        /// Gateways that are at the most common state.
        gateways: Agreement,
        /// Control machines that are at it.
        control_machines: Agreement,
        /// Its number.
        number: u64,
        /// Its digest.
        digest: u64,
    },
    /// All lack a change that was committed.
    #[error("state: all are at number {number}, and {committed} was made")]
    StateBehind {
        /// The number that all are at.
        number: u64,
        /// The highest number that was committed.
        committed: u64,
    },
    /// All gateways together may have used more than a shared budget has.
    #[error(
        "budget {budget}: all together might use {} where there is {}, in {broken} of {seconds} seconds, first in {play}",
        format_figure(*sum), format_figure(*bound)
    )]
    Budget {
        /// The budget's name.
        budget: String,
        /// What all together might use in the worst second.
        sum: f64,
        /// What there is.
        bound: f64,
        /// Seconds in which the sum was over the bound.
        broken: u64,
        /// Seconds that were added up.
        seconds: u64,
        /// The play in which it was first broken.
        play: String,
    },
}
