//! Fetches missing entries from other replicas, or a snapshot if their logs no longer reach back far enough.

use super::catch_up::SnapshotFetch;
use super::record::Record;
use super::state::Replica;
use crate::entry::{Entry, LoggedEntry};
use crate::message::Message;
use crate::snapshot::{PageOutcome, SnapshotAssembly, SnapshotPage};
use crate::state::Checkpoint;

/// Messages requested at a time.
const PAGES_PER_FETCH: u8 = 8;

/// Minimum number of seconds between two fetches, however fast pages arrive.
const MIN_FETCH_INTERVAL: f64 = 0.05;

/// Seconds without a message after which a replica is fetched from only if no other can be.
const SOURCE_TIMEOUT: f64 = 1.0;

impl Replica {
    fn has_recent_contact(&self, replica: usize) -> bool {
        let last = self.peers[replica].last_received_at;
        last.is_some_and(|at| self.clock.now - at < SOURCE_TIMEOUT)
    }

    /// The replica with the highest head, if that is beyond this replica's; one with recent contact is preferred.
    fn most_advanced_replica(&self) -> Option<usize> {
        let head_of = |replica: usize| self.peers[replica].progress.head;
        let advanced = (0..self.peers.len()).filter(|replica| head_of(*replica) > self.head());
        advanced.max_by_key(|replica| (self.has_recent_contact(*replica), head_of(*replica)))
    }

    /// Requests missing entries or snapshot pages if a fetch is due.
    pub(super) fn fetch_missing(&mut self) {
        let Some(most_advanced) = self.most_advanced_replica() else {
            self.catch_up.snapshot = None;
            return;
        };
        if self.clock.now < self.catch_up.fetch_at {
            return;
        }
        self.catch_up.fetch_at = self.clock.now + self.timing.retransmit_interval;
        if self.catch_up.snapshot.as_ref().is_some_and(|fetch| !self.has_recent_contact(fetch.source)) {
            self.catch_up.snapshot = None;
        }
        let (source, after, snapshot) = match &self.catch_up.snapshot {
            Some(fetch) => (fetch.source, fetch.assembly.cursor, true),
            None => (most_advanced, self.head(), false),
        };
        self.send_to(source, Message::Fetch { after, pages: PAGES_PER_FETCH, snapshot });
    }

    /// When the next fetch is due.
    pub(super) fn fetch_deadline(&self) -> f64 {
        if self.most_advanced_replica().is_some() { self.catch_up.fetch_at } else { f64::INFINITY }
    }

    fn fetch_soon(&mut self) {
        self.catch_up.fetch_at = self.catch_up.fetch_at.min(self.clock.now + MIN_FETCH_INTERVAL);
    }

    /// Appends chosen entries that another replica sent. They are not pushed to followers, which by then have them from
    /// other replicas or poll for them.
    pub(super) fn on_log_entries(&mut self, entries: Vec<LoggedEntry>) {
        for logged in entries {
            if logged.entry.number != self.head() + 1 {
                continue;
            }
            if self.state().digest_after(&logged.entry) != logged.digest {
                self.counters.conflicts += 1;
                return;
            }
            self.append_chosen(logged.entry);
            self.fetch_soon();
        }
    }

    /// Adds a page to the snapshot, starting one if needed, and installs the snapshot once it is complete.
    pub(super) fn on_snapshot_page(&mut self, from: usize, page: SnapshotPage) {
        let head = self.head();
        if self.catch_up.snapshot.is_none() && page.after == head && page.checkpoint.head > head {
            let assembly = SnapshotAssembly::after(head);
            self.catch_up.snapshot = Some(SnapshotFetch { source: from, assembly });
        }
        let Some(fetch) = self.catch_up.snapshot.as_mut().filter(|fetch| fetch.source == from) else {
            return;
        };
        match fetch.assembly.add(page) {
            Ok(PageOutcome::Appended) => self.fetch_soon(),
            Ok(PageOutcome::NotNext) => return,
            Err(_) => {
                self.counters.conflicts += 1;
                self.catch_up.snapshot = None;
                return;
            }
        }
        let complete = self.catch_up.snapshot.take_if(|fetch| fetch.assembly.complete.is_some());
        if let Some(SnapshotFetch { assembly, .. }) = complete
            && let Some(checkpoint) = assembly.complete
        {
            self.install_snapshot(assembly, checkpoint);
        }
    }

    fn install_snapshot(&mut self, assembly: SnapshotAssembly, checkpoint: Checkpoint) {
        let entries = assembly.entries;
        if self.state().digest_with(&entries) != checkpoint.digest {
            self.counters.conflicts += 1;
            return;
        }
        let entries: Vec<_> = entries.into_iter().map(|(number, change)| Entry { number, change }).collect();
        entries.iter().for_each(|entry| self.store(Record::SnapshotEntry(entry.clone())));
        self.store(Record::SnapshotHead { head: checkpoint.head, digest: checkpoint.digest });
        self.log.install(entries, checkpoint.head);
        self.discard_through(checkpoint.head);
        self.resolve_through_head();
    }
}
