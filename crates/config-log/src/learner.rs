//! What is chosen: counted from what each replica says that it accepted, applied in order, and fetched from others where
//! it was missed.

use crate::acceptor::ACCEPT_WINDOW;
use crate::collect::{SnapshotAssembly, SnapshotPage};
use crate::entry::{Entry, LoggedEntry};
use crate::message::{Ballot, Message};
use crate::replica::{Record, Replica};
use std::collections::BTreeMap;

/// Ballots counted at one number at most: the highest.
const MAX_BALLOTS_PER_NUMBER: usize = 8;

/// Pages that are asked for at a time.
const PAGES_PER_FETCH: u8 = 8;

/// Seconds between two fetches at least, however fast pages come.
const MIN_FETCH_INTERVAL: f64 = 0.05;

#[derive(Clone, Debug, Default)]
pub(crate) struct Learner {
    /// By number and ballot, who accepted: a bit for each replica.
    votes_by_ballot: BTreeMap<u64, BTreeMap<Ballot, u8>>,
    /// The ballot at which a number is known to be chosen, where what was chosen may not be known yet.
    chosen: BTreeMap<u64, Ballot>,
}

impl Learner {
    /// Who accepted at that number under that ballot, as bits.
    pub fn acceptors(&self, number: u64, ballot: Ballot) -> u8 {
        self.votes_by_ballot.get(&number).and_then(|by| by.get(&ballot)).copied().unwrap_or(0)
    }

    fn discard_through(&mut self, head: u64) {
        self.votes_by_ballot = self.votes_by_ballot.split_off(&(head + 1));
        self.chosen = self.chosen.split_off(&(head + 1));
    }
}

/// How it takes over from others what it missed.
#[derive(Clone, Debug, Default)]
pub(crate) struct CatchUp {
    /// When it may be asked for again.
    fetch_again_at: f64,
    /// A compacted log in pages, and from whom.
    assembly: Option<(usize, SnapshotAssembly)>,
}

impl Replica {
    /// Replica `n` accepted what that ballot's owner proposed at that number.
    pub(crate) fn record_acceptance(&mut self, n: usize, ballot: Ballot, number: u64) {
        let head = self.log.state.head();
        if number <= head || number > head + 2 * ACCEPT_WINDOW {
            return;
        }
        let by = self.learner.votes_by_ballot.entry(number).or_default();
        *by.entry(ballot).or_default() |= 1 << n;
        if by.len() > MAX_BALLOTS_PER_NUMBER {
            by.pop_first();
        }
        if by.get(&ballot).is_some_and(|who| who.count_ones() as usize >= self.quorum) {
            self.learner.chosen.insert(number, ballot);
        }
    }

    /// Applies what is chosen, in order.
    pub(crate) fn apply_chosen(&mut self) {
        loop {
            let next = self.log.state.head() + 1;
            let Some(&ballot) = self.learner.chosen.get(&next) else { return };
            let Some(change) = self.acceptor.value_at(next, ballot).cloned() else { return };
            if let Some(logged) = self.append_chosen(Entry { number: next, change }) {
                self.push_to_followers(&logged);
            }
        }
    }

    /// The next entry is chosen.
    fn append_chosen(&mut self, entry: Entry) -> Option<LoggedEntry> {
        let id = entry.change.id;
        let logged = self.log.append(entry.clone(), self.clock.now)?;
        let head = logged.entry.number;
        self.store(Record::Chosen(entry));
        self.discard_through(head);
        self.settle(head, id);
        Some(logged)
    }

    /// All up to that number is applied.
    fn discard_through(&mut self, head: u64) {
        self.acceptor.discard_through(head);
        self.learner.discard_through(head);
        if self.catch_up.assembly.as_ref().is_some_and(|(_, c)| c.cursor < head) {
            self.catch_up.assembly = None;
        }
    }

    /// Whether it was heard within a second.
    fn heard_recently(&self, n: usize) -> bool {
        self.others[n].last_received_at.is_some_and(|at| self.clock.now - at < 1.0)
    }

    /// Who is furthest, where that is further than here: of those that did not fall silent, where there are any.
    fn most_advanced_replica(&self) -> Option<usize> {
        let all = (0..self.others.len()).filter(|n| self.others[*n].progress.head > self.log.state.head());
        all.max_by_key(|n| (self.heard_recently(*n), self.others[*n].progress.head))
    }

    /// Asks for what it lacks.
    pub(crate) fn fetch_missing(&mut self) {
        let Some(n) = self.most_advanced_replica() else {
            self.catch_up.assembly = None;
            return;
        };
        if self.clock.now < self.catch_up.fetch_again_at {
            return;
        }
        self.catch_up.fetch_again_at = self.clock.now + self.timing.retransmit_interval;
        let head = self.log.state.head();
        if self.catch_up.assembly.as_ref().is_some_and(|(from, _)| !self.heard_recently(*from)) {
            self.catch_up.assembly = None;
        }
        let fetch = match &self.catch_up.assembly {
            Some((from, c)) => {
                (*from, Message::Fetch { after: c.cursor, pages: PAGES_PER_FETCH, snapshot: true })
            }
            None => (n, Message::Fetch { after: head, pages: PAGES_PER_FETCH, snapshot: false }),
        };
        self.send_to(fetch.0, fetch.1);
    }

    pub(crate) fn fetch_deadline(&self) -> f64 {
        if self.most_advanced_replica().is_some() { self.catch_up.fetch_again_at } else { f64::INFINITY }
    }

    /// Entries that are chosen, as another replica has them. They are late: followers had them from others, or poll.
    pub(crate) fn on_log_entries(&mut self, entries: Vec<LoggedEntry>) {
        for logged in entries {
            if logged.entry.number != self.log.state.head() + 1 {
                continue;
            }
            if self.log.state.digest_after(&logged.entry) != logged.digest {
                self.counters.conflicts += 1;
                return;
            }
            self.append_chosen(logged.entry);
            self.catch_up.fetch_again_at =
                self.catch_up.fetch_again_at.min(self.clock.now + MIN_FETCH_INTERVAL);
        }
    }

    /// A page of the compacted log.
    pub(crate) fn on_snapshot_page(&mut self, n: usize, page: SnapshotPage) {
        let head = self.log.state.head();
        if self.catch_up.assembly.is_none() && page.after == head && page.reported.0 > head {
            self.catch_up.assembly = Some((n, SnapshotAssembly::after(head)));
        }
        let Some((from, assembly)) = self.catch_up.assembly.as_mut() else { return };
        if *from != n {
            return;
        }
        match assembly.take(page) {
            Ok(true) => {
                self.catch_up.fetch_again_at =
                    self.catch_up.fetch_again_at.min(self.clock.now + MIN_FETCH_INTERVAL)
            }
            Ok(false) => return,
            Err(_) => {
                self.counters.conflicts += 1;
                self.catch_up.assembly = None;
                return;
            }
        }
        let Some((head, digest)) = assembly.complete else { return };
        let entries = std::mem::take(&mut assembly.entries);
        self.catch_up.assembly = None;
        if self.log.state.digest_with(&entries) != digest {
            self.counters.conflicts += 1;
            return;
        }
        let entries: Vec<_> = entries.into_iter().map(|(number, change)| Entry { number, change }).collect();
        entries.iter().for_each(|entry| self.store(Record::SnapshotEntry(entry.clone())));
        self.store(Record::SnapshotHead(head, digest));
        self.log.install(entries, head);
        self.discard_through(head);
        self.settle_all();
    }
}
