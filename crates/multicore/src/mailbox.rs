//! A core's mailbox: what others have for it, in the order in which it was put.

use crate::sync::{Mutex, MutexGuard};
use std::collections::VecDeque;
use std::sync::PoisonError;

/// Letters to one core. Whoever puts the first into an empty box is told to wake the owner; who puts more behind it
/// need not, as the owner takes all that it finds. A letter is thus never left with a sleeping owner.
pub struct Mailbox<T> {
    messages: Mutex<VecDeque<T>>,
    capacity: usize,
}

impl<T> Mailbox<T> {
    /// A box for so many messages.
    pub fn new(capacity: usize) -> Self {
        Self { messages: Mutex::new(VecDeque::new()), capacity }
    }

    /// A panic elsewhere leaves the messages as they are: each is put or taken whole.
    fn lock(&self) -> MutexGuard<'_, VecDeque<T>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a letter behind the others; true where the owner must be woken. A full box gives it back.
    pub fn push(&self, message: T) -> Result<bool, T> {
        let mut messages = self.lock();
        if messages.len() >= self.capacity {
            return Err(message);
        }
        messages.push_back(message);
        Ok(messages.len() == 1)
    }

    /// Takes all messages, in order.
    pub fn take_all(&self) -> VecDeque<T> {
        std::mem::take(&mut *self.lock())
    }

    pub fn len(&self) -> usize {
        self.lock().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
