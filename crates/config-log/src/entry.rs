//! One change, its place in the log, and the bounds of what can be stated.

use minicbor::{Decode, Encode};

/// Bytes of a key at most: a kind and a function's name of 64.
pub const MAX_KEY_BYTES: usize = 96;

/// Bytes of a text at most, so that an entry passes in one datagram beside a reply's other fields.
pub const MAX_TEXT_BYTES: usize = 800;

/// Keys at most, those among them whose text was removed: a log that is compacted has one entry for each.
pub const MAX_KEYS: usize = 131_072;

/// Bytes of all keys and texts together at most. A follower that gathers anew holds two states for a while, each of this
/// and some 264 bytes a key (the key once more, and two trees), and a third time this while it is saved: 214 MiB by
/// calculation, under the 256 MB that a gateway may spend.
pub const MAX_TOTAL_BYTES: usize = 48 << 20;

/// One change: sets what is stated under a key, or (none) removes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Change {
    /// Drawn by chance by its author; 0 for the entry that changes nothing.
    #[n(0)]
    pub id: u64,
    /// Empty for the entry that changes nothing.
    #[n(1)]
    pub key: String,
    #[n(2)]
    pub text: Option<String>,
    /// Number of the entry under that key which the author saw, 0 for none: the change holds only if it still stands.
    #[n(3)]
    pub replaces: u64,
}

impl Change {
    /// What fills a slot in which nothing was chosen.
    pub fn no_op() -> Self {
        Self { id: 0, key: String::new(), text: None, replaces: 0 }
    }

    pub fn is_no_op(&self) -> bool {
        self.key.is_empty()
    }

    /// Bytes that count against [`MAX_TOTAL_BYTES`].
    pub fn size(&self) -> usize {
        self.key.len() + self.text.as_ref().map_or(0, String::len)
    }

    /// Whether key and text keep their bounds.
    pub fn fits(&self) -> bool {
        self.key.len() <= MAX_KEY_BYTES && self.text.as_ref().is_none_or(|text| text.len() <= MAX_TEXT_BYTES)
    }
}

/// A change at its number in the log: 1, 2, 3, ...
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Entry {
    #[n(0)]
    pub number: u64,
    #[n(1)]
    pub change: Change,
}

/// An entry and the digest of what is in force once it was applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct LoggedEntry {
    #[n(0)]
    pub entry: Entry,
    #[n(1)]
    pub digest: u64,
}
