//! What is chosen: counted from what each replica says that it accepted, applied in order, and fetched from others where
//! it was missed.

use crate::acceptor::SLOTS;
use crate::collect::{Collection, Page};
use crate::entry::{Entry, Logged};
use crate::message::{Ballot, Message};
use crate::replica::{Record, Replica};
use std::collections::BTreeMap;

/// Ballots counted at one number at most: the highest.
const BALLOTS: usize = 8;

/// Pages that are asked for at a time.
const PAGES: u8 = 8;

/// Seconds between two fetches at least, however fast pages come.
const BREATH: f64 = 0.05;

#[derive(Clone, Debug, Default)]
pub(crate) struct Learner {
    /// By number and ballot, who accepted: a bit for each replica.
    heard: BTreeMap<u64, BTreeMap<Ballot, u8>>,
    /// The ballot at which a number is known to be chosen, where what was chosen may not be known yet.
    chosen: BTreeMap<u64, Ballot>,
}

impl Learner {
    /// Who accepted at that number under that ballot, as bits.
    pub fn accepted(&self, number: u64, ballot: Ballot) -> u8 {
        self.heard.get(&number).and_then(|by| by.get(&ballot)).copied().unwrap_or(0)
    }

    fn forget(&mut self, head: u64) {
        self.heard = self.heard.split_off(&(head + 1));
        self.chosen = self.chosen.split_off(&(head + 1));
    }
}

/// How it takes over from others what it missed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetching {
    /// When it may be asked for again.
    again: f64,
    /// A compacted log in pages, and from whom.
    collection: Option<(usize, Collection)>,
}

impl Replica {
    /// Replica `n` accepted what that ballot's owner proposed at that number.
    pub(crate) fn accepted(&mut self, n: usize, ballot: Ballot, number: u64) {
        let head = self.log.state.head();
        if number <= head || number > head + 2 * SLOTS {
            return;
        }
        let by = self.learner.heard.entry(number).or_default();
        *by.entry(ballot).or_default() |= 1 << n;
        if by.len() > BALLOTS {
            by.pop_first();
        }
        if by.get(&ballot).is_some_and(|who| who.count_ones() as usize >= self.quorum) {
            self.learner.chosen.insert(number, ballot);
        }
    }

    /// Applies what is chosen, in order.
    pub(crate) fn advance(&mut self) {
        loop {
            let next = self.log.state.head() + 1;
            let Some(&ballot) = self.learner.chosen.get(&next) else { return };
            let Some(change) = self.acceptor.value(next, ballot).cloned() else { return };
            if let Some(logged) = self.commit(Entry { number: next, change }) {
                self.push(&logged);
            }
        }
    }

    /// The next entry is chosen.
    fn commit(&mut self, entry: Entry) -> Option<Logged> {
        let id = entry.change.id;
        let logged = self.log.append(entry.clone(), self.clock.now)?;
        let head = logged.entry.number;
        self.store(Record::Chosen(entry));
        self.passed(head);
        self.settle(head, id);
        Some(logged)
    }

    /// All up to that number is applied.
    fn passed(&mut self, head: u64) {
        self.acceptor.forget(head);
        self.learner.forget(head);
        if self.fetching.collection.as_ref().is_some_and(|(_, c)| c.cursor < head) {
            self.fetching.collection = None;
        }
    }

    /// Whether it was heard within a second.
    fn fresh(&self, n: usize) -> bool {
        self.others[n].heard.is_some_and(|at| self.clock.now - at < 1.0)
    }

    /// Who is furthest, where that is further than here: of those that did not fall silent, where there are any.
    fn furthest(&self) -> Option<usize> {
        let all = (0..self.others.len()).filter(|n| self.others[*n].standing.head > self.log.state.head());
        all.max_by_key(|n| (self.fresh(*n), self.others[*n].standing.head))
    }

    /// Asks for what it lacks.
    pub(crate) fn fetch_on(&mut self) {
        let Some(n) = self.furthest() else {
            self.fetching.collection = None;
            return;
        };
        if self.clock.now < self.fetching.again {
            return;
        }
        self.fetching.again = self.clock.now + self.terms.again;
        let head = self.log.state.head();
        if self.fetching.collection.as_ref().is_some_and(|(from, _)| !self.fresh(*from)) {
            self.fetching.collection = None;
        }
        let fetch = match &self.fetching.collection {
            Some((from, c)) => (*from, Message::Fetch { after: c.cursor, pages: PAGES, compacted: true }),
            None => (n, Message::Fetch { after: head, pages: PAGES, compacted: false }),
        };
        self.send_to(fetch.0, fetch.1);
    }

    pub(crate) fn fetch_due(&self) -> f64 {
        if self.furthest().is_some() { self.fetching.again } else { f64::INFINITY }
    }

    /// Entries that are chosen, as another replica has them. They are late: followers had them from others, or poll.
    pub(crate) fn log_heard(&mut self, entries: Vec<Logged>) {
        for logged in entries {
            if logged.entry.number != self.log.state.head() + 1 {
                continue;
            }
            if self.log.state.digest_after(&logged.entry) != logged.digest {
                self.tally.conflicts += 1;
                return;
            }
            self.commit(logged.entry);
            self.fetching.again = self.fetching.again.min(self.clock.now + BREATH);
        }
    }

    /// A page of the compacted log.
    pub(crate) fn page_heard(&mut self, n: usize, page: Page) {
        let head = self.log.state.head();
        if self.fetching.collection.is_none() && page.after == head && page.told.0 > head {
            self.fetching.collection = Some((n, Collection::after(head)));
        }
        let Some((from, collection)) = self.fetching.collection.as_mut() else { return };
        if *from != n {
            return;
        }
        match collection.take(page) {
            Ok(true) => self.fetching.again = self.fetching.again.min(self.clock.now + BREATH),
            Ok(false) => return,
            Err(_) => {
                self.tally.conflicts += 1;
                self.fetching.collection = None;
                return;
            }
        }
        let Some((head, digest)) = collection.whole else { return };
        let entries = std::mem::take(&mut collection.entries);
        self.fetching.collection = None;
        if self.log.state.digest_with(&entries) != digest {
            self.tally.conflicts += 1;
            return;
        }
        let entries: Vec<_> = entries.into_iter().map(|(number, change)| Entry { number, change }).collect();
        entries.iter().for_each(|entry| self.store(Record::Held(entry.clone())));
        self.store(Record::Head(head, digest));
        self.log.install(entries, head);
        self.passed(head);
        self.settle_all();
    }
}
