//! Maps names from outside to small dense indices, which are reused after they are released. The dispatcher interns
//! function names, and the worker table interns workers, zones and cells; the code that interns names must bound
//! their number.

use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3Builder;

/// Interned names. The hash map is seeded with the gateway's configured seed: the same events produce the same
/// indices, and senders of names cannot choose names that collide.
pub(crate) struct Interner {
    index: HashMap<Arc<str>, usize, Xxh3Builder>,
    names: Vec<Arc<str>>,
    free: Vec<usize>,
}

impl Interner {
    pub(crate) fn new(seed: u64) -> Self {
        let hash = Xxh3Builder::new().with_seed(seed);
        Self { index: HashMap::with_hasher(hash), names: Vec::new(), free: Vec::new() }
    }

    pub(crate) fn get(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }

    /// Returns the index of a name, assigning a free one if the name is new.
    pub(crate) fn intern(&mut self, name: &str) -> usize {
        if let Some(index) = self.get(name) {
            return index;
        }
        let name: Arc<str> = name.into();
        let index = self.free.pop().unwrap_or(self.names.len());
        if index == self.names.len() {
            self.names.push(name.clone());
        } else {
            self.names[index] = name.clone();
        }
        self.index.insert(name, index);
        index
    }

    /// Removes the name at an index and frees the index; does nothing if the index has no name.
    pub(crate) fn release(&mut self, index: usize) {
        let known = self.names.get(index).filter(|name| self.index.get(&***name) == Some(&index));
        if let Some(name) = known.cloned() {
            self.index.remove(&name);
            self.names[index] = Arc::from("");
            self.free.push(index);
        }
    }

    /// The name at an index that was assigned; empty if it was released.
    pub(crate) fn name(&self, index: usize) -> Arc<str> {
        self.names[index].clone()
    }

    /// Number of names that currently have an index.
    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }
}
