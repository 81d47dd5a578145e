//! What is in force: the latest entry under each key, the head of the log and a digest over both. Two that applied the
//! same entries are equal, whether they took them one by one or compacted.

use crate::entry::{Change, Entry, MAX_KEYS, MAX_TOTAL_BYTES};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::Xxh3;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    head: u64,
    /// Wrapping sum of the hashes of all entries in force.
    digest: u64,
    /// Bytes of keys and texts.
    total_bytes: usize,
    /// The number in force under each key; also under those whose text was removed.
    keys: BTreeMap<String, u64>,
    latest: BTreeMap<u64, Change>,
}

/// What an entry does when its turn comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Applies,
    /// It is the entry that changes nothing.
    Nothing,
    /// Under its key stands another number than it replaces.
    Conflicts,
    /// There is no room for its key or its text.
    Full,
}

/// Bytes that an entry takes beside key and text when it is written, at most, its digest among them.
const ENTRY_OVERHEAD_BYTES: usize = 64;

fn hash(number: u64, change: &Change) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&number.to_le_bytes());
    hasher.update(&change.id.to_le_bytes());
    hasher.update(&(change.key.len() as u64).to_le_bytes());
    hasher.update(change.key.as_bytes());
    // A removed text is told from an empty one.
    hasher.update(&[u8::from(change.text.is_some())]);
    hasher.update(change.text.as_deref().unwrap_or("").as_bytes());
    hasher.digest()
}

impl State {
    /// Applies the next entry; gives whether it changed more than the head. One that is not the next does nothing.
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

    /// What a change would do as the next entry.
    pub fn effect_of(&self, change: &Change) -> Effect {
        if change.is_no_op() || !change.fits() {
            return Effect::Nothing;
        }
        let current = self.get(&change.key);
        if current.map_or(0, |(number, _)| number) != change.replaces {
            return Effect::Conflicts;
        }
        let before = current.map_or(0, |(_, change)| change.size());
        let keys = self.keys.len() + usize::from(current.is_none());
        match keys > MAX_KEYS || self.total_bytes - before + change.size() > MAX_TOTAL_BYTES {
            true => Effect::Full,
            false => Effect::Applies,
        }
    }

    fn set(&mut self, entry: Entry) {
        let Entry { number, change } = entry;
        self.total_bytes += change.size();
        self.digest = self.digest.wrapping_add(hash(number, &change));
        let before = match self.keys.get_mut(&change.key) {
            Some(current) => Some(std::mem::replace(current, number)),
            None => self.keys.insert(change.key.clone(), number),
        };
        if let Some((number, old)) = before.and_then(|n| self.latest.remove(&n).map(|old| (n, old))) {
            self.total_bytes -= old.size();
            self.digest = self.digest.wrapping_sub(hash(number, &old));
        }
        self.latest.insert(number, change);
    }

    /// Takes over entries of a compacted log: they are in force at that head, whatever stood under their keys.
    pub(crate) fn install(&mut self, entries: impl IntoIterator<Item = Entry>, head: u64) {
        entries.into_iter().for_each(|entry| self.set(entry));
        self.head = head;
    }

    /// The digest after such an installation.
    pub(crate) fn digest_with(&self, entries: &BTreeMap<u64, Change>) -> u64 {
        let last: BTreeMap<&str, (u64, &Change)> =
            entries.iter().map(|(number, change)| (change.key.as_str(), (*number, change))).collect();
        last.into_iter().fold(self.digest, |digest, (key, (number, change))| {
            let old = self.get(key).map_or(0, |(number, old)| hash(number, old));
            digest.wrapping_sub(old).wrapping_add(hash(number, change))
        })
    }

    /// The digest after the next entry.
    pub(crate) fn digest_after(&self, entry: &Entry) -> u64 {
        match self.effect_of(&entry.change) {
            Effect::Applies => {
                let old = self.get(&entry.change.key).map_or(0, |(number, old)| hash(number, old));
                self.digest.wrapping_sub(old).wrapping_add(hash(entry.number, &entry.change))
            }
            _ => self.digest,
        }
    }

    /// The number of the last entry that was applied.
    pub fn head(&self) -> u64 {
        self.head
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The number in force under a key, and the change: its text is none where it was removed.
    pub fn get(&self, key: &str) -> Option<(u64, &Change)> {
        let number = *self.keys.get(key)?;
        Some((number, self.latest.get(&number)?))
    }

    /// All entries in force by number, removals among them.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Change)> {
        self.latest.iter().map(|(number, change)| (*number, change))
    }

    /// The compacted log: entries in force with numbers above that one, as many as take at most so many bytes.
    pub fn after(&self, number: u64, bytes: usize) -> Vec<Entry> {
        let mut left = bytes;
        let fits = move |entry: &Entry| {
            let size = encoded_bytes(&entry.change);
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        };
        let entries = self.iter_from(number.saturating_add(1));
        entries.map(|(number, change)| Entry { number, change: change.clone() }).take_while(fits).collect()
    }

    /// Entries in force from that number on.
    pub(crate) fn iter_from(&self, number: u64) -> impl Iterator<Item = (u64, &Change)> {
        self.latest.range(number..).map(|(number, change)| (*number, change))
    }

    /// The highest number that is in force under a key, 0 for none.
    pub(crate) fn last(&self) -> u64 {
        self.latest.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// Bytes of keys and texts.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }
}

/// Bytes that an entry takes in a message, at most.
pub(crate) fn encoded_bytes(change: &Change) -> usize {
    change.size() + ENTRY_OVERHEAD_BYTES
}
