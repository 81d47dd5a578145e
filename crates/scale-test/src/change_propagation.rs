//! Tracks which configuration changes were committed and when each gateway applied them. The caller reports proposals,
//! their outcomes and the applied numbers; the tracker measures how long each change took to propagate. It does no I/O;
//! times are seconds on one clock.

use crate::distribution::ConvergenceSamples;
use crate::proposal::ProposalError;
use std::collections::BTreeMap;
use std::fmt;

/// One or more changes that are not known to be committed. The text is part of the JSON report.
#[derive(Clone, Debug, PartialEq)]
pub enum Uncommitted {
    /// A proposal that failed or whose outcome is unknown.
    Change {
        /// Number of the change within the run.
        change: usize,
        /// Why the change is not known to be committed.
        error: ProposalError,
    },
    /// Proposals without an outcome when the play ended.
    Open {
        /// Number of these proposals.
        changes: usize,
    },
}

impl fmt::Display for Uncommitted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Change { change, error } => write!(f, "change {change}: {error}"),
            Self::Open { changes } => write!(f, "{changes} are not answered at the end of the play"),
        }
    }
}

/// Outcomes and latencies of the changes of one play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeOutcomes {
    /// Number of proposed changes.
    pub proposed: usize,
    /// Number of changes known to be committed.
    pub committed_count: usize,
    /// Changes that are not known to be committed.
    pub uncommitted: Vec<Uncommitted>,
    /// Seconds from each proposal until its author learned that it was committed.
    pub commit_times: ConvergenceSamples,
    /// Seconds from proposal to application, for each pair of a change and a gateway that ran throughout.
    pub propagation_times: ConvergenceSamples,
    /// Gateways that ran throughout and never applied some change.
    pub gateways_missing_changes: usize,
    /// Seconds from the start of a gateway until it had applied all changes proposed before its start.
    pub catch_up_times: ConvergenceSamples,
}

/// A change that is known to be committed.
#[derive(Clone, Copy, Debug)]
struct CommittedChange {
    proposed_at: f64,
    number: u64,
}

/// The time at which a gateway had applied all changes up to a number.
#[derive(Clone, Copy, Debug)]
struct AppliedPosition {
    number: u64,
    at: f64,
}

/// Progress of one gateway.
#[derive(Clone, Debug, Default)]
struct GatewayProgress {
    /// When its process started; `None` if it is not running.
    started_at: Option<f64>,
    /// Applied numbers in order; both numbers and times increase.
    applied: Vec<AppliedPosition>,
}

impl GatewayProgress {
    fn applied_number(&self) -> u64 {
        self.applied.last().map_or(0, |position| position.number)
    }

    /// When it had first applied all changes up to `number`.
    fn applied_at(&self, number: u64) -> Option<f64> {
        self.applied.iter().find(|position| position.number >= number).map(|position| position.at)
    }
}

/// Tracks the configuration changes of one run.
pub struct ChangePropagation {
    gateways: Vec<GatewayProgress>,
    /// Committed changes of the current play, keyed by their number within the run.
    committed: BTreeMap<usize, CommittedChange>,
    /// Proposals of the current play without a known outcome.
    open_proposals: usize,
    /// Committed changes of earlier plays.
    committed_before: Vec<CommittedChange>,
    /// When the current play began.
    play_started_at: f64,
    outcomes: ChangeOutcomes,
}

impl ChangePropagation {
    /// Creates a tracker for a fleet of this size in which no gateway runs yet.
    #[must_use]
    pub fn new(gateways: usize, now: f64) -> Self {
        Self {
            gateways: vec![GatewayProgress::default(); gateways],
            committed: BTreeMap::new(),
            open_proposals: 0,
            committed_before: Vec::new(),
            play_started_at: now,
            outcomes: ChangeOutcomes::default(),
        }
    }

    /// Records the start of a gateway.
    pub fn record_start(&mut self, gateway: usize, at: f64) {
        self.gateways[gateway] = GatewayProgress { started_at: Some(at), applied: Vec::new() };
    }

    /// Records the stop of a gateway.
    pub fn record_stop(&mut self, gateway: usize) {
        self.gateways[gateway] = GatewayProgress::default();
    }

    /// Records that a gateway has applied all changes up to `number`.
    pub fn record_applied(&mut self, gateway: usize, number: u64, at: f64) {
        let Some(progress) = self.gateways.get_mut(gateway) else { return };
        // A report from an earlier process of this gateway may arrive late.
        let is_current_process = progress.started_at.is_some_and(|started_at| at >= started_at);
        let is_newer = progress.applied.last().is_none_or(|last| last.number < number);
        if is_current_process && is_newer {
            progress.applied.push(AppliedPosition { number, at });
        }
    }

