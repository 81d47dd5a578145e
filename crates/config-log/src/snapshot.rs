//! Assembly of a snapshot (the compacted log) from pages. Nothing of it is in force before it is complete: entries of one
//! page may be older than the state that the next page was taken from.

use crate::entry::{Change, Entry, MAX_KEYS, MAX_TOTAL_BYTES};
use crate::state::Checkpoint;
use std::collections::BTreeMap;
use thiserror::Error;

/// Pages kept that arrived before one that precedes them: as many as are asked for at a time.
const MAX_EARLY_PAGES: usize = 16;

/// The entries in force with numbers above `after` up to `through`, and the state of the sender at that time.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotPage {
    pub after: u64,
    pub through: u64,
    pub entries: Vec<Entry>,
    pub checkpoint: Checkpoint,
}

/// A page that cannot belong to a compacted log.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the page can't belong to a compacted log")]
pub(crate) struct MalformedPage;

/// What became of a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PageOutcome {
    /// It was the next one; the assembly advanced.
    Appended,
    /// It is kept for later, or was appended before.
    NotNext,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotAssembly {
    /// Number up to which all entries are here.
    pub cursor: u64,
    pub entries: BTreeMap<u64, Change>,
    total_bytes: usize,
    /// Pages that arrived before one that precedes them, by the number that they follow.
    early_pages: BTreeMap<u64, SnapshotPage>,
    /// The checkpoint of the last page, once all entries up to its head are here.
    pub complete: Option<Checkpoint>,
}

impl SnapshotAssembly {
    /// Starts an assembly of what follows `number`.
    pub fn after(number: u64) -> Self {
        Self { cursor: number, ..Self::default() }
    }

    /// Adds a page, and the early pages that follow it.
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
        // Early pages that the log has passed meanwhile are asked for again.
        self.early_pages = self.early_pages.split_off(&self.cursor);
        Ok(PageOutcome::Appended)
    }

    fn append(&mut self, page: SnapshotPage) -> Result<(), MalformedPage> {
        if !page.is_well_formed() {
            return Err(MalformedPage);
        }
        self.total_bytes += page.entries.iter().map(|entry| entry.change.size()).sum::<usize>();
        self.entries.extend(page.entries.into_iter().map(|entry| (entry.number, entry.change)));
        // A key that changes during the assembly is in it twice for a while.
        if self.entries.len() > 2 * MAX_KEYS || self.total_bytes > 2 * MAX_TOTAL_BYTES {
            return Err(MalformedPage);
        }
        self.cursor = page.through;
        self.complete = (page.through == page.checkpoint.head).then_some(page.checkpoint);
        Ok(())
    }
}

impl SnapshotPage {
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
