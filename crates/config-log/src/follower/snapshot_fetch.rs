//! Fetching of snapshots: when the follower is far behind, when the replicas no longer keep the entries that it lacks, or
//! when its state contradicts the log.

use super::state::{Follower, SnapshotFetch};
use crate::entry::Entry;
use crate::message::Message;
use crate::snapshot::{SnapshotAssembly, SnapshotPage};
use crate::state::{Checkpoint, State};

/// A snapshot is fetched if more entries than this are missing: a poll brings only a few entries.
const SNAPSHOT_DISTANCE: u64 = 64;

/// Pages requested at a time.
const PAGES_PER_FETCH: u8 = 8;

/// Seconds between two requests for pages; limits a fetch to 22 KB/s.
const FETCH_INTERVAL: f64 = 0.5;

/// Seconds between two requests while a complete snapshot waits for its digest to be confirmed.
const COMPLETE_FETCH_INTERVAL: f64 = 2.0;

/// Seconds from the last poll to the poll for a missing entry: a push may still deliver it meanwhile.
const MISSING_ENTRY_DELAY: f64 = 0.25;

/// Seconds without a poll reply from the source after which the fetch from it fails.
const SOURCE_TIMEOUT: f64 = 3.0;

/// Seconds within which a fetch must be completed; doubled with each consecutive failure.
const SNAPSHOT_TIMEOUT: f64 = 60.0;

/// Maximum number of doublings of [`SNAPSHOT_TIMEOUT`].
const MAX_TIMEOUT_DOUBLINGS: usize = 6;

/// Minimum number of seconds between two rebuilds.
const REBUILD_INTERVAL: f64 = 30.0;

impl Follower {
    /// Fetches a complete snapshot, because the state contradicts the log.
    pub(super) fn start_rebuild(&mut self) {
        let is_rebuilding = self.snapshot_fetch.as_ref().is_some_and(|fetch| fetch.is_rebuild);
        if self.clock.now < self.rebuild_allowed_at || is_rebuilding {
            return;
        }
        self.snapshot_fetch = None;
        self.start_snapshot_fetch(true);
        if self.snapshot_fetch.is_some() {
            self.rebuild_allowed_at = self.clock.now + REBUILD_INTERVAL;
            self.rebuilds += 1;
        }
    }

    /// Starts a fetch from one of the followed replicas; each failure moves on to the next one.
    fn start_snapshot_fetch(&mut self, is_rebuild: bool) {
        let now = self.clock.now;
        let known_head = self.sources.known_head();
        let can_serve = |replica: &usize| {
            let source = &self.sources.all[*replica];
            source.head >= known_head && source.last_received_at.is_some()
        };
        let candidates: Vec<_> = self.sources.followed(now).into_iter().filter(can_serve).collect();
        let Some(&source) = candidates.get(self.failed_fetches % candidates.len().max(1)) else { return };
        let after = if is_rebuild { 0 } else { self.state.head() };
        let doublings = self.failed_fetches.min(MAX_TIMEOUT_DOUBLINGS) as i32;
        self.snapshot_fetch = Some(SnapshotFetch {
            source,
            is_rebuild,
            assembly: SnapshotAssembly::after(after),
            expires_at: now + SNAPSHOT_TIMEOUT * 2f64.powi(doublings),
            fetch_at: now,
        });
    }

    fn fail_snapshot_fetch(&mut self) {
        let was_rebuild = self.snapshot_fetch.take().is_some_and(|fetch| fetch.is_rebuild);
        self.failed_fetches += 1;
        if was_rebuild {
            self.start_snapshot_fetch(true);
        }
    }

    /// If entries are missing, polls soon, and fetches a snapshot if there are many or the replicas no longer keep them.
    pub(super) fn catch_up(&mut self) {
        let (known_head, head) = (self.sources.known_head(), self.state.head());
        if known_head <= head {
            return;
        }
        let gaps = self.sources.all.iter().filter(|source| source.has_gap).count();
        let needs_snapshot = known_head - head > SNAPSHOT_DISTANCE || gaps >= self.sources.required_reports;
        if self.snapshot_fetch.is_none() && needs_snapshot {
            self.start_snapshot_fetch(false);
        }
        self.sources.poll_soon(self.clock.now, MISSING_ENTRY_DELAY);
    }

