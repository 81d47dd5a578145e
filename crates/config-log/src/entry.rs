//! Configuration changes, log entries, and the bounds on their size.

use minicbor::{Decode, Encode};

/// Maximum size of a key, in bytes: room for a kind and a function name of 64 bytes.
pub const MAX_KEY_BYTES: usize = 96;

/// Maximum size of a text, in bytes. An entry with such a text and the other fields of a reply fit into one datagram.
pub const MAX_TEXT_BYTES: usize = 800;

/// Maximum number of keys. Keys whose text was removed count too, as the compacted log keeps an entry for each.
pub const MAX_KEYS: usize = 131_072;

/// Maximum total size of keys and texts, in bytes. A follower that rebuilds its state holds two states for a while, each
/// of this size plus about 264 bytes per key (a second copy of the key, and the nodes of two trees), and one more copy of
/// this size while the state is saved: 214 MiB by calculation, below the 256 MB that a gateway may use.
pub const MAX_TOTAL_BYTES: usize = 48 << 20;

/// A change of the configuration: sets or removes the text of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Change {
    /// Random id chosen by the author; 0 in the no-op.
    #[n(0)]
    pub id: u64,
    /// The key that the change sets or removes; empty in the no-op.
    #[n(1)]
    pub key: String,
    /// The new text; `None` removes the current one.
    #[n(2)]
    pub text: Option<String>,
    /// Number of the key's current entry as the author saw it, 0 for none. The change takes effect only if that is still
    /// the current entry (compare-and-set).
    #[n(3)]
    pub replaces: u64,
}

impl Change {
    /// The change without effect that a new leader proposes at numbers for which it knows no other proposal.
    #[must_use]
    pub fn no_op() -> Self {
        Self { id: 0, key: String::new(), text: None, replaces: 0 }
    }

    /// Whether this is the [no-op](Self::no_op).
    #[must_use]
    pub fn is_no_op(&self) -> bool {
        self.key.is_empty()
    }

    /// Size of key and text in bytes, as counted against [`MAX_TOTAL_BYTES`].
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

/// A change at its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct Entry {
    /// Position in the log; the first entry has number 1.
    #[n(0)]
    pub number: u64,
    /// The change chosen for that position.
    #[n(1)]
    pub change: Change,
}

/// An entry and the digest of the state after it is applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(map)]
pub struct LoggedEntry {
    /// The entry.
    #[n(0)]
    pub entry: Entry,
    /// [`State::digest`](crate::State::digest) after the entry is applied.
    #[n(1)]
    pub digest: u64,
}
