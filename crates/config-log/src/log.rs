//! The log as a replica keeps it: what is in force, and the latest entries one by one for those who are not far behind.

use crate::entry::{Change, Entry, LoggedEntry};
use crate::message::Outcome;
use crate::state::{Effect, State, encoded_bytes};
use std::collections::VecDeque;

/// Entries kept one by one: more than a day of 2,900 changes.
pub(crate) const MAX_RECENT_ENTRIES: usize = 4096;

#[derive(Clone, Debug)]
pub(crate) struct RecentEntry {
    pub logged: LoggedEntry,
    /// Whether it changed more than the head.
    pub took_effect: bool,
    pub at: f64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub state: State,
    /// They follow each other up to the head.
    pub recent: VecDeque<RecentEntry>,
}

impl Log {
    /// Appends the next entry.
    pub fn append(&mut self, entry: Entry, at: f64) -> Option<LoggedEntry> {
        if entry.number != self.state.head() + 1 {
            return None;
        }
        let took_effect = self.state.apply(entry.clone());
        let logged = LoggedEntry { entry, digest: self.state.digest() };
        if self.recent.len() == MAX_RECENT_ENTRIES {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentEntry { logged: logged.clone(), took_effect, at });
        Some(logged)
    }

    pub fn install(&mut self, entries: impl IntoIterator<Item = Entry>, head: u64) {
        self.state.install(entries, head);
        self.recent.clear();
    }

    /// Whether all entries after that number are kept one by one.
    pub fn reaches_back_to(&self, number: u64) -> bool {
        let first = self.recent.front().map_or(self.state.head() + 1, |k| k.logged.entry.number);
        number + 1 >= first
    }

    fn recent_after(&self, number: u64) -> impl Iterator<Item = &RecentEntry> {
        let first = self.recent.front().map_or(0, |k| k.logged.entry.number);
        self.recent.iter().skip((number + 1).saturating_sub(first) as usize)
    }

    /// The digest of what was in force at that number, where it is known.
    pub fn digest_at(&self, number: u64) -> Option<u64> {
        if number == self.state.head() {
            return Some(self.state.digest());
        }
        let recent_entry = self.recent_after(number.checked_sub(1)?).next()?;
        (recent_entry.logged.entry.number == number).then_some(recent_entry.logged.digest)
    }

    /// Entries after that number, as many as take at most so many bytes; none where they are not kept.
    pub fn after(&self, number: u64, bytes: usize) -> Vec<LoggedEntry> {
        if !self.reaches_back_to(number) {
            return Vec::new();
        }
        let mut left = bytes;
        let fits = move |recent_entry: &&RecentEntry| {
            let size = encoded_bytes(&recent_entry.logged.entry.change);
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        };
        self.recent_after(number).take_while(fits).map(|recent_entry| recent_entry.logged.clone()).collect()
    }

    /// What became of a change by now; none where it can still come to hold.
    pub fn outcome(&self, change: &Change) -> Option<Outcome> {
        let current = self.state.get(&change.key);
        if let Some((number, _)) = current.filter(|(_, c)| c.id == change.id) {
            return Some(Outcome::Committed(number));
        }
        let effective = self.recent.iter().find(|k| k.took_effect && k.logged.entry.change.id == change.id);
        if let Some(recent_entry) = effective {
            return Some(Outcome::Committed(recent_entry.logged.entry.number));
        }
        let number = current.map_or(0, |(number, _)| number);
        if number == change.replaces || change.replaces > self.state.head() {
            return None;
        }
        // It held before only if it was in force after what it replaces and before what stands now: not where that one
        // came right after, nor where all that came since is kept and it is not among that.
        let next = current.is_some_and(|(_, c)| c.replaces == change.replaces);
        match next || self.reaches_back_to(change.replaces) {
            true => Some(Outcome::Superseded(number)),
            false => Some(Outcome::Unknown),
        }
    }

    /// What became of a change whose turn has come.
    pub fn outcome_in_turn(&self, change: &Change) -> Outcome {
        self.outcome(change).unwrap_or(match self.state.effect_of(change) {
            Effect::Full => Outcome::Full,
            _ => Outcome::Unknown,
        })
    }
}
