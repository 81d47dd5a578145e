//! Names from outside under small dense indices, which are used again once given back.

use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3Builder;

/// The map's hash is seeded by the gateway's own seed: the same events give the same indices, and who sends names
/// can't choose ones that collide.
pub struct Interner {
    index: HashMap<Arc<str>, usize, Xxh3Builder>,
    names: Vec<Arc<str>>,
    free: Vec<usize>,
}

impl Interner {
    pub fn new(seed: u64) -> Self {
        let hash = Xxh3Builder::new().with_seed(seed);
        Self { index: HashMap::with_hasher(hash), names: Vec::new(), free: Vec::new() }
    }

    pub fn get(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }

    /// The index of a name, a new one where it has none yet.
    pub fn take(&mut self, name: &str) -> usize {
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

    pub fn give_back(&mut self, index: usize) {
        let known = self.names.get(index).filter(|name| self.index.get(&***name) == Some(&index));
        if let Some(name) = known.cloned() {
            self.index.remove(&name);
            self.names[index] = Arc::from("");
            self.free.push(index);
        }
    }

    pub fn name(&self, index: usize) -> Arc<str> {
        self.names[index].clone()
    }

    /// Names known now.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }
}
