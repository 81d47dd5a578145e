//! Which configuration changes were committed, and since when each gateway has applied them. It is notified of proposals,
//! of their outcomes and of what gateways report, and measures how long each change took. It does no I/O; times are
//! seconds on one clock.

use crate::distribution::ConvergenceSamples;
use crate::proposal::ProposalError;
use std::collections::BTreeMap;
use std::fmt;

/// A change, or several, that are not known to be committed. Its text is part of the report's JSON.
#[derive(Clone, Debug, PartialEq)]
pub enum Uncommitted {
    /// One change, and why.
    Change {
        /// Its number among all changes of the run.
        change: usize,
        /// Why it is not.
        error: ProposalError,
    },
    /// Changes whose authors had no answer when the play ended.
    Open {
        /// How many there are.
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

/// What came of the changes of a play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeOutcomes {
    /// Changes that were proposed.
    pub proposed: usize,
    /// Changes that are known to be committed.
    pub committed_count: usize,
    /// Changes that are not known to be committed.
    pub uncommitted: Vec<Uncommitted>,
    /// Seconds from a proposal until its author knew that it is committed.
    pub commit_times: ConvergenceSamples,
    /// Seconds from a proposal until it was applied, for each pair of a change and a gateway that ran all the while.
    pub propagation_times: ConvergenceSamples,
    /// Gateways that never applied one of the changes, though they ran.
    pub gateways_missing_changes: usize,
    /// Seconds from the start of a gateway until it had applied all that was committed before.
    pub catch_up_times: ConvergenceSamples,
}

/// A change that is known to be committed.
#[derive(Clone, Copy, Debug)]
struct CommittedChange {
    proposed_at: f64,
    number: u64,
}

/// A gateway applied all changes up to a number.
#[derive(Clone, Copy, Debug)]
struct AppliedPosition {
    number: u64,
    at: f64,
}

/// What is known of one gateway.
#[derive(Clone, Debug, Default)]
struct GatewayProgress {
    /// When its process started, if it runs.
    started_at: Option<f64>,
    /// What it has applied; numbers and times rise.
    applied: Vec<AppliedPosition>,
}

impl GatewayProgress {
    fn applied_number(&self) -> u64 {
        self.applied.last().map_or(0, |position| position.number)
    }

    /// When it had first applied all changes up to a number.
    fn applied_at(&self, number: u64) -> Option<f64> {
        self.applied.iter().find(|position| position.number >= number).map(|position| position.at)
    }
}

/// Follows the configuration changes of one run.
pub struct ChangePropagation {
    gateways: Vec<GatewayProgress>,
    /// Changes of this play that are committed, by their numbers among all of the run.
    committed: BTreeMap<usize, CommittedChange>,
    /// Proposals of this play whose outcome is not known.
    open_proposals: usize,
    /// Changes of the plays before.
    committed_before: Vec<CommittedChange>,
    /// When this play began.
    play_started_at: f64,
    outcomes: ChangeOutcomes,
}

impl ChangePropagation {
    /// A fleet of that size of which no gateway runs.
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

    /// A gateway started.
    pub fn record_start(&mut self, gateway: usize, at: f64) {
        self.gateways[gateway] = GatewayProgress { started_at: Some(at), applied: Vec::new() };
    }

    /// A gateway stopped.
    pub fn record_stop(&mut self, gateway: usize) {
        self.gateways[gateway] = GatewayProgress::default();
    }

    /// A gateway's dispatcher has applied all changes up to a number.
    pub fn record_applied(&mut self, gateway: usize, number: u64, at: f64) {
        let Some(progress) = self.gateways.get_mut(gateway) else { return };
        // A report of an earlier process of this gateway may arrive late.
        let is_current_process = progress.started_at.is_some_and(|started_at| at >= started_at);
        let is_newer = progress.applied.last().is_none_or(|last| last.number < number);
        if is_current_process && is_newer {
            progress.applied.push(AppliedPosition { number, at });
        }
    }

    /// More changes are going to be proposed.
    pub fn expect_proposals(&mut self, changes: usize) {
        self.open_proposals += changes;
        self.outcomes.proposed += changes;
    }

    /// The author of a change knows its outcome: its number in the log, or why it has none that is known.
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

    /// Proposals whose outcome is not known yet.
    #[must_use]
    pub fn open_proposals(&self) -> usize {
        self.open_proposals
    }

    /// The highest number that is known to be committed; 0 where there is none.
    #[must_use]
    pub fn latest_committed(&self) -> u64 {
        let all = self.committed_before.iter().chain(self.committed.values());
        all.map(|change| change.number).max().unwrap_or(0)
    }

    /// Gateways that run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.gateways.iter().filter(|gateway| gateway.started_at.is_some()).count()
    }

    /// Gateways that run and have applied all that is known to be committed.
    #[must_use]
    pub fn up_to_date_count(&self) -> usize {
        let latest = self.latest_committed();
        let is_up_to_date =
            |gateway: &&GatewayProgress| gateway.started_at.is_some() && gateway.applied_number() >= latest;
        self.gateways.iter().filter(is_up_to_date).count()
    }

    /// Whether all outcomes are known, and all that run have applied all changes.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        self.open_proposals == 0 && self.up_to_date_count() == self.running_count()
    }

    /// Ends a play, and gives what came of its changes.
    pub fn take_outcomes(&mut self, now: f64) -> ChangeOutcomes {
        let mut outcomes = std::mem::take(&mut self.outcomes);
        // An author without an answer by the end is as one that does not know.
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

    /// Of each gateway the latest application is enough once the play's times are taken.
    fn drop_superseded_positions(&mut self) {
        for gateway in &mut self.gateways {
            let superseded = gateway.applied.len().saturating_sub(1);
            gateway.applied.drain(..superseded);
        }
    }
}

/// Adds how long each change took that was proposed while a gateway ran.
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

/// Adds how long a gateway took from its start until it had applied all changes that were proposed before.
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
