//! A core's mailbox: the messages that other threads have for it, in the order in which they were pushed.

use crate::sync::{Mutex, MutexGuard};
use std::collections::VecDeque;
use std::sync::PoisonError;

/// A bounded queue of messages to one core.
///
/// The thread that pushes the first message into an empty mailbox must wake the owner; the others need not, as the owner
/// takes all messages at once. So no message is left with a sleeping owner.
pub struct Mailbox<T> {
    messages: Mutex<VecDeque<T>>,
    capacity: usize,
}

impl<T> Mailbox<T> {
    /// An empty mailbox for at most `capacity` messages.
    pub fn new(capacity: usize) -> Self {
        Self { messages: Mutex::new(VecDeque::new()), capacity }
    }

    /// A panic of another thread leaves the messages as they are: each is pushed or taken as a unit.
    fn lock(&self) -> MutexGuard<'_, VecDeque<T>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a message; true where the caller must wake the owner. A full mailbox returns the message as the error.
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

    /// The number of messages.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there is no message.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
