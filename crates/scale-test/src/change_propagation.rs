//! Which changes were made, and since when each gateway has them in force: told of proposals, what became of
//! them and what gateways say, it knows how long each took. Free of I/O; times are seconds on one clock.

use crate::distribution::ConvergenceSamples;
use std::collections::BTreeMap;

/// What a play's changes came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChangeOutcomes {
    pub proposed: usize,
    /// Their numbers in the log are known.
    pub committed_count: usize,
    /// Of those that were not made, or are not known to have been, which and why.
    pub uncommitted: Vec<String>,
    /// From a proposal until its author knew that it is made.
    pub commit_times: ConvergenceSamples,
    /// From a proposal until it was in force at a gateway that ran all the while, of all pairs.
    pub propagation_times: ConvergenceSamples,
    /// Gateways that never had one of them in force, though they ran.
    pub gateways_without: usize,
    /// From a gateway's beginning until it had in force all that was made before.
    pub catch_up_times: ConvergenceSamples,
}

#[derive(Clone, Debug)]
struct Proposal {
    at: f64,
    number: Option<u64>,
}

/// The book of one run.
pub struct ChangePropagation {
    /// Since when each runs.
    began: Vec<Option<f64>>,
    /// Of each the numbers up to which all was in force, with when that was first so, both rising.
    held: Vec<Vec<(u64, f64)>>,
    /// Proposals of this play by who they are; those not yet answered.
    proposals: BTreeMap<usize, Proposal>,
    open: usize,
    /// All that were made before this play: when proposed, and numbers.
    former: Vec<(f64, u64)>,
    since: f64,
    made: ChangeOutcomes,
}

impl ChangePropagation {
    pub fn new(gateways: usize, now: f64) -> Self {
        Self {
            began: vec![None; gateways],
            held: vec![Vec::new(); gateways],
            proposals: BTreeMap::new(),
            open: 0,
            former: Vec::new(),
            since: now,
            made: ChangeOutcomes::default(),
        }
    }

    pub fn record_start(&mut self, gateway: usize, at: f64) {
        self.began[gateway] = Some(at);
        self.held[gateway].clear();
    }

    pub fn record_stop(&mut self, gateway: usize) {
        self.began[gateway] = None;
        self.held[gateway].clear();
    }

    /// A gateway's desk has taken all up to that number.
    pub fn record_applied(&mut self, gateway: usize, number: u64, at: f64) {
        // What its former process still said is nobody's word now.
        if self.began.get(gateway).copied().flatten().is_none_or(|began| at < began) {
            return;
        }
        let held = &mut self.held[gateway];
        if held.last().is_none_or(|(last, _)| *last < number) {
            held.push((number, at));
        }
    }

    /// So many are going to be proposed.
    pub fn expect_proposals(&mut self, changes: usize) {
        self.open += changes;
        self.made.proposed += changes;
    }

    /// What became of one: its number in the log, or why it has none that is known.
    pub fn record_outcome(&mut self, change: usize, at: f64, answered: f64, outcome: Result<u64, String>) {
        self.open = self.open.saturating_sub(1);
        match outcome {
            Ok(number) => {
                self.proposals.insert(change, Proposal { at, number: Some(number) });
                self.made.committed_count += 1;
                self.made.commit_times.seconds.push((answered - at) as f32);
            }
            Err(why) => {
                self.proposals.insert(change, Proposal { at, number: None });
                self.made.commit_times.never += 1;
                self.made.uncommitted.push(format!("change {change}: {why}"));
            }
        }
    }

    /// Proposals whose end is not known yet.
    pub fn open_proposals(&self) -> usize {
        self.open
    }

    /// The highest number that was made.
    pub fn latest_committed(&self) -> u64 {
        let now = self.proposals.values().filter_map(|p| p.number);
        self.former.iter().map(|(_, number)| *number).chain(now).max().unwrap_or(0)
    }

    pub fn running_count(&self) -> usize {
        self.began.iter().flatten().count()
    }

    /// How many of those that run have in force all that was made.
    pub fn up_to_date_count(&self) -> usize {
        let latest = self.latest_committed();
        let current = |(began, held): (&Option<f64>, &Vec<(u64, f64)>)| {
            began.is_some() && held.last().map_or(0, |(number, _)| *number) >= latest
        };
        self.began.iter().zip(&self.held).filter(|pair| current(*pair)).count()
    }

    /// Whether nothing is open and all that run are current.
    pub fn is_converged(&self) -> bool {
        self.open == 0 && self.up_to_date_count() == self.running_count()
    }

    /// What came of this play, which ends.
    pub fn take_outcomes(&mut self, now: f64) -> ChangeOutcomes {
        let mut made = std::mem::take(&mut self.made);
        // Told of none by the end, an author is as one who does not know.
        if self.open > 0 {
            made.uncommitted.push(format!("{} are not answered at the end of the play", self.open));
            made.commit_times.never += std::mem::take(&mut self.open);
        }
        let proposals = std::mem::take(&mut self.proposals);
        let made_now: Vec<(f64, u64)> = proposals.values().filter_map(|p| Some((p.at, p.number?))).collect();
        for (began, held) in self.began.iter().zip(&self.held) {
            let Some(began) = *began else { continue };
            let since = |number: u64| held.iter().find(|(n, _)| *n >= number).map(|(_, at)| *at);
            let mut lacks = false;
            for (at, number) in made_now.iter().filter(|(at, _)| *at >= began) {
                match since(*number) {
                    Some(held) => made.propagation_times.seconds.push((held - at) as f32),
                    None => {
                        made.propagation_times.never += 1;
                        lacks = true;
                    }
                }
            }
            made.gateways_without += usize::from(lacks);
            let before = self.former.iter().chain(&made_now).filter(|(at, _)| *at < began);
            let target = before.map(|(_, number)| *number).max();
            if let Some(target) = target.filter(|_| began >= self.since) {
                match since(target) {
                    Some(held) => made.catch_up_times.seconds.push((held - began).max(0.0) as f32),
                    None => made.catch_up_times.never += 1,
                }
            }
        }
        for held in &mut self.held {
            held.drain(..held.len().saturating_sub(1));
        }
        self.former.extend(made_now);
        self.since = now;
        made
    }
}
