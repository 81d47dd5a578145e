//! What functions keep busy over all gateways: each tells what they do there, in lanes, and hears what they do elsewhere.
//!
//! Functions fall into [`BUCKETS`] by their names. Of each bucket one gateway adds up what all report, the first by a hash
//! over those who are there; so nobody hears all from all, and what a gateway sends does not grow with their number. One
//! that does not answer is passed over for a while. A report counts until the next of its sender, or for a few periods.

use crate::note::{Count, ENTRIES, Note};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Few enough that a letter carries several functions, enough that the work is spread.
pub const BUCKETS: u8 = 16;

/// Seconds between two reports of up to so many gateways; more report less often, so that who adds up hears no more.
const PERIOD: f64 = 0.8;
const MANY: f64 = 48.0;

/// Lanes below which a function is not worth a word.
const LEAST: f64 = 0.02;

/// Lanes are told in thousandths.
const GRAIN: f64 = 1e-3;

/// Periods for which a report counts, and for which a sum does.
const REPORT: f64 = 3.5;
const SUM: f64 = 2.5;

/// Periods without an answer after which another is asked, and seconds for which it then is.
const SILENT: f64 = 1.8;
const SHUN: f64 = 10.0;

/// What one gateway reported of a bucket, and when.
type Report = (f64, Vec<Count>);

#[derive(Clone, Debug)]
pub struct Counts {
    me: u64,
    /// What functions keep busy here.
    own: Vec<(u64, f64)>,
    others: Vec<u64>,
    due: f64,
    period: f64,
    /// Reports by bucket and sender, where this one adds up.
    reports: BTreeMap<(u8, u64), Report>,
    /// What functions of a bucket keep busy elsewhere, how many reported that, and when.
    sums: BTreeMap<u8, (f64, u16, Vec<Count>)>,
    /// Who was asked for a bucket, since when it has not answered; and who is passed over until when.
    asked: BTreeMap<u8, (u64, f64)>,
    shunned: BTreeMap<u64, f64>,
}

fn bucket(function: u64) -> u8 {
    (xxh3_64(&function.to_le_bytes()) % u64::from(BUCKETS)) as u8
}

impl Counts {
    pub fn new(me: u64, now: f64) -> Self {
        Self {
            me,
            own: Vec::new(),
            others: Vec::new(),
            due: now,
            period: PERIOD,
            reports: BTreeMap::new(),
            sums: BTreeMap::new(),
            asked: BTreeMap::new(),
            shunned: BTreeMap::new(),
        }
    }

    /// Those who are there beside this one.
    pub fn others(&mut self, others: &[u64]) {
        self.others = others.to_vec();
        self.period = PERIOD * ((others.len() + 1) as f64 / MANY).max(1.0);
    }

    /// When a report is wanted next.
    pub fn next(&self) -> f64 {
        self.due
    }

    /// Who adds up a bucket.
    fn owner(&self, now: f64, bucket: u8) -> u64 {
        let shunned = |life: &u64| self.shunned.get(life).is_some_and(|until| now < *until);
        let there = self.others.iter().copied().filter(|life| !shunned(life)).chain([self.me]);
        there.max_by_key(|life| xxh3_64_with_seed(&life.to_le_bytes(), bucket.into())).unwrap_or(self.me)
    }

