//! The queue of outgoing messages, with a limit on the bytes sent per second.

use crate::message::{ENTRY_BYTES, ENVELOPE_BYTES, Message};
use crate::process_id::ProcessId;
use std::collections::VecDeque;

/// Maximum rate of a gateway's messages in bytes per second, including datagram overhead: half of what a gateway may
/// send to other gateways in total. Enforced by a token bucket with a capacity of one second.
const MAX_BYTES_PER_SECOND: f64 = 10_000.0;

/// Maximum number of queued messages.
const MAX_QUEUED_MESSAGES: usize = 512;

/// Queued outgoing messages with their recipients.
#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    queue: VecDeque<(ProcessId, Message)>,
    /// Tokens in the bucket, in bytes, as of `refilled_at`.
    available_bytes: f64,
    refilled_at: f64,
}

impl Outbox {
    pub(crate) fn new(now: f64) -> Self {
        Self { queue: VecDeque::new(), available_bytes: MAX_BYTES_PER_SECOND, refilled_at: now }
    }

    /// Queues a message. Returns `false` and drops it if the byte rate or the queue length would exceed its limit.
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

    /// Removes and returns the oldest message and its recipient.
    pub(crate) fn pop(&mut self) -> Option<(ProcessId, Message)> {
        self.queue.pop_front()
    }
}

#[cfg(test)]
mod tests;