    /// Announces proposals, whose outcomes are then awaited.
    pub fn expect_proposals(&mut self, changes: usize) {
        self.open_proposals += changes;
        self.outcomes.proposed += changes;
    }

    /// Records the outcome of a proposal: its number in the log, or why it is not known to be committed.
    pub fn record_outcome(
        &mut self,
        change: usize,
        proposed_at: f64,
        finished_at: f64,
        outcome: Result<u64, ProposalError>,
    ) {
        self.open_proposals = self.open_proposals.saturating_sub(1);
        match outcome {
            Ok(number) => {
                self.committed.insert(change, CommittedChange { proposed_at, number });
                self.outcomes.committed_count += 1;
                self.outcomes.commit_times.seconds.push((finished_at - proposed_at) as f32);
            }
            Err(error) => {
                self.outcomes.commit_times.never += 1;
                self.outcomes.uncommitted.push(Uncommitted::Change { change, error });
            }
        }
    }

    /// Number of proposals without a known outcome.
    #[must_use]
    pub fn open_proposals(&self) -> usize {
        self.open_proposals
    }

    /// Highest number known to be committed, or 0.
    #[must_use]
    pub fn latest_committed(&self) -> u64 {
        let all = self.committed_before.iter().chain(self.committed.values());
        all.map(|change| change.number).max().unwrap_or(0)
    }

    /// Number of running gateways.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.gateways.iter().filter(|gateway| gateway.started_at.is_some()).count()
    }

    /// Number of running gateways that have applied all changes known to be committed.
    #[must_use]
    pub fn up_to_date_count(&self) -> usize {
        let latest = self.latest_committed();
        let is_up_to_date =
            |gateway: &&GatewayProgress| gateway.started_at.is_some() && gateway.applied_number() >= latest;
        self.gateways.iter().filter(is_up_to_date).count()
    }

    /// Whether all outcomes are known and all running gateways have applied all changes.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        self.open_proposals == 0 && self.up_to_date_count() == self.running_count()
    }

    /// Ends the current play and returns the outcomes of its changes.
    pub fn take_outcomes(&mut self, now: f64) -> ChangeOutcomes {
        let mut outcomes = std::mem::take(&mut self.outcomes);
        // A proposal without an answer at the end of the play counts as not known to be committed.
        let open = std::mem::take(&mut self.open_proposals);
        if open > 0 {
            outcomes.uncommitted.push(Uncommitted::Open { changes: open });
            outcomes.commit_times.never += open;
        }
        let committed: Vec<CommittedChange> = std::mem::take(&mut self.committed).into_values().collect();
        for gateway in &self.gateways {
            let Some(started_at) = gateway.started_at else { continue };
            add_propagation(&mut outcomes, gateway, started_at, &committed);
            if started_at >= self.play_started_at {
                let all = self.committed_before.iter().chain(&committed);
                add_catch_up(&mut outcomes.catch_up_times, gateway, started_at, all);
            }
        }
        self.committed_before.extend(committed);
        self.play_started_at = now;
        self.drop_superseded_positions();
        outcomes
    }

    /// Keeps only the latest applied number of each gateway, which suffices once the times of the play are computed.
    fn drop_superseded_positions(&mut self) {
        for gateway in &mut self.gateways {
            let superseded = gateway.applied.len().saturating_sub(1);
            gateway.applied.drain(..superseded);
        }
    }
}

/// Adds the propagation time of each change that was proposed while the gateway was running.
fn add_propagation(
    outcomes: &mut ChangeOutcomes,
    gateway: &GatewayProgress,
    started_at: f64,
    committed: &[CommittedChange],
) {
    let mut misses_any = false;
    for change in committed.iter().filter(|change| change.proposed_at >= started_at) {
        match gateway.applied_at(change.number) {
            Some(at) => outcomes.propagation_times.seconds.push((at - change.proposed_at) as f32),
            None => {
                outcomes.propagation_times.never += 1;
                misses_any = true;
            }
        }
    }
    outcomes.gateways_missing_changes += usize::from(misses_any);
}

/// Adds the time that a gateway needed after its start to apply all changes proposed before its start.
fn add_catch_up<'a>(
    times: &mut ConvergenceSamples,
    gateway: &GatewayProgress,
    started_at: f64,
    committed: impl Iterator<Item = &'a CommittedChange>,
) {
    let before_start = committed.filter(|change| change.proposed_at < started_at);
    let Some(target) = before_start.map(|change| change.number).max() else { return };
    match gateway.applied_at(target) {
        Some(at) => times.seconds.push((at - started_at).max(0.0) as f32),
        None => times.never += 1,
    }
}
