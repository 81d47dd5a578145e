//! Changes, their numbers in the log, and the bounds on their size.

use minicbor::{Decode, Encode};

/// Largest size of a key, in bytes: a kind and a function name of 64 bytes.
pub const MAX_KEY_BYTES: usize = 96;

/// Largest size of a text, in bytes; an entry of this size fits into one datagram beside the other fields of a reply.
pub const MAX_TEXT_BYTES: usize = 800;

/// Largest number of keys, those included whose text was removed: a compacted log has one entry for each.
pub const MAX_KEYS: usize = 131_072;

/// Largest total size of keys and texts, in bytes. A follower that rebuilds its state holds two states for a while, each
/// of this size plus about 264 bytes a key (the key once more, and two trees), and this size a third time while it is
/// saved: 214 MiB by calculation, below the 256 MB that a gateway may use.
pub const MAX_TOTAL_BYTES: usize = 48 << 20;

/// A change of the configuration: sets the text under a key, or removes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Change {
    /// Random id drawn by the author; 0 in the no-op.
    #[n(0)]
    pub id: u64,
    /// What the change is about; empty in the no-op.
    #[n(1)]
    pub key: String,
    /// The new text; `None` removes the present one.
    #[n(2)]
    pub text: Option<String>,
    /// Number of the entry that the author saw under the key, 0 for none. The change takes effect only while that entry
    /// is still in force (compare and set).
    #[n(3)]
    pub replaces: u64,
}

impl Change {
    /// The change without effect that fills a number at which nothing was chosen.
    #[must_use]
    pub fn no_op() -> Self {
        Self { id: 0, key: String::new(), text: None, replaces: 0 }
    }

    /// Whether this is the change without effect.
    #[must_use]
    pub fn is_no_op(&self) -> bool {
        self.key.is_empty()
    }

    /// Bytes of key and text, which count against [`MAX_TOTAL_BYTES`].
    #[must_use]
    pub fn size(&self) -> usize {
        self.key.len() + self.text.as_ref().map_or(0, String::len)
    }

    /// Whether key and text are within [`MAX_KEY_BYTES`] and [`MAX_TEXT_BYTES`].
    #[must_use]
    pub fn fits(&self) -> bool {
        self.key.len() <= MAX_KEY_BYTES && self.text.as_ref().is_none_or(|text| text.len() <= MAX_TEXT_BYTES)
    }
}

/// A change at its number in the log: 1, 2, 3, ...
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Entry {
    /// Position in the log.
    #[n(0)]
    pub number: u64,
    /// The change chosen for that position.
    #[n(1)]
    pub change: Change,
}

/// An entry and the digest of the state after it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct LoggedEntry {
    /// The entry.
    #[n(0)]
    pub entry: Entry,
    /// [`State::digest`](crate::State::digest) once the entry is applied.
    #[n(1)]
    pub digest: u64,
}
