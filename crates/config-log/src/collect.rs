//! Pages of a compacted log, gathered until they are whole. Nothing of them is in force before: entries of one page may
//! be older than the state that the next one is from.

use crate::entry::{Change, Entry, KEYS, TEXTS};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub(crate) struct Collection {
    /// All up to this number is there.
    pub cursor: u64,
    pub entries: BTreeMap<u64, Change>,
    texts: usize,
    /// Pages that came before one that precedes them.
    early: BTreeMap<u64, Page>,
    /// The head and digest that the last page told, once all up to that head is there.
    pub whole: Option<(u64, u64)>,
}

/// Entries after that number up to another, and the head and digest that were told with them.
#[derive(Clone, Debug)]
pub(crate) struct Page {
    pub after: u64,
    pub upto: u64,
    pub entries: Vec<Entry>,
    pub told: (u64, u64),
}

/// Pages kept that came too early: as many as are asked for at a time.
const EARLY: usize = 16;

/// What can't be a page of a compacted log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Malformed;

impl Collection {
    /// Gathers what follows that number.
    pub fn after(number: u64) -> Self {
        Self { cursor: number, ..Self::default() }
    }

    /// Takes a page, and those that wait for it; gives whether it was the one that was next.
    pub fn take(&mut self, page: Page) -> Result<bool, Malformed> {
        if page.after > self.cursor && self.early.len() < EARLY {
            self.early.insert(page.after, page);
            return Ok(false);
        }
        if page.after != self.cursor {
            return Ok(false);
        }
        self.append(page)?;
        while let Some(page) = self.early.remove(&self.cursor) {
            self.append(page)?;
        }
        // What the log passed over meanwhile is asked for again.
        self.early = self.early.split_off(&self.cursor);
        Ok(true)
    }

    fn append(&mut self, page: Page) -> Result<(), Malformed> {
        let Page { after, upto, entries, told } = page;
        let last = entries.last().map_or(after, |e| e.number);
        let rising = entries.first().is_none_or(|e| e.number > after)
            && entries.windows(2).all(|pair| pair[0].number < pair[1].number);
        let end = if upto == told.0 { last <= upto } else { upto < told.0 && last == upto && upto > after };
        if !rising || !end || entries.iter().any(|e| e.change.is_nothing()) {
            return Err(Malformed);
        }
        self.texts += entries.iter().map(|e| e.change.size()).sum::<usize>();
        self.entries.extend(entries.into_iter().map(|e| (e.number, e.change)));
        // What changed while it was gathered is there twice, for a while.
        if self.entries.len() > 2 * KEYS || self.texts > 2 * TEXTS {
            return Err(Malformed);
        }
        self.cursor = upto;
        self.whole = (upto == told.0).then_some(told);
        Ok(())
    }
}
