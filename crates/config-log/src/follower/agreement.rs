//! What enough replicas report alike (`required`, two where there are that many), so that a single faulty one has no
//! influence.

use super::source::Source;
use super::sources::Sources;
use crate::entry::LoggedEntry;
use crate::state::Checkpoint;

/// Something that is known to be true of the log, and that reports are compared with.
#[derive(Clone, Copy)]
pub(super) enum Confirmed<'a> {
    /// The entry at its number and the digest after it.
    Entry(&'a LoggedEntry),
    /// The digest at a number.
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
    /// The first of the reports that enough replicas made alike.
    fn confirmed<'a, T: PartialEq>(&self, reports: impl Iterator<Item = &'a T>) -> Option<&'a T> {
        let reports: Vec<_> = reports.collect();
        let is_confirmed =
            |report: &&T| reports.iter().filter(|other| *other == report).count() >= self.required_reports;
        reports.iter().copied().find(is_confirmed)
    }

    /// The entry at `number` that enough replicas report alike.
    pub fn confirmed_entry(&self, number: u64) -> Option<LoggedEntry> {
        self.confirmed(self.all.iter().filter_map(|source| source.entries.get(&number))).cloned()
    }

    /// The digest at `number` that enough replicas report alike.
    pub fn confirmed_digest(&self, number: u64) -> Option<u64> {
        self.confirmed(self.all.iter().filter_map(|source| source.digests.get(&number))).copied()
    }

    /// Passes over, for a while, the replicas whose reports contradict what is known to be true. Their reports are
    /// discarded, so that each contradiction counts once.
    pub fn distrust_contradicting(&mut self, now: f64, known: Confirmed) {
        let contradicting = self.all.iter_mut().filter(|source| known.is_contradicted_by(source));
        contradicting.for_each(|source| source.distrust(now));
    }

    /// The highest head that enough replicas report.
    pub fn known_head(&self) -> u64 {
        let mut heads: Vec<u64> = self.all.iter().map(|source| source.head).collect();
        heads.sort_by(|a, b| b.cmp(a));
        heads.get(self.required_reports - 1).copied().unwrap_or(0)
    }

    /// Whether enough replicas state that after `since` the log had not reached `head` yet: the state is then of another
    /// log.
    pub fn never_reached(&self, head: u64, since: f64) -> bool {
        let confirmed = self.all.iter().filter_map(|source| source.confirmed);
        confirmed.filter(|confirmed| confirmed.at > since && confirmed.head < head).count()
            >= self.required_reports
    }

    /// As of when enough replicas state that nothing beyond `head` was committed.
    pub fn confirmed_at(&self, head: u64) -> Option<f64> {
        let confirmed = self.all.iter().filter_map(|source| source.confirmed);
        let mut times: Vec<f64> =
            confirmed.filter(|confirmed| confirmed.head <= head).map(|confirmed| confirmed.at).collect();
        times.sort_by(|a, b| b.total_cmp(a));
        times.get(self.required_reports - 1).copied()
    }
}
