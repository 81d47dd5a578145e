//! Agreement between replicas: a report is confirmed once [`Sources::required_reports`] replicas make it identically. That
//! number is two, or one if there is only one replica, so a single faulty replica among several has no influence.

use super::source::Source;
use super::sources::Sources;
use crate::entry::LoggedEntry;
use crate::state::Checkpoint;

/// A confirmed fact about the log, with which reports are compared.
#[derive(Clone, Copy)]
pub(super) enum Confirmed<'a> {
    /// An entry, and the digest of the state after it.
    Entry(&'a LoggedEntry),
    /// The digest of the state at a number.
    Digest(Checkpoint),
}

impl Confirmed<'_> {
    fn is_contradicted_by(self, source: &Source) -> bool {
        let other_digest = |number: u64, digest: u64| {
            source.digests.get(&number).is_some_and(|reported| *reported != digest)
        };
        match self {
            Self::Entry(logged) => {
                let number = logged.entry.number;
                let other_entry = source.entries.get(&number).is_some_and(|reported| reported != logged);
                other_entry || other_digest(number, logged.digest)
            }
            Self::Digest(checkpoint) => other_digest(checkpoint.head, checkpoint.digest),
        }
    }
}

impl Sources {
    /// The first report that enough replicas share.
    fn confirmed<'a, T: PartialEq>(&self, reports: impl Iterator<Item = &'a T>) -> Option<&'a T> {
        let reports: Vec<_> = reports.collect();
        let is_confirmed =
            |report: &&T| reports.iter().filter(|other| *other == report).count() >= self.required_reports;
        reports.iter().copied().find(is_confirmed)
    }

    /// The confirmed entry at `number`.
    pub fn confirmed_entry(&self, number: u64) -> Option<LoggedEntry> {
        self.confirmed(self.all.iter().filter_map(|source| source.entries.get(&number))).cloned()
    }

    /// The confirmed digest at `number`.
    pub fn confirmed_digest(&self, number: u64) -> Option<u64> {
        self.confirmed(self.all.iter().filter_map(|source| source.digests.get(&number))).copied()
    }

    /// Distrusts the replicas whose reports contradict `known`. Their reports are discarded, so that each contradiction
    /// counts once.
    pub fn distrust_contradicting(&mut self, now: f64, known: Confirmed) {
        let contradicting = self.all.iter_mut().filter(|source| known.is_contradicted_by(source));
        contradicting.for_each(|source| source.distrust(now));
    }

    /// The highest head that enough replicas have reached.
    pub fn known_head(&self) -> u64 {
        let mut heads: Vec<u64> = self.all.iter().map(|source| source.head).collect();
        heads.sort_by(|a, b| b.cmp(a));
        heads.get(self.required_reports - 1).copied().unwrap_or(0)
    }

    /// Whether enough replicas state that at a time after `since` the log had not reached `head` yet. If the follower was
    /// at `head` then, its state is not one of this log.
    pub fn never_reached(&self, head: u64, since: f64) -> bool {
        let confirmed = self.all.iter().filter_map(|source| source.confirmed);
        confirmed.filter(|confirmed| confirmed.at > since && confirmed.head < head).count()
            >= self.required_reports
    }

    /// The latest time at which, according to enough replicas, nothing beyond `head` was committed.
    pub fn confirmed_at(&self, head: u64) -> Option<f64> {
        let confirmed = self.all.iter().filter_map(|source| source.confirmed);
        let mut times: Vec<f64> =
            confirmed.filter(|confirmed| confirmed.head <= head).map(|confirmed| confirmed.at).collect();
        times.sort_by(|a, b| b.total_cmp(a));
        times.get(self.required_reports - 1).copied()
    }
}
