//! Intervals and timeouts of the protocol.

/// Intervals and timeouts in seconds. All programs of a cluster should use the same values.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Mean time between two polls that a follower sends to the same replica.
    pub poll_interval: f64,
    /// Time without a reply after which a follower considers a replica silent.
    pub silence_timeout: f64,
    /// Time between two heartbeats that a replica sends to the others.
    pub heartbeat_interval: f64,
    /// Time after which an unanswered message is retransmitted; longer than a round trip.
    pub retransmit_interval: f64,
    /// Time after which an author is told that the outcome of its change is unknown.
    pub proposal_timeout: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            poll_interval: 0.5,
            silence_timeout: 1.2,
            heartbeat_interval: 0.3,
            retransmit_interval: 0.4,
            proposal_timeout: 5.0,
        }
    }
}
