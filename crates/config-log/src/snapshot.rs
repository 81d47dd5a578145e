//! Assembly of a snapshot (the compacted log) from pages. It can only be used once it is complete: the sender's state may
//! advance between pages, so an entry of one page may be superseded by an entry of a later one.

use crate::entry::{Change, Entry, MAX_KEYS, MAX_TOTAL_BYTES};
use crate::state::Checkpoint;
use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum number of early pages kept: as many as a replica sends in reply to one fetch.
const MAX_EARLY_PAGES: usize = 16;

/// The current entries with numbers above `after` and up to `through`, and the sender's head and digest at that time.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotPage {
    pub after: u64,
    pub through: u64,
    pub entries: Vec<Entry>,
    pub checkpoint: Checkpoint,
}

/// A page that cannot be part of a compacted log, or that exceeds the bounds of a state.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("malformed snapshot page")]
pub(crate) struct MalformedPage;

/// Result of adding a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PageOutcome {
    /// The page was the next one, and the assembly advanced.
    Appended,
    /// The page is early and kept for later, or it is ignored.
    NotNext,
}

/// A snapshot that is being assembled.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotAssembly {
    /// Number up to which all entries have arrived.
    pub cursor: u64,
    pub entries: BTreeMap<u64, Change>,
    total_bytes: usize,
    /// Pages that arrived before a page that precedes them, by the number that they follow.
    early_pages: BTreeMap<u64, SnapshotPage>,
    /// The checkpoint of the last page, once all entries up to its head have arrived.
    pub complete: Option<Checkpoint>,
}

impl SnapshotAssembly {
    /// Starts the assembly of a snapshot of the entries after `number`.
    pub fn after(number: u64) -> Self {
        Self { cursor: number, ..Self::default() }
    }

    /// Adds a page, and then the early pages that follow it.
    pub fn add(&mut self, page: SnapshotPage) -> Result<PageOutcome, MalformedPage> {
        if page.after > self.cursor && self.early_pages.len() < MAX_EARLY_PAGES {
            self.early_pages.insert(page.after, page);
            return Ok(PageOutcome::NotNext);
        }
        if page.after != self.cursor {
            return Ok(PageOutcome::NotNext);
        }
        self.append(page)?;
        while let Some(page) = self.early_pages.remove(&self.cursor) {
            self.append(page)?;
        }
        // Drops early pages that start before the cursor. The entries after the cursor are requested again.
        self.early_pages = self.early_pages.split_off(&self.cursor);
        Ok(PageOutcome::Appended)
    }

    fn append(&mut self, page: SnapshotPage) -> Result<(), MalformedPage> {
        if !page.is_well_formed() {
            return Err(MalformedPage);
        }
        self.total_bytes += page.entries.iter().map(|entry| entry.change.size()).sum::<usize>();
        self.entries.extend(page.entries.into_iter().map(|entry| (entry.number, entry.change)));
        // A key that changes during the assembly may be in it twice.
        if self.entries.len() > 2 * MAX_KEYS || self.total_bytes > 2 * MAX_TOTAL_BYTES {
            return Err(MalformedPage);
        }
        self.cursor = page.through;
        self.complete = (page.through == page.checkpoint.head).then_some(page.checkpoint);
        Ok(())
    }
}

impl SnapshotPage {
    /// Whether the entries are in ascending order within the bounds of the page, and none is a no-op.
    fn is_well_formed(&self) -> bool {
        let (after, through, head) = (self.after, self.through, self.checkpoint.head);
        let last = self.entries.last().map_or(after, |entry| entry.number);
        let is_ascending = self.entries.first().is_none_or(|entry| entry.number > after)
            && self.entries.windows(2).all(|pair| pair[0].number < pair[1].number);
        let is_bounded = if through == head {
            last <= through
        } else {
            through < head && last == through && through > after
        };
        is_ascending && is_bounded && !self.entries.iter().any(|entry| entry.change.is_no_op())
    }
}
