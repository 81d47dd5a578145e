//! Which changes were made, and since when each gateway has them in force: told of proposals, what became of
//! them and what gateways say, it knows how long each took. Free of I/O; times are seconds on one clock.

use crate::spread::Times;
use std::collections::BTreeMap;

/// What a play's changes came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Made {
    pub proposed: usize,
    /// Their numbers in the log are known.
    pub made: usize,
    /// Of those that were not made, or are not known to have been, which and why.
    pub unmade: Vec<String>,
    /// From a proposal until its author knew that it is made.
    pub committed: Times,
    /// From a proposal until it was in force at a gateway that ran all the while, of all pairs.
    pub change: Times,
    /// Gateways that never had one of them in force, though they ran.
    pub without: usize,
    /// From a gateway's beginning until it had in force all that was made before.
    pub catch_up: Times,
}

#[derive(Clone, Debug)]
struct Proposal {
    at: f64,
    number: Option<u64>,
}

/// The book of one run.
pub struct Changed {
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
    made: Made,
}

impl Changed {
    pub fn new(gateways: usize, now: f64) -> Self {
        Self {
            began: vec![None; gateways],
            held: vec![Vec::new(); gateways],
            proposals: BTreeMap::new(),
            open: 0,
            former: Vec::new(),
            since: now,
            made: Made::default(),
        }
    }

    pub fn began(&mut self, gateway: usize, at: f64) {
        self.began[gateway] = Some(at);
        self.held[gateway].clear();
    }

    pub fn ended(&mut self, gateway: usize) {
        self.began[gateway] = None;
        self.held[gateway].clear();
    }

    /// A gateway's desk has taken all up to that number.
    pub fn said(&mut self, gateway: usize, number: u64, at: f64) {
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
    pub fn expected(&mut self, changes: usize) {
        self.open += changes;
        self.made.proposed += changes;
    }

    /// What became of one: its number in the log, or why it has none that is known.
    pub fn answered(&mut self, change: usize, at: f64, answered: f64, outcome: Result<u64, String>) {
        self.open = self.open.saturating_sub(1);
        match outcome {
            Ok(number) => {
                self.proposals.insert(change, Proposal { at, number: Some(number) });
                self.made.made += 1;
                self.made.committed.seconds.push((answered - at) as f32);
            }
            Err(why) => {
                self.proposals.insert(change, Proposal { at, number: None });
                self.made.committed.never += 1;
                self.made.unmade.push(format!("change {change}: {why}"));
            }
        }
    }

    /// Proposals whose end is not known yet.
    pub fn open(&self) -> usize {
        self.open
    }

    /// The highest number that was made.
    pub fn latest(&self) -> u64 {
        let now = self.proposals.values().filter_map(|p| p.number);
        self.former.iter().map(|(_, number)| *number).chain(now).max().unwrap_or(0)
    }

    pub fn running(&self) -> usize {
        self.began.iter().flatten().count()
    }

    /// How many of those that run have in force all that was made.
    pub fn current(&self) -> usize {
        let latest = self.latest();
        let current = |(began, held): (&Option<f64>, &Vec<(u64, f64)>)| {
            began.is_some() && held.last().map_or(0, |(number, _)| *number) >= latest
        };
        self.began.iter().zip(&self.held).filter(|pair| current(*pair)).count()
    }

    /// Whether nothing is open and all that run are current.
    pub fn settled(&self) -> bool {
        self.open == 0 && self.current() == self.running()
    }

    /// What came of this play, which ends.
    pub fn take(&mut self, now: f64) -> Made {
        let mut made = std::mem::take(&mut self.made);
        // Told of none by the end, an author is as one who does not know.
        if self.open > 0 {
            made.unmade.push(format!("{} are not answered at the end of the play", self.open));
            made.committed.never += std::mem::take(&mut self.open);
        }
        let proposals = std::mem::take(&mut self.proposals);
        let made_now: Vec<(f64, u64)> = proposals.values().filter_map(|p| Some((p.at, p.number?))).collect();
        for (began, held) in self.began.iter().zip(&self.held) {
            let Some(began) = *began else { continue };
            let since = |number: u64| held.iter().find(|(n, _)| *n >= number).map(|(_, at)| *at);
            let mut lacks = false;
            for (at, number) in made_now.iter().filter(|(at, _)| *at >= began) {
                match since(*number) {
                    Some(held) => made.change.seconds.push((held - at) as f32),
                    None => {
                        made.change.never += 1;
                        lacks = true;
                    }
                }
            }
            made.without += usize::from(lacks);
            let before = self.former.iter().chain(&made_now).filter(|(at, _)| *at < began);
            let target = before.map(|(_, number)| *number).max();
            if let Some(target) = target.filter(|_| began >= self.since) {
                match since(target) {
                    Some(held) => made.catch_up.seconds.push((held - began).max(0.0) as f32),
                    None => made.catch_up.never += 1,
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