    /// Reports, where that is due: to whom, and what. `busy` is what functions keep busy here, in lanes by name.
    pub fn turn(&mut self, now: f64, luck: f64, busy: impl FnOnce() -> Vec<(u64, f64)>) -> Vec<(u64, Note)> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + self.period * (0.9 + 0.2 * luck);
        let (reports, sums) = (REPORT * self.period, SUM * self.period);
        self.reports.retain(|_, (at, _)| now - *at < reports);
        self.sums.retain(|_, (at, ..)| now - *at < sums);
        self.shunned.retain(|_, until| now < *until);
        if self.others.is_empty() {
            self.sums.clear();
            return Vec::new();
        }
        self.own = busy();
        self.own.retain(|(_, lanes)| *lanes >= LEAST);
        let mut notes = Vec::new();
        for bucket in 0..BUCKETS {
            if let Some((silent, since)) = self.asked.get(&bucket).copied()
                && now - since > SILENT * self.period
            {
                self.asked.remove(&bucket);
                self.shunned.insert(silent, now + SHUN);
            }
            let owner = self.owner(now, bucket);
            let counts = self.own_of(bucket);
            if owner == self.me {
                let (of, sums) = self.sum(bucket, self.me);
                self.sums.insert(bucket, (now, of, sums));
                self.asked.remove(&bucket);
                continue;
            }
            let waits = self.asked.get(&bucket).filter(|(life, _)| *life == owner);
            let since = waits.map_or(now, |(_, since)| *since);
            self.asked.insert(bucket, (owner, since));
            notes.push((owner, Note { bucket: Some(bucket), counts, ..Note::default() }));
        }
        notes
    }

    /// The busiest functions of a bucket here.
    fn own_of(&self, of: u8) -> Vec<Count> {
        let mut own: Vec<_> = self.own.iter().filter(|(name, _)| bucket(*name) == of).collect();
        own.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        own.truncate(ENTRIES);
        let count =
            |(function, lanes): &(u64, f64)| Count { function: *function, busy: (lanes / GRAIN) as u32 };
        own.into_iter().map(count).collect()
    }

    /// What functions of a bucket keep busy at all but one gateway, and how many of these reported.
    fn sum(&self, of: u8, but: u64) -> (u16, Vec<Count>) {
        let mut sums: BTreeMap<u64, u32> = BTreeMap::new();
        let mut add = |counts: &[Count]| {
            for count in counts {
                let sum = sums.entry(count.function).or_default();
                *sum = sum.saturating_add(count.busy);
            }
        };
        let mut many = 0;
        for (_, (_, counts)) in self.reports.range((of, 0)..=(of, u64::MAX)).filter(|((_, l), _)| *l != but) {
            add(counts);
            many += 1;
        }
        if but != self.me {
            add(&self.own_of(of));
            many += 1;
        }
        let mut sums: Vec<_> = sums.into_iter().map(|(function, busy)| Count { function, busy }).collect();
        sums.sort_by(|a, b| b.busy.cmp(&a.busy).then(a.function.cmp(&b.function)));
        sums.truncate(ENTRIES);
        (many, sums)
    }

    /// A report came of another gateway; gives what it is to be told, if it is one that can be there.
    pub fn reported(&mut self, now: f64, life: u64, bucket: u8, counts: Vec<Count>) -> Option<Note> {
        /// Gateways of which reports are kept at most, times those that are there, and some.
        const KEPT: usize = 2;
        let most = (KEPT * self.others.len() + 16) * usize::from(BUCKETS);
        if bucket >= BUCKETS || self.reports.len() >= most && !self.reports.contains_key(&(bucket, life)) {
            return None;
        }
        self.reports.insert((bucket, life), (now, counts));
        let (of, sums) = self.sum(bucket, life);
        Some(Note { bucket: Some(bucket), sums, of, ..Note::default() })
    }

    /// A sum came, which this gateway asked for.
    pub fn summed(&mut self, now: f64, life: u64, bucket: u8, of: u16, sums: Vec<Count>) {
        if self.asked.get(&bucket).is_some_and(|(owner, _)| *owner == life) {
            self.asked.remove(&bucket);
            self.sums.insert(bucket, (now, of, sums));
        }
    }

    /// What functions keep busy elsewhere, in lanes by name; none while that is not known of all of them, or nobody else
    /// is there.
    pub fn elsewhere(&self, now: f64) -> Option<BTreeMap<u64, f64>> {
        let fresh = |(at, of, _): &(f64, u16, Vec<Count>)| now - at < SUM * self.period && *of > 0;
        let known = (0..BUCKETS).all(|b| self.sums.get(&b).is_some_and(fresh));
        let counts = self.sums.values().flat_map(|(_, _, counts)| counts);
        known.then(|| counts.map(|c| (c.function, f64::from(c.busy) * GRAIN)).collect())
    }
}

#[cfg(test)]
mod tests;
