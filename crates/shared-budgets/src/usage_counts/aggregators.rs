//! Chooses the gateway that aggregates the reports for each bucket of functions, and replaces one that does not answer.

use crate::process_id::ProcessId;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which an unresponsive aggregator is avoided, in seconds.
const AVOIDANCE_SECONDS: f64 = 10.0;

/// The aggregator from which an answer to a report is pending.
#[derive(Clone, Copy, Debug)]
struct AwaitedAnswer {
    aggregator: ProcessId,
    /// When the first report that it has not answered was sent to this aggregator.
    since: f64,
}

/// Chooses the aggregator of each bucket by rendezvous hashing over the responsive gateways.
#[derive(Clone, Debug)]
pub(super) struct Aggregators {
    own_id: ProcessId,
    peers: Vec<ProcessId>,
    /// Pending answers by bucket.
    awaited: BTreeMap<u8, AwaitedAnswer>,
    /// Gateways that did not answer, with the time until which they are avoided. Each report adds at most one entry per
    /// bucket.
    avoided: BTreeMap<ProcessId, f64>,
}

impl Aggregators {
    pub(super) fn new(own_id: ProcessId) -> Self {
        Self { own_id, peers: Vec::new(), awaited: BTreeMap::new(), avoided: BTreeMap::new() }
    }

    /// Sets the other gateways.
    pub(super) fn set_peers(&mut self, peers: &[ProcessId]) {
        self.peers = peers.to_vec();
    }

    pub(super) fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Removes gateways that are no longer to be avoided.
    pub(super) fn remove_expired(&mut self, now: f64) {
        self.avoided.retain(|_, until| now < *until);
    }

    /// The current aggregator of a bucket. One that has not answered for `timeout` seconds is avoided for
    /// [`AVOIDANCE_SECONDS`].
    pub(super) fn choose(&mut self, now: f64, bucket: u8, timeout: f64) -> ProcessId {
        let overdue = self.awaited.get(&bucket).filter(|awaited| now - awaited.since > timeout).copied();
        if let Some(overdue) = overdue {
            self.awaited.remove(&bucket);
            self.avoided.insert(overdue.aggregator, now + AVOIDANCE_SECONDS);
        }
        let is_avoided = |peer: &ProcessId| self.avoided.get(peer).is_some_and(|until| now < *until);
        let candidates = self.peers.iter().copied().filter(|peer| !is_avoided(peer)).chain([self.own_id]);
        let rank = |id: &ProcessId| xxh3_64_with_seed(&id.to_le_bytes(), bucket.into());
        candidates.max_by_key(rank).unwrap_or(self.own_id)
    }

    /// Records that a report for a bucket is sent to an aggregator.
    pub(super) fn await_answer(&mut self, now: f64, bucket: u8, aggregator: ProcessId) {
        let awaited = self.awaited.get(&bucket).filter(|awaited| awaited.aggregator == aggregator);
        let since = awaited.map_or(now, |awaited| awaited.since);
        self.awaited.insert(bucket, AwaitedAnswer { aggregator, since });
    }

    /// Records that no answer is expected for a bucket any longer.
    pub(super) fn stop_awaiting(&mut self, bucket: u8) {
        self.awaited.remove(&bucket);
    }

    /// Records an answer. Returns whether one was expected from that gateway.
    pub(super) fn accept_answer(&mut self, bucket: u8, from: ProcessId) -> bool {
        let is_awaited = self.awaited.get(&bucket).is_some_and(|awaited| awaited.aggregator == from);
        if is_awaited {
            self.awaited.remove(&bucket);
        }
        is_awaited
    }
}
