//! A core's mailbox: messages from other threads, in the order in which they were pushed.

use crate::sync::{Mutex, MutexGuard};
use std::collections::VecDeque;
use std::sync::PoisonError;

/// A bounded queue of messages to one core, the owner.
///
/// The thread that pushes a message into an empty mailbox must wake the owner. Later pushes need not, because the owner
/// takes all messages at once. This way no message stays in the mailbox of a sleeping owner.
pub struct Mailbox<T> {
    messages: Mutex<VecDeque<T>>,
    capacity: usize,
}

impl<T> Mailbox<T> {
    /// Creates an empty mailbox for at most `capacity` messages.
    pub fn new(capacity: usize) -> Self {
        Self { messages: Mutex::new(VecDeque::new()), capacity }
    }

    /// Locks the queue. A poisoned lock is safe to use, because no operation leaves the queue in a partial state.
    fn lock(&self) -> MutexGuard<'_, VecDeque<T>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a message and returns whether the caller must wake the owner.
    ///
    /// # Errors
    ///
    /// Returns the message if the mailbox is full.
    pub fn push(&self, message: T) -> Result<bool, T> {
        let mut messages = self.lock();
        if messages.len() >= self.capacity {
            return Err(message);
        }
        messages.push_back(message);
        Ok(messages.len() == 1)
    }

    /// Removes and returns all messages, oldest first.
    pub fn take_all(&self) -> VecDeque<T> {
        std::mem::take(&mut *self.lock())
    }

    /// Returns the number of messages.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether the mailbox is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
