//! The replicas as a follower knows them: what each told, whom it follows, and what enough of them tell alike.

use crate::entry::Logged;
use crate::message::Message;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Replicas that a follower follows: with one silent and one that lies the third and the next still agree soon.
pub(crate) const FOLLOWED: usize = 3;

/// Numbers above what is in force here that are kept of what each replica told.
pub(crate) const AHEAD: u64 = 256;

/// Digests kept of what each replica told.
const DIGESTS: usize = 512;

/// Seconds between two polls of a replica that was passed over, and seconds for which one is passed over that told
/// other than the rest.
const TRIED: f64 = 5.0;
const DOUBTED: f64 = 60.0;

/// Polls of which an answer counts.
const POLLS: usize = 16;

#[derive(Clone, Debug)]
struct Asked {
    stamp: u64,
    at: f64,
    about: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Source {
    pub at: SocketAddr,
    pub heard: Option<f64>,
    /// When the first poll was sent that was not answered since.
    unanswered: Option<f64>,
    silent: bool,
    doubted: f64,
    pub poll_at: f64,
    polled: f64,
    asked: VecDeque<Asked>,
    pub head: u64,
    /// As of when that head was the latest, and which head.
    sure: Option<(f64, u64)>,
    /// It is further on and its log doesn't reach back to here.
    pub gap: bool,
    /// Entries above what is in force here, as it told them.
    told: BTreeMap<u64, Logged>,
    /// Digests by number, the highest that were told.
    digests: BTreeMap<u64, u64>,
    pub conflicts: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Sources {
    pub all: Vec<Source>,
    /// By rank for this follower.
    order: Vec<usize>,
    /// As many must tell the same.
    pub need: usize,
}

impl Sources {
    pub fn new(name: &str, replicas: Vec<SocketAddr>, now: f64) -> Self {
        let source = |at| Source {
            at,
            heard: None,
            unanswered: None,
            silent: false,
            doubted: f64::NEG_INFINITY,
            poll_at: now,
            polled: f64::NEG_INFINITY,
            asked: VecDeque::new(),
            head: 0,
            sure: None,
            gap: false,
            told: BTreeMap::new(),
            digests: BTreeMap::new(),
            conflicts: 0,
        };
        // Rendezvous: each follower has its own order, and a replica's followers go to all others alike when it falls
        // silent.
        let weight = |n: &usize| xxh3_64(format!("{name} {}", replicas[*n]).as_bytes());
        let mut order: Vec<usize> = (0..replicas.len()).collect();
        order.sort_by_key(|n| std::cmp::Reverse(weight(n)));
        let need = replicas.len().min(2);
        Self { all: replicas.into_iter().map(source).collect(), order, need }
    }

    /// Whom it follows: the first by rank of those that are neither silent nor in doubt, and then the others.
    pub fn followed(&self, now: f64) -> Vec<usize> {
        let mut order = self.order.clone();
        order.sort_by_key(|n| {
            let source = &self.all[*n];
            2 * u8::from(now < source.doubted) + u8::from(source.silent)
        });
        order.truncate(FOLLOWED);
        order
    }

    pub fn position(&self, at: SocketAddr) -> Option<usize> {
        self.all.iter().position(|source| source.at == at)
    }

    /// Marks those silent that did not answer for so long.
    pub fn listen(&mut self, now: f64, silent: f64) {
        for source in &mut self.all {
            source.silent |= source.unanswered.is_some_and(|since| now >= since + silent);
        }
    }

    /// The process stood still: nobody was silent meanwhile.
    pub fn stood(&mut self, now: f64) {
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
            (false, true) => source.polled + TRIED,
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
    pub fn polled(&mut self, n: usize, now: f64, stamp: u64, about: u64, next: f64) {
        let source = &mut self.all[n];
        if source.asked.len() == POLLS {
            source.asked.pop_front();
        }
        source.asked.push_back(Asked { stamp, at: now, about });
        source.unanswered.get_or_insert(now);
        (source.polled, source.poll_at) = (now, next);
    }

    /// Polls those followed as soon as that time after their last poll, where they would not be polled before.
    pub fn hurry(&mut self, now: f64, after: f64) {
        for n in self.followed(now) {
            let source = &mut self.all[n];
            source.poll_at = source.poll_at.min((source.polled + after).max(now));
        }
    }

    /// The answer to a poll; whether it is one. Each counts once.
    pub fn replied(&mut self, n: usize, now: f64, here: u64, stamp: u64, reply: &Message) -> bool {
        let Message::Reply { head, digest, age, about, entries, .. } = reply else { return false };
        let source = &mut self.all[n];
        let Some(place) = source.asked.iter().position(|a| a.stamp == stamp) else { return false };
        // What was asked before is not waited for any more.
        let Some(asked) = source.asked.drain(..=place).next_back() else { return false };
        source.heard = Some(now);
        source.unanswered = source.asked.front().map(|a| a.at);
        source.silent = false;
        source.head = *head;
        source.sure = age.map(|age| (asked.at - age as f64 / 1e3, *head));
        source.gap = *head > here && entries.is_empty();
        source.digest(*head, *digest);
        if let Some(digest) = about {
            source.digest(asked.about, *digest);
        }
        true
    }

    /// A replica told an entry.
    pub fn told(&mut self, n: usize, here: u64, logged: Logged) {
        let number = logged.entry.number;
        if number <= here || number > here + AHEAD {
            return;
        }
        let source = &mut self.all[n];
        source.head = source.head.max(number);
        source.digest(number, logged.digest);
        source.told.insert(number, logged);
    }

    /// What enough of them told alike at that number.
    pub fn vouched_entry(&self, number: u64) -> Option<Logged> {
        let told: Vec<_> = self.all.iter().filter_map(|s| s.told.get(&number)).collect();
        let enough = |l: &&&Logged| told.iter().filter(|other| *other == *l).count() >= self.need;
        told.iter().find(enough).map(|l| (*l).clone())
    }

    /// The digest at that number that enough of them told alike.
    pub fn vouched_digest(&self, number: u64) -> Option<u64> {
        let told: Vec<_> = self.all.iter().filter_map(|s| s.digests.get(&number)).collect();
        let enough = |d: &&&u64| told.iter().filter(|other| *other == *d).count() >= self.need;
        told.iter().find(enough).map(|d| **d)
    }

    /// Finds those that told another digest at a number than is vouched, or another entry, once each time they told it.
    pub fn contradicted(&mut self, now: f64, number: u64, digest: u64, entry: Option<&Logged>) {
        for n in 0..self.all.len() {
            let source = &self.all[n];
            let digest = source.digests.get(&number).is_some_and(|told| *told != digest);
            let entry = entry.is_some_and(|entry| source.told.get(&number).is_some_and(|told| told != entry));
            if digest || entry {
                self.doubt(n, now);
            }
        }
    }

    /// It told what can't be: it is passed over for a while and what it told is forgotten.
    pub fn doubt(&mut self, n: usize, now: f64) {
        let source = &mut self.all[n];
        source.conflicts += 1;
        source.doubted = now + DOUBTED;
        source.told.clear();
        source.digests.clear();
        source.gap = false;
    }

    /// All up to there is in force.
    pub fn forget(&mut self, here: u64) {
        for source in &mut self.all {
            source.told = source.told.split_off(&(here + 1));
        }
    }

    /// The highest head that enough of them tell of.
    pub fn known(&self) -> u64 {
        let mut heads: Vec<u64> = self.all.iter().map(|s| s.head).collect();
        heads.sort_by(|a, b| b.cmp(a));
        heads.get(self.need - 1).copied().unwrap_or(0)
    }

    /// Whether enough of them say that after that time nothing was committed up to that number: what is in force here is
    /// then of another log.
    pub fn never_reached(&self, here: u64, since: f64) -> bool {
        let below = |s: &&Source| s.sure.is_some_and(|(at, head)| at > since && head < here);
        self.all.iter().filter(below).count() >= self.need
    }

    pub fn doubted(&self, n: usize, now: f64) -> bool {
        now < self.all[n].doubted
    }

    /// As of when enough of them say that nothing beyond that number was committed.
    pub fn sure(&self, here: u64) -> Option<f64> {
        let mut times: Vec<f64> =
            self.all.iter().filter_map(|s| s.sure).filter(|(_, head)| *head <= here).map(|s| s.0).collect();
        times.sort_by(|a, b| b.total_cmp(a));
        times.get(self.need - 1).copied()
    }
}

impl Source {
    /// The lowest numbers go first. A replica that tells of many that never were forgets its own.
    fn digest(&mut self, number: u64, digest: u64) {
        self.digests.insert(number, digest);
        if self.digests.len() > DIGESTS {
            self.digests.pop_first();
        }
    }
}
