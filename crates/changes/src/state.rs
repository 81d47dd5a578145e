//! What is in force: the latest entry under each key, the head of the log and a digest.
use crate::entry::{Change, Entry};
pub struct State {}
impl State {
    pub fn apply(&mut self, _entry: Entry) -> bool { todo!() }
    pub fn head(&self) -> u64 { todo!() }
    pub fn digest(&self) -> u64 { todo!() }
    pub fn get(&self, _key: &str) -> Option<(u64, &Change)> { todo!() }
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Change)> { std::iter::empty() }
    pub fn after(&self, _number: u64, _bytes: usize) -> Vec<Entry> { todo!() }
}
