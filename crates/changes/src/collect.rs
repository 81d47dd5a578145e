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
    /// The head and digest that the last page told, once all up to that head is there.
    pub whole: Option<(u64, u64)>,
}

/// What can't be a page of a compacted log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Malformed;

impl Collection {
    /// Gathers what follows that number.
    pub fn after(number: u64) -> Self {
        Self { cursor: number, ..Self::default() }
    }

    /// Takes a page; gives whether it was the one that was next.
    pub fn take(
        &mut self,
        after: u64,
        upto: u64,
        entries: Vec<Entry>,
        told: (u64, u64),
    ) -> Result<bool, Malformed> {
        if after != self.cursor {
            return Ok(false);
        }
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
        Ok(true)
    }
}