    pub(super) fn on_snapshot_page(&mut self, from: usize, page: SnapshotPage) {
        let Some(fetch) = self.snapshot_fetch.as_mut().filter(|fetch| fetch.source == from) else { return };
        if fetch.assembly.add(page).is_err() {
            self.sources.distrust(from, self.clock.now);
            self.fail_snapshot_fetch();
        } else if fetch.assembly.complete.is_some() {
            self.poll_soon();
        }
    }

    /// Requests the next pages. Once the snapshot is complete, it requests newer entries: the other replicas may have
    /// advanced and no longer know the digest at the head of the snapshot.
    pub(super) fn continue_snapshot_fetch(&mut self) {
        let now = self.clock.now;
        let Some(fetch) = self.snapshot_fetch.as_mut() else { return };
        let source = &self.sources.all[fetch.source];
        let is_silent = source.last_received_at.is_none_or(|at| now - at > SOURCE_TIMEOUT);
        if now >= fetch.expires_at || is_silent || source.is_distrusted(now) {
            self.fail_snapshot_fetch();
            return;
        }
        if now < fetch.fetch_at {
            return;
        }
        let is_complete = fetch.assembly.complete.is_some();
        fetch.fetch_at = now + if is_complete { COMPLETE_FETCH_INTERVAL } else { FETCH_INTERVAL };
        let (source, after) = (fetch.source, fetch.assembly.cursor);
        self.send(source, Message::Fetch { after, pages: PAGES_PER_FETCH, snapshot: true });
    }

    /// Installs the snapshot if it is complete and its digest is confirmed.
    pub(super) fn install_snapshot(&mut self) {
        let Some(fetch) = self.snapshot_fetch.as_ref() else { return };
        let head = self.state.head();
        let Some(checkpoint) = fetch.assembly.complete else {
            self.snapshot_fetch.take_if(|fetch| !fetch.is_rebuild && fetch.assembly.cursor < head);
            return;
        };
        if !fetch.is_rebuild && checkpoint.head <= head {
            // The state has caught up with the snapshot in the meantime.
            self.snapshot_fetch = None;
            return;
        }
        let Some(confirmed) = self.sources.confirmed_digest(checkpoint.head) else { return };
        if confirmed != checkpoint.digest {
            self.sources.distrust(fetch.source, self.clock.now);
            self.fail_snapshot_fetch();
            return;
        }
        if self.digest_with(fetch) != checkpoint.digest {
            self.reject_snapshot();
            return;
        }
        if let Some(fetch) = self.snapshot_fetch.take() {
            self.install(fetch, checkpoint);
        }
    }

    /// The digest that the state would have after the snapshot is installed.
    fn digest_with(&self, fetch: &SnapshotFetch) -> u64 {
        let entries = &fetch.assembly.entries;
        if fetch.is_rebuild { State::default().digest_with(entries) } else { self.state.digest_with(entries) }
    }

    /// Discards a snapshot that does not lead to the confirmed digest. In a rebuild its source is wrong; otherwise this
    /// state may be wrong, so it is rebuilt.
    fn reject_snapshot(&mut self) {
        let Some(fetch) = self.snapshot_fetch.as_ref() else { return };
        if fetch.is_rebuild {
            self.sources.distrust(fetch.source, self.clock.now);
            self.fail_snapshot_fetch();
        } else {
            self.snapshot_fetch = None;
            self.start_rebuild();
        }
    }

    fn install(&mut self, fetch: SnapshotFetch, checkpoint: Checkpoint) {
        let entries = fetch.assembly.entries.into_iter();
        let entries = entries.map(|(number, change)| Entry { number, change });
        if fetch.is_rebuild {
            let mut state = State::default();
            state.install(entries, checkpoint.head);
            self.replace_state(state);
        } else {
            self.state.install(entries, checkpoint.head);
        }
        self.changed_at = self.clock.now;
        self.failed_fetches = 0;
        self.sources.discard_through(checkpoint.head);
    }
}
