//! The current configuration: the latest entry of each key, the head of the log and a digest of the entries. Replicas at
//! the same head have equal states, whether they applied entries one by one or installed a snapshot.

use crate::entry::{Change, Entry, MAX_KEYS, MAX_TOTAL_BYTES};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::Xxh3;

/// A head of the log and the digest of the state there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Checkpoint {
    pub head: u64,
    pub digest: u64,
}

/// The configuration at one number of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    head: u64,
    /// Wrapping sum of the hashes of all current entries.
    digest: u64,
    /// Total size of all current keys and texts, in bytes.
    total_bytes: usize,
    /// Number of each key's current entry. Keys whose text was removed are included.
    keys: BTreeMap<String, u64>,
    /// The current entries, by number.
    latest: BTreeMap<u64, Change>,
}

/// The effect of a change as the next entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// The change takes effect.
    Applies,
    /// The change is the no-op, or its key or text is too large.
    Nothing,
    /// The current entry of the key is not the one that the change replaces.
    Conflicts,
    /// The state has no room for the key or the text.
    Full,
}

/// Upper bound on the encoded size of a logged entry without its key and text.
const ENTRY_OVERHEAD_BYTES: usize = 64;

fn entry_hash(number: u64, change: &Change) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&number.to_le_bytes());
    hasher.update(&change.id.to_le_bytes());
    hasher.update(&(change.key.len() as u64).to_le_bytes());
    hasher.update(change.key.as_bytes());
    // Distinguishes a removed text from an empty one.
    hasher.update(&[u8::from(change.text.is_some())]);
    hasher.update(change.text.as_deref().unwrap_or("").as_bytes());
    hasher.digest()
}

impl State {
    /// Applies the next entry and returns whether its change took effect. An entry that is not the next one is ignored.
    pub fn apply(&mut self, entry: Entry) -> bool {
        if entry.number != self.head + 1 {
            return false;
        }
        self.head = entry.number;
        let took_effect = self.effect_of(&entry.change) == Effect::Applies;
        if took_effect {
            self.set(entry);
        }
        took_effect
    }

    /// The effect that a change would have as the next entry.
    pub(crate) fn effect_of(&self, change: &Change) -> Effect {
        if change.is_no_op() || !change.fits() {
            return Effect::Nothing;
        }
        let current = self.get(&change.key);
        if current.map_or(0, |(number, _)| number) != change.replaces {
            return Effect::Conflicts;
        }
        let before = current.map_or(0, |(_, change)| change.size());
        let keys = self.keys.len() + usize::from(current.is_none());
        let total_bytes = self.total_bytes - before + change.size();
        if keys > MAX_KEYS || total_bytes > MAX_TOTAL_BYTES { Effect::Full } else { Effect::Applies }
    }

    fn set(&mut self, entry: Entry) {
        let Entry { number, change } = entry;
        self.total_bytes += change.size();
        self.digest = self.digest.wrapping_add(entry_hash(number, &change));
        let before = match self.keys.get_mut(&change.key) {
            Some(current) => Some(std::mem::replace(current, number)),
            None => self.keys.insert(change.key.clone(), number),
        };
        if let Some((number, old)) = before.and_then(|n| self.latest.remove(&n).map(|old| (n, old))) {
            self.total_bytes -= old.size();
            self.digest = self.digest.wrapping_sub(entry_hash(number, &old));
        }
        self.latest.insert(number, change);
    }

    /// Installs the entries of a snapshot taken at `head`; they replace the current entries of their keys.
    pub(crate) fn install(&mut self, entries: impl IntoIterator<Item = Entry>, head: u64) {
        entries.into_iter().for_each(|entry| self.set(entry));
        self.head = head;
    }

    /// The digest that the state would have after these entries of a snapshot are installed.
    pub(crate) fn digest_with(&self, entries: &BTreeMap<u64, Change>) -> u64 {
        let last: BTreeMap<&str, (u64, &Change)> =
            entries.iter().map(|(number, change)| (change.key.as_str(), (*number, change))).collect();
        last.into_iter().fold(self.digest, |digest, (key, (number, change))| {
            let old = self.get(key).map_or(0, |(number, old)| entry_hash(number, old));
            digest.wrapping_sub(old).wrapping_add(entry_hash(number, change))
        })
    }

    /// The digest that the state would have after `entry`, which must be the next one.
    pub(crate) fn digest_after(&self, entry: &Entry) -> u64 {
        match self.effect_of(&entry.change) {
            Effect::Applies => {
                let old = self.get(&entry.change.key).map_or(0, |(number, old)| entry_hash(number, old));
                self.digest.wrapping_sub(old).wrapping_add(entry_hash(entry.number, &entry.change))
            }
            _ => self.digest,
        }
    }

    /// Number of the last applied entry.
    #[must_use]
    pub fn head(&self) -> u64 {
        self.head
    }

    pub(crate) fn checkpoint(&self) -> Checkpoint {
        Checkpoint { head: self.head, digest: self.digest }
    }

    /// A digest of all current entries: the sum of their XXH3 hashes modulo 2^64. It does not protect against forgery.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The current entry of a key, as number and change; the change has no text if the key was removed.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(u64, &Change)> {
        let number = *self.keys.get(key)?;
        Some((number, self.latest.get(&number)?))
    }

    /// All current entries in the order of their numbers, including removals.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Change)> {
        self.latest.iter().map(|(number, change)| (*number, change))
    }

    /// The current entries with numbers above `number`, as many as fit into `max_bytes` of a message.
    #[must_use]
    pub fn entries_after(&self, number: u64, max_bytes: usize) -> Vec<Entry> {
        let mut remaining = max_bytes;
        let fits = move |entry: &Entry| {
            let size = encoded_bytes(&entry.change);
            let fits = size <= remaining;
            remaining = remaining.saturating_sub(size);
            fits
        };
        let entries = self.iter_from(number.saturating_add(1));
        entries.map(|(number, change)| Entry { number, change: change.clone() }).take_while(fits).collect()
    }

    /// The current entries from `number` on.
    pub(crate) fn iter_from(&self, number: u64) -> impl Iterator<Item = (u64, &Change)> {
        self.latest.range(number..).map(|(number, change)| (*number, change))
    }

    /// The highest number of a current entry, 0 for none.
    pub(crate) fn last_number(&self) -> u64 {
        self.latest.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Total size of all current keys and texts, in bytes; at most [`MAX_TOTAL_BYTES`].
    #[must_use]
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }
}

/// Upper bound on the encoded size of a logged entry in a message, in bytes.
pub(crate) fn encoded_bytes(change: &Change) -> usize {
    change.size() + ENTRY_OVERHEAD_BYTES
}
