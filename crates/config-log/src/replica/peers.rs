//! What a replica knows about the others, and the heartbeats that it sends to them.

use crate::message::Progress;
use std::collections::VecDeque;

/// Maximum number of pending heartbeats, which are those of the last seconds; replies to older ones are ignored.
const MAX_PENDING_HEARTBEATS: usize = 16;

/// What a replica knows about another one.
#[derive(Clone, Debug, Default)]
pub(super) struct Peer {
    pub last_received_at: Option<f64>,
    pub progress: Progress,
    /// From its reply, as a voter, to the latest heartbeat that it answered.
    pub confirmed: Option<ConfirmedProgress>,
}

/// The part of a peer's heartbeat reply from which the age of the state is calculated.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConfirmedProgress {
    /// When the heartbeat was sent, which is before the peer replied.
    pub asked_at: f64,
    pub highest_accepted: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingHeartbeat {
    request_id: u64,
    sent_at: f64,
}

/// The schedule of heartbeats and those that are pending.
#[derive(Clone, Debug)]
pub(super) struct Heartbeats {
    pending: VecDeque<PendingHeartbeat>,
    last_request_id: u64,
    next_at: f64,
}

impl Heartbeats {
    pub fn new(first_request_id: u64, now: f64) -> Self {
        Self { pending: VecDeque::new(), last_request_id: first_request_id, next_at: now }
    }

    /// When the next heartbeat is due.
    pub fn deadline(&self) -> f64 {
        self.next_at
    }

    /// Registers a new heartbeat and returns its id.
    pub fn start(&mut self, now: f64, interval: f64) -> u64 {
        self.next_at = now + interval;
        self.last_request_id = self.last_request_id.wrapping_add(1);
        if self.pending.len() == MAX_PENDING_HEARTBEATS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingHeartbeat { request_id: self.last_request_id, sent_at: now });
        self.last_request_id
    }

    /// When the heartbeat with this id was sent, if it is still pending.
    pub fn sent_at(&self, request_id: u64) -> Option<f64> {
        self.pending.iter().find(|pending| pending.request_id == request_id).map(|pending| pending.sent_at)
    }
}
