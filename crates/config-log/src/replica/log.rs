//! A replica's copy of the log: the current state, and the latest entries for followers and replicas that are a little
//! behind.

use crate::entry::{Change, Entry, LoggedEntry};
use crate::message::Outcome;
use crate::state::{Effect, State, encoded_bytes};
use std::collections::VecDeque;

/// Number of latest entries kept: more than the 2,900 changes of a day.
const MAX_RECENT_ENTRIES: usize = 4096;

/// One of the latest entries.
#[derive(Clone, Debug)]
pub(super) struct RecentEntry {
    pub logged: LoggedEntry,
    /// Whether it changed a key, and not only the head.
    pub took_effect: bool,
    /// When it was appended.
    pub appended_at: f64,
}

/// The current state and the latest entries.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    pub state: State,
    /// The latest entries, consecutive up to the head; empty after a snapshot was installed.
    pub recent: VecDeque<RecentEntry>,
}

impl Log {
    /// Appends an entry; `None` if it is not the next one.
    pub fn append(&mut self, entry: Entry, now: f64) -> Option<LoggedEntry> {
        if entry.number != self.state.head() + 1 {
            return None;
        }
        let took_effect = self.state.apply(entry.clone());
        let logged = LoggedEntry { entry, digest: self.state.digest() };
        if self.recent.len() == MAX_RECENT_ENTRIES {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentEntry { logged: logged.clone(), took_effect, appended_at: now });
        Some(logged)
    }

    /// Installs the entries of a snapshot taken at `head`.
    pub fn install(&mut self, entries: impl IntoIterator<Item = Entry>, head: u64) {
        self.state.install(entries, head);
        self.recent.clear();
    }

    /// Whether all entries after `number` are kept.
    pub fn reaches_back_to(&self, number: u64) -> bool {
        let first = self.recent.front().map_or(self.state.head() + 1, |recent| recent.logged.entry.number);
        number + 1 >= first
    }

    fn recent_after(&self, number: u64) -> impl Iterator<Item = &RecentEntry> {
        let first = self.recent.front().map_or(0, |recent| recent.logged.entry.number);
        self.recent.iter().skip((number + 1).saturating_sub(first) as usize)
    }

    /// The digest of the state at `number`, if it is still known.
    pub fn digest_at(&self, number: u64) -> Option<u64> {
        if number == self.state.head() {
            return Some(self.state.digest());
        }
        let recent = self.recent_after(number.checked_sub(1)?).next()?;
        (recent.logged.entry.number == number).then_some(recent.logged.digest)
    }

    /// The entries after `number`, as many as fit into `max_bytes` of a message; none if they are not kept.
    pub fn entries_after(&self, number: u64, max_bytes: usize) -> Vec<LoggedEntry> {
        if !self.reaches_back_to(number) {
            return Vec::new();
        }
        let mut remaining = max_bytes;
        let fits = move |recent: &&RecentEntry| {
            let size = encoded_bytes(&recent.logged.entry.change);
            let fits = size <= remaining;
            remaining = remaining.saturating_sub(size);
            fits
        };
        self.recent_after(number).take_while(fits).map(|recent| recent.logged.clone()).collect()
    }

    /// The outcome of a change so far; `None` if it can still take effect.
    pub fn outcome(&self, change: &Change) -> Option<Outcome> {
        let current = self.state.get(&change.key);
        if let Some((number, _)) = current.filter(|(_, c)| c.id == change.id) {
            return Some(Outcome::Committed(number));
        }
        let effective = self
            .recent
            .iter()
            .find(|recent| recent.took_effect && recent.logged.entry.change.id == change.id);
        if let Some(recent) = effective {
            return Some(Outcome::Committed(recent.logged.entry.number));
        }
        let number = current.map_or(0, |(number, _)| number);
        if number == change.replaces || change.replaces > self.state.head() {
            return None;
        }
        // The change can only have taken effect between the entry that it replaces and the current one. It did not if the
        // current one replaced that same entry, or if all entries since are kept and it is not among them.
        let lost_to_current = current.is_some_and(|(_, c)| c.replaces == change.replaces);
        if lost_to_current || self.reaches_back_to(change.replaces) {
            Some(Outcome::Superseded(number))
        } else {
            Some(Outcome::Unknown)
        }
    }

    /// The outcome of a change that was chosen as the latest entry.
    pub fn outcome_at_head(&self, change: &Change) -> Outcome {
        self.outcome(change).unwrap_or(match self.state.effect_of(change) {
            Effect::Full => Outcome::Full,
            _ => Outcome::Unknown,
        })
    }
}
