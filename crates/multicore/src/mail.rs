//! A core's mailbox: what others have for it, in the order in which it was put.

use crate::sync::{Mutex, MutexGuard};
use std::collections::VecDeque;
use std::sync::PoisonError;

/// Letters to one core. Whoever puts the first into an empty box is told to wake the owner; who puts more behind it
/// need not, as the owner takes all that it finds. A letter is thus never left with a sleeping owner.
pub struct Mailbox<T> {
    letters: Mutex<VecDeque<T>>,
    most: usize,
}

impl<T> Mailbox<T> {
    /// A box for so many letters.
    pub fn new(most: usize) -> Self {
        Self { letters: Mutex::new(VecDeque::new()), most }
    }

    /// A panic elsewhere leaves the letters as they are: each is put or taken whole.
    fn letters(&self) -> MutexGuard<'_, VecDeque<T>> {
        self.letters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a letter behind the others; true where the owner must be woken. A full box gives it back.
    pub fn put(&self, letter: T) -> Result<bool, T> {
        let mut letters = self.letters();
        if letters.len() >= self.most {
            return Err(letter);
        }
        letters.push_back(letter);
        Ok(letters.len() == 1)
    }

    /// Takes all letters, in order.
    pub fn take(&self) -> VecDeque<T> {
        std::mem::take(&mut *self.letters())
    }

    pub fn len(&self) -> usize {
        self.letters().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
