//! The replicas as a follower knows them: what each told, whom it follows, and what enough of them tell alike.

use crate::entry::LoggedEntry;
use crate::message::Message;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Replicas that a follower follows: with one silent and one that lies the third and the next still agree soon.
pub(crate) const FOLLOWED_REPLICAS: usize = 3;

/// Numbers above what is in force here that are kept of what each replica told.
pub(crate) const MAX_ENTRIES_AHEAD: u64 = 256;

/// Digests kept of what each replica told.
const MAX_DIGESTS: usize = 512;

/// Seconds between two polls of a replica that was passed over, and seconds for which one is passed over that told
/// other than the rest.
const PASSED_OVER_POLL_INTERVAL: f64 = 5.0;
const DISTRUST_DURATION: f64 = 60.0;

/// Polls of which an answer counts.
const MAX_PENDING_POLLS: usize = 16;

#[derive(Clone, Debug)]
struct PendingPoll {
    request_id: u64,
    at: f64,
    queried_number: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Source {
    pub at: SocketAddr,
    pub last_received_at: Option<f64>,
    /// When the first poll was sent that was not answered since.
    unanswered: Option<f64>,
    silent: bool,
    distrusted: f64,
    pub poll_at: f64,
    last_polled_at: f64,
    pending_polls: VecDeque<PendingPoll>,
    pub head: u64,
    /// As of when that head was the latest, and which head.
    confirmed_at: Option<(f64, u64)>,
    /// It is further on and its log doesn't reach back to here.
    pub has_gap: bool,
    /// Entries above what is in force here, as it told them.
    entries: BTreeMap<u64, LoggedEntry>,
    /// Digests by number, the highest that were told.
    digests: BTreeMap<u64, u64>,
    pub conflicts: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Sources {
    pub all: Vec<Source>,
    /// By rank for this follower.
    rank_order: Vec<usize>,
    /// As many must tell the same.
    pub required: usize,
}

impl Sources {
    pub fn new(name: &str, replicas: Vec<SocketAddr>, now: f64) -> Self {
        let source = |at| Source {
            at,
            last_received_at: None,
            unanswered: None,
            silent: false,
            distrusted: f64::NEG_INFINITY,
            poll_at: now,
            last_polled_at: f64::NEG_INFINITY,
            pending_polls: VecDeque::new(),
            head: 0,
            confirmed_at: None,
            has_gap: false,
            entries: BTreeMap::new(),
            digests: BTreeMap::new(),
            conflicts: 0,
        };
        // Rendezvous: each follower has its own order, and a replica's followers go to all others alike when it falls
        // silent.
        let weight = |n: &usize| xxh3_64(format!("{name} {}", replicas[*n]).as_bytes());
        let mut rank_order: Vec<usize> = (0..replicas.len()).collect();
        rank_order.sort_by_key(|n| std::cmp::Reverse(weight(n)));
        let required = replicas.len().min(2);
        Self { all: replicas.into_iter().map(source).collect(), rank_order, required }
    }

    /// Whom it follows: the first by rank of those that are neither silent nor in doubt, and then the others.
    pub fn followed(&self, now: f64) -> Vec<usize> {
        let mut rank_order = self.rank_order.clone();
        rank_order.sort_by_key(|n| {
            let source = &self.all[*n];
            2 * u8::from(now < source.distrusted) + u8::from(source.silent)
        });
        rank_order.truncate(FOLLOWED_REPLICAS);
        rank_order
    }

    pub fn position(&self, at: SocketAddr) -> Option<usize> {
        self.all.iter().position(|source| source.at == at)
    }

    /// Marks those silent that did not answer for so long.
    pub fn mark_silent(&mut self, now: f64, silent: f64) {
        for source in &mut self.all {
            source.silent |= source.unanswered.is_some_and(|since| now >= since + silent);
        }
    }

    /// The process stood still: nobody was silent meanwhile.
    pub fn reset_after_pause(&mut self, now: f64) {
        self.all.iter_mut().filter(|s| s.unanswered.is_some()).for_each(|s| s.unanswered = Some(now));
    }

    /// Whom to poll now: those followed, and now and then those passed over.
    pub fn due(&self, now: f64) -> Vec<usize> {
        let followed = self.followed(now);
        let due = |n: &usize| self.poll_time(*n, &followed) <= now;
        (0..self.all.len()).filter(due).collect()
    }

    fn poll_time(&self, n: usize, followed: &[usize]) -> f64 {
        let source = &self.all[n];
        match (followed.contains(&n), source.silent) {
            (true, _) => source.poll_at,
            (false, true) => source.last_polled_at + PASSED_OVER_POLL_INTERVAL,
            (false, false) => f64::INFINITY,
        }
    }

    pub fn next_poll(&self, now: f64) -> f64 {
        let followed = self.followed(now);
        (0..self.all.len()).map(|n| self.poll_time(n, &followed)).fold(f64::INFINITY, f64::min)
    }

    /// When one of them counts as silent unless it answers.
    pub fn next_silence(&self, silent: f64) -> f64 {
        let waited = self.all.iter().filter(|s| !s.silent).filter_map(|s| s.unanswered);
        waited.map(|since| since + silent).fold(f64::INFINITY, f64::min)
    }

    /// A poll goes out.
    pub fn record_poll(&mut self, n: usize, now: f64, request_id: u64, queried_number: u64, next: f64) {
        let source = &mut self.all[n];
        if source.pending_polls.len() == MAX_PENDING_POLLS {
            source.pending_polls.pop_front();
        }
        source.pending_polls.push_back(PendingPoll { request_id, at: now, queried_number });
        source.unanswered.get_or_insert(now);
        (source.last_polled_at, source.poll_at) = (now, next);
    }

    /// Polls those followed as soon as that time after their last poll, where they would not be polled before.
    pub fn poll_soon(&mut self, now: f64, after: f64) {
        for n in self.followed(now) {
            let source = &mut self.all[n];
            source.poll_at = source.poll_at.min((source.last_polled_at + after).max(now));
        }
    }

    /// The answer to a poll; whether it is one. Each counts once.
    pub fn on_reply(&mut self, n: usize, now: f64, own_head: u64, request_id: u64, reply: &Message) -> bool {
        let Message::PollReply { head, digest, confirmed_age_ms, queried_digest, entries, .. } = reply else {
            return false;
        };
        let source = &mut self.all[n];
        let Some(index) = source.pending_polls.iter().position(|a| a.request_id == request_id) else {
            return false;
        };
        // What was asked before is not waited for any more.
        let Some(poll) = source.pending_polls.drain(..=index).next_back() else { return false };
        source.last_received_at = Some(now);
        source.unanswered = source.pending_polls.front().map(|a| a.at);
        source.silent = false;
        source.head = *head;
        source.confirmed_at =
            confirmed_age_ms.map(|confirmed_age_ms| (poll.at - confirmed_age_ms as f64 / 1e3, *head));
        source.has_gap = *head > own_head && entries.is_empty();
        source.record_digest(*head, *digest);
        if let Some(digest) = queried_digest {
            source.record_digest(poll.queried_number, *digest);
        }
        true
    }

    /// A replica told an entry.
    pub fn record_entry(&mut self, n: usize, own_head: u64, logged: LoggedEntry) {
        let number = logged.entry.number;
        if number <= own_head || number > own_head + MAX_ENTRIES_AHEAD {
            return;
        }
        let source = &mut self.all[n];
        source.head = source.head.max(number);
        source.record_digest(number, logged.digest);
        source.entries.insert(number, logged);
    }

    /// What enough of them told alike at that number.
    pub fn confirmed_entry(&self, number: u64) -> Option<LoggedEntry> {
        let entries: Vec<_> = self.all.iter().filter_map(|s| s.entries.get(&number)).collect();
        let enough = |l: &&&LoggedEntry| entries.iter().filter(|other| *other == *l).count() >= self.required;
        entries.iter().find(enough).map(|l| (*l).clone())
    }

    /// The digest at that number that enough of them told alike.
    pub fn confirmed_digest(&self, number: u64) -> Option<u64> {
        let digests: Vec<_> = self.all.iter().filter_map(|s| s.digests.get(&number)).collect();
        let enough = |d: &&&u64| digests.iter().filter(|other| *other == *d).count() >= self.required;
        digests.iter().find(enough).map(|d| **d)
    }

    /// Finds those that told another digest at a number than is vouched, or another entry, once each time they told it.
    pub fn distrust_contradicting(
        &mut self,
        now: f64,
        number: u64,
        digest: u64,
        entry: Option<&LoggedEntry>,
    ) {
        for n in 0..self.all.len() {
            let source = &self.all[n];
            let digest = source.digests.get(&number).is_some_and(|reported| *reported != digest);
            let entry = entry
                .is_some_and(|entry| source.entries.get(&number).is_some_and(|reported| reported != entry));
            if digest || entry {
                self.distrust(n, now);
            }
        }
    }

    /// It told what can't be: it is passed over for a while and what it told is forgotten.
    pub fn distrust(&mut self, n: usize, now: f64) {
        let source = &mut self.all[n];
        source.conflicts += 1;
        source.distrusted = now + DISTRUST_DURATION;
        source.entries.clear();
        source.digests.clear();
        source.has_gap = false;
    }

    /// All up to there is in force.
    pub fn forget(&mut self, own_head: u64) {
        for source in &mut self.all {
            source.entries = source.entries.split_off(&(own_head + 1));
        }
    }

    /// The highest head that enough of them tell of.
    pub fn known(&self) -> u64 {
        let mut heads: Vec<u64> = self.all.iter().map(|s| s.head).collect();
        heads.sort_by(|a, b| b.cmp(a));
        heads.get(self.required - 1).copied().unwrap_or(0)
    }

    /// Whether enough of them say that after that time nothing was committed up to that number: what is in force here is
    /// then of another log.
    pub fn never_reached(&self, own_head: u64, since: f64) -> bool {
        let below = |s: &&Source| s.confirmed_at.is_some_and(|(at, head)| at > since && head < own_head);
        self.all.iter().filter(below).count() >= self.required
    }

    pub fn distrusted(&self, n: usize, now: f64) -> bool {
        now < self.all[n].distrusted
    }

    /// As of when enough of them say that nothing beyond that number was committed.
    pub fn confirmed_at(&self, own_head: u64) -> Option<f64> {
        let mut times: Vec<f64> = self
            .all
            .iter()
            .filter_map(|s| s.confirmed_at)
            .filter(|(_, head)| *head <= own_head)
            .map(|s| s.0)
            .collect();
        times.sort_by(|a, b| b.total_cmp(a));
        times.get(self.required - 1).copied()
    }
}

impl Source {
    /// The lowest numbers go first. A replica that tells of many that never were forgets its own.
    fn record_digest(&mut self, number: u64, digest: u64) {
        self.digests.insert(number, digest);
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_first();
        }
    }
}
