//! Maps IDs of the wire protocol to the small indices that the routing decisions use.

use std::collections::HashMap;
use std::hash::Hash;

/// Assigns indices to IDs. Released indices are reused.
pub struct IdMap<T> {
    indices: HashMap<T, usize>,
    ids: Vec<T>,
    free: Vec<usize>,
}

impl<T: Copy + Eq + Hash> IdMap<T> {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self { indices: HashMap::new(), ids: Vec::new(), free: Vec::new() }
    }

    /// The index of an ID, if it has one.
    pub fn index(&self, id: T) -> Option<usize> {
        self.indices.get(&id).copied()
    }

    /// The ID that was last assigned to an index.
    pub fn id(&self, index: usize) -> T {
        self.ids[index]
    }

    /// The index of an ID; assigns one if the ID has none.
    pub fn assign(&mut self, id: T) -> usize {
        if let Some(index) = self.index(id) {
            return index;
        }
        let index = self.free.pop().unwrap_or(self.ids.len());
        if index == self.ids.len() {
            self.ids.push(id);
        } else {
            self.ids[index] = id;
        }
        self.indices.insert(id, index);
        index
    }

    /// Releases an index for use by another ID.
    pub fn release(&mut self, index: usize) {
        if self.indices.remove(&self.ids[index]).is_some() {
            self.free.push(index);
        }
    }
}
