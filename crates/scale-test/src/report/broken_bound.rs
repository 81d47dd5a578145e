//! Bounds that a run can violate, and their texts in reports.

use super::figures::format_figure;
use super::final_state::Agreement;

/// A bound that a run violated, with the measured value and where it was measured. The text is part of the JSON report.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BrokenBound {
    /// The run was stopped from outside.
    #[error("the run was stopped")]
    Stopped,
    /// The run exceeded its time limit.
    #[error("the run was not over after its limit of {limit} s")]
    TimeLimit {
        /// The limit in seconds.
        limit: f64,
    },
    /// The processes of the run exceeded the memory limit.
    #[error("memory of the run: {gigabytes:.1} GB where {limit_gb} GB are its most")]
    MemoryLimit {
        /// Total resident memory in GB.
        gigabytes: f64,
        /// The limit in GB.
        limit_gb: f64,
    },
    /// A process of the run failed.
    #[error("a process failed: {reason}")]
    ProcessFailed {
        /// Which process failed and how.
        reason: String,
    },
    /// The fleet did not converge in time.
    #[error("never settled in {play}: {known_to_all} of {total} believed by all after {waited:.1} s")]
    NotConverged {
        /// Label of the play.
        play: String,
        /// Number of running gateways that all others considered alive.
        known_to_all: usize,
        /// Number of running gateways.
        total: usize,
        /// Seconds spent waiting for convergence.
        waited: f64,
    },
    /// Some changes are not known to be committed.
    #[error("changes in {play}: {committed} of {proposed} are known to be made; {first}")]
    Uncommitted {
        /// Label of the play.
        play: String,
        /// Number of changes known to be committed.
        committed: usize,
        /// Number of proposed changes.
        proposed: usize,
        /// The first change that is not known to be committed, and why.
        first: String,
    },
    /// Some gateways never applied a change that was committed while they ran.
    #[error(
        "changes in {play}: never in force, {never} times of a change and a gateway, at {gateways} gateways"
    )]
    NeverApplied {
        /// Label of the play.
        play: String,
        /// Number of pairs of a change and a gateway.
        never: usize,
        /// Number of gateways.
        gateways: usize,
    },
    /// Some gateways never caught up after a restart.
    #[error("changes in {play}: {gateways} that began anew never had all that was made before")]
    NeverCaughtUp {
        /// Label of the play.
        play: String,
        /// Number of these gateways.
        gateways: usize,
    },
    /// Some gateway applied a change later than the limit allows.
    #[error(
        "known.change in {play}: {} s where {} are granted, later at {late} of {total} changes and gateways",
        format_figure(*worst), format_figure(*limit)
    )]
    AppliedTooLate {
        /// Label of the play.
        play: String,
        /// Longest time in seconds.
        worst: f64,
        /// The limit in seconds.
        limit: f64,
        /// Number of pairs of a change and a gateway that exceeded the limit.
        late: usize,
        /// Number of all such pairs that were measured.
        total: usize,
    },
    /// The control plane of some gateway exceeded a resource limit.
    #[error(
        "control.{resource} in {play}: {} {unit} at gateway-{gateway} where {} are granted, over it at {over} of {total}",
        format_figure(*worst), format_figure(*limit)
    )]
    ControlCost {
        /// Name of the resource in JSON.
        resource: &'static str,
        /// Unit of the values.
        unit: &'static str,
        /// Label of the play.
        play: String,
        /// The gateway with the highest usage.
        gateway: usize,
        /// Its usage.
        worst: f64,
        /// The limit.
        limit: f64,
        /// Number of gateways that exceeded the limit.
        over: usize,
        /// Number of gateways that were measured.
        total: usize,
    },
    /// Gateways or control machines have applied different changes at the end.
    #[error(
        "state: {} of {} gateways and {} of {} control machines are at number {number} with digest {digest:016x}",
        gateways.agreeing, gateways.total, control_machines.agreeing, control_machines.total
    )]
    StateDiffers {
        /// Gateways in the most common state.
        gateways: Agreement,
        /// Control machines in the most common state.
        control_machines: Agreement,
        /// Number of the most common state.
        number: u64,
        /// Digest of the most common state.
        digest: u64,
    },
    /// All gateways and control machines lack a change that was committed.
    #[error("state: all are at number {number}, and {committed} was made")]
    StateBehind {
        /// Number up to which all have applied changes.
        number: u64,
        /// Highest committed number.
        committed: u64,
    },
    /// All gateways together were allowed to use more than a shared budget provides.
    #[error(
        "budget {budget}: all together might use {} where there is {}, in {broken} of {seconds} seconds, first in {play}",
        format_figure(*sum), format_figure(*bound)
    )]
    Budget {
        /// Name of the budget.
        budget: String,
        /// What all gateways together were allowed in the worst second.
        sum: f64,
        /// The bound in that second.
        bound: f64,
        /// Number of seconds in which the sum exceeded the bound.
        broken: u64,
        /// Number of seconds that were checked.
        seconds: u64,
        /// Label of the play in which the bound was first exceeded.
        play: String,
    },
}
