//! Pages of a compacted log, gathered until they are whole. Nothing of them is in force before: entries of one page may
//! be older than the state that the next one is from.

use crate::entry::{Change, Entry, MAX_KEYS, MAX_TOTAL_BYTES};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotAssembly {
    /// All up to this number is there.
    pub cursor: u64,
    pub entries: BTreeMap<u64, Change>,
    total_bytes: usize,
    /// Pages that came before one that precedes them.
    early_pages: BTreeMap<u64, SnapshotPage>,
    /// The head and digest that the last page told, once all up to that head is there.
    pub complete: Option<(u64, u64)>,
}

/// Entries after that number up to another, and the head and digest that were told with them.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotPage {
    pub after: u64,
    pub through: u64,
    pub entries: Vec<Entry>,
    pub reported: (u64, u64),
}

/// Pages kept that came too early: as many as are asked for at a time.
const MAX_EARLY_PAGES: usize = 16;

/// What can't be a page of a compacted log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MalformedPage;

impl SnapshotAssembly {
    /// Gathers what follows that number.
    pub fn after(number: u64) -> Self {
        Self { cursor: number, ..Self::default() }
    }

    /// Takes a page, and those that wait for it; gives whether it was the one that was next.
    pub fn take(&mut self, page: SnapshotPage) -> Result<bool, MalformedPage> {
        if page.after > self.cursor && self.early_pages.len() < MAX_EARLY_PAGES {
            self.early_pages.insert(page.after, page);
            return Ok(false);
        }
        if page.after != self.cursor {
            return Ok(false);
        }
        self.append(page)?;
        while let Some(page) = self.early_pages.remove(&self.cursor) {
            self.append(page)?;
        }
        // What the log passed over meanwhile is asked for again.
        self.early_pages = self.early_pages.split_off(&self.cursor);
        Ok(true)
    }

    fn append(&mut self, page: SnapshotPage) -> Result<(), MalformedPage> {
        let SnapshotPage { after, through, entries, reported } = page;
        let last = entries.last().map_or(after, |e| e.number);
        let is_ascending = entries.first().is_none_or(|e| e.number > after)
            && entries.windows(2).all(|pair| pair[0].number < pair[1].number);
        let ends_rightly = if through == reported.0 {
            last <= through
        } else {
            through < reported.0 && last == through && through > after
        };
        if !is_ascending || !ends_rightly || entries.iter().any(|e| e.change.is_no_op()) {
            return Err(MalformedPage);
        }
        self.total_bytes += entries.iter().map(|e| e.change.size()).sum::<usize>();
        self.entries.extend(entries.into_iter().map(|e| (e.number, e.change)));
        // What changed while it was gathered is there twice, for a while.
        if self.entries.len() > 2 * MAX_KEYS || self.total_bytes > 2 * MAX_TOTAL_BYTES {
            return Err(MalformedPage);
        }
        self.cursor = through;
        self.complete = (through == reported.0).then_some(reported);
        Ok(())
    }
}
