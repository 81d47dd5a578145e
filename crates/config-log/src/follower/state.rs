//! The data of a follower, its start, and its queue of outgoing messages.

use super::saved_state;
use super::sources::Sources;
use crate::clock::Clock;
use crate::entry::Entry;
use crate::message::{ApplyError, MAX_APPLY_ERROR_BYTES, MAX_FOLLOWER_NAME_BYTES, Message, OutgoingMessage};
use crate::snapshot::SnapshotAssembly;
use crate::state::State;
use crate::timing::Timing;
use crate::view::Counters;
use oorandom::Rand64;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of queued messages; further ones are dropped, as if they were lost in the network.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Configuration of a follower.
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// Name of the gateway as operators see it; truncated to [`MAX_FOLLOWER_NAME_BYTES`].
    pub name: String,
    /// Addresses of all replicas.
    pub replicas: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Seed of the random number generator; must differ at each start.
    pub seed: u64,
}

/// A snapshot that is being fetched from one replica.
#[derive(Clone, Debug)]
pub(super) struct SnapshotFetch {
    /// Index of the replica.
    pub source: usize,
    /// Whether the snapshot replaces the complete state; otherwise it extends the state.
    pub is_rebuild: bool,
    pub assembly: SnapshotAssembly,
    /// When the fetch is abandoned.
    pub expires_at: f64,
    /// When the next pages are requested.
    pub fetch_at: f64,
}

/// A follower of the log, for use in a gateway. It takes each received message and the current time, and yields messages
/// to send and entries for the gateway to apply.
#[derive(Clone, Debug)]
pub struct Follower {
    pub(super) name: String,
    pub(super) timing: Timing,
    pub(super) clock: Clock,
    pub(super) random: Rand64,
    pub(super) state: State,
    pub(super) sources: Sources,
    pub(super) snapshot_fetch: Option<SnapshotFetch>,
    /// When the state last changed.
    pub(super) changed_at: f64,
    /// Consecutive failed snapshot fetches.
    pub(super) failed_fetches: usize,
    /// Earliest time of the next rebuild.
    pub(super) rebuild_allowed_at: f64,
    pub(super) rebuilds: u64,
    /// Number up to which entries were handed to the gateway.
    pub(super) delivered: u64,
    /// Removals, for the next batch of updates, of keys that the replaced state had and the current one does not.
    pub(super) removals: Vec<Entry>,
    pub(super) apply_error: Option<ApplyError>,
    pub(super) outgoing: VecDeque<OutgoingMessage>,
    pub(super) counters: Counters,
}

impl Follower {
    /// Starts a follower. `saved` is a state that [`save`](Self::save) returned; it takes effect at once and is the first
    /// batch of [`take_updates`](Self::take_updates). A corrupt one is ignored.
    #[must_use]
    pub fn new(config: FollowerConfig, now: f64, saved: Option<&[u8]>) -> Self {
        let FollowerConfig { name, replicas, timing, seed } = config;
        let name = truncated(name, MAX_FOLLOWER_NAME_BYTES);
        Self {
            sources: Sources::new(&name, replicas, now),
            name,
            timing,
            clock: Clock::new(now),
            random: Rand64::new(u128::from(seed)),
            state: saved.and_then(saved_state::decode).unwrap_or_default(),
            snapshot_fetch: None,
            changed_at: now,
            failed_fetches: 0,
            rebuild_allowed_at: now,
            rebuilds: 0,
            delivered: 0,
            removals: Vec::new(),
            apply_error: None,
            outgoing: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// The current configuration at this gateway.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Encodes the current state for the next start. The result takes about as much memory as all keys and texts.
    #[must_use]
    pub fn save(&self) -> Vec<u8> {
        saved_state::encode(&self.state)
    }

    /// Records that the gateway could not apply an entry; each poll reports it to the replicas. Only the latest error is
    /// kept, until its entry is no longer the current one of its key.
    pub fn report_apply_error(&mut self, number: u64, reason: String) {
        self.apply_error = Some(ApplyError { number, reason: truncated(reason, MAX_APPLY_ERROR_BYTES) });
    }

    /// The next message to send.
    #[must_use]
    pub fn next_outgoing(&mut self) -> Option<OutgoingMessage> {
        self.outgoing.pop_front()
    }

    pub(super) fn send(&mut self, replica: usize, message: Message) {
        if self.outgoing.len() == MAX_QUEUED_MESSAGES {
            self.counters.dropped += 1;
            return;
        }
        self.counters.sent += 1;
        self.outgoing.push_back(OutgoingMessage { to: self.sources.all[replica].address, message });
    }
}

/// Truncates a text to at most `max_bytes` at a character boundary.
fn truncated(mut text: String, max_bytes: usize) -> String {
    while text.len() > max_bytes {
        text.pop();
    }
    text
}
