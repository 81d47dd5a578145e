//! Messages that wait to be sent, within a bound on their bytes a second.

use crate::message::{ENTRY_BYTES, ENVELOPE_BYTES, Message};
use crate::process_id::ProcessId;
use std::collections::VecDeque;

/// Bytes a second of all messages of a gateway, datagrams around them included, at most: half of what a gateway may send
/// to others in all. A token bucket that holds one second's worth.
const MAX_BYTES_PER_SECOND: f64 = 10_000.0;

/// Messages that wait at most.
const MAX_QUEUED_MESSAGES: usize = 512;

/// Messages that wait to be sent, with their recipients.
#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    queue: VecDeque<(ProcessId, Message)>,
    /// Bytes that may be sent, as of `refilled_at`.
    available_bytes: f64,
    refilled_at: f64,
}

impl Outbox {
    pub(crate) fn new(now: f64) -> Self {
        Self { queue: VecDeque::new(), available_bytes: MAX_BYTES_PER_SECOND, refilled_at: now }
    }

    /// Queues a message; returns whether it was within the bounds.
    pub(crate) fn try_push(&mut self, now: f64, recipient: ProcessId, message: Message) -> bool {
        let refill = MAX_BYTES_PER_SECOND * (now - self.refilled_at).max(0.0);
        self.available_bytes = (self.available_bytes + refill).min(MAX_BYTES_PER_SECOND);
        self.refilled_at = now;
        let cost = ENVELOPE_BYTES + ENTRY_BYTES * message.entry_count() as f64;
        if self.available_bytes < cost || self.queue.len() >= MAX_QUEUED_MESSAGES {
            return false;
        }
        self.available_bytes -= cost;
        self.queue.push_back((recipient, message));
        true
    }

    /// The message that has waited longest, and its recipient.
    pub(crate) fn pop(&mut self) -> Option<(ProcessId, Message)> {
        self.queue.pop_front()
    }
}

#[cfg(test)]
mod tests;
