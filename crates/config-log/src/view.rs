//! Status of replicas and followers, which operators read as JSON. Where the name in JSON differs from that of the field,
//! it is the original name, kept for compatibility.

use crate::message::ApplyError;
use serde::{Deserialize, Serialize};

/// Status of a follower, as known to a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowerStatus {
    /// Name of the follower.
    pub name: String,
    /// Number up to which it has applied the log.
    pub number: u64,
    /// Seconds since its last poll.
    #[serde(rename = "heard")]
    pub seconds_since_contact: f64,
    /// The latest entry that its gateway could not apply.
    #[serde(rename = "refused")]
    pub apply_error: Option<ApplyError>,
}

/// Status of a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Index of this replica, from 0.
    #[serde(rename = "me")]
    pub own_index: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Number up to which all entries are committed.
    pub number: u64,
    /// Digest of the state at `number`.
    pub digest: u64,
    /// Whether it votes. A replica that lost its disk does not until it is readmitted, nor does one whose storage fails.
    pub votes: bool,
    /// Whether it leads: a quorum promised its ballot.
    pub leads: bool,
    /// Highest ballot that it has seen or promised.
    pub ballot: u64,
    /// Number of entries appended within the last minute, as far as they are kept.
    pub committed: usize,
    /// Whether a majority confirmed `number` within the last 2 s.
    pub majority: bool,
    /// Seconds since a majority confirmed that nothing beyond `number` was committed; `None` if it never did.
    #[serde(rename = "sure_as_of")]
    pub confirmed_age: Option<f64>,
    /// Indexes of the replicas that sent a message within the last 2 s, including its own.
    #[serde(rename = "heard")]
    pub reachable: Vec<usize>,
    /// The followers that poll it.
    pub followers: Vec<FollowerStatus>,
    /// Counters since its start.
    #[serde(rename = "tally")]
    pub counters: Counters,
}

/// Status of a replica, as known to a follower.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Index of the replica.
    pub replica: usize,
    /// Seconds since its last poll reply; `None` if there was none.
    #[serde(rename = "heard")]
    pub seconds_since_contact: Option<f64>,
    /// Head that it reported.
    pub head: u64,
    /// How often it contradicted what enough other replicas reported.
    pub conflicts: u64,
}

/// Status of a follower.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowerView {
    /// Name of the follower.
    pub name: String,
    /// Number up to which it has applied the log.
    pub number: u64,
    /// Digest of its state.
    pub digest: u64,
    /// Indexes of the replicas that it currently follows.
    pub follows: Vec<usize>,
    /// All replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Seconds since its state was confirmed to be the latest; `None` if it has not been since its start.
    #[serde(rename = "sure_as_of")]
    pub confirmed_age: Option<f64>,
    /// Highest number that enough replicas have reached.
    pub known: u64,
    /// Whether `known` is beyond `number`.
    pub behind: bool,
    /// How often any replica contradicted what enough others reported.
    pub conflicts: u64,
    /// How often a rebuild from a complete snapshot was started, because its state contradicted the log.
    #[serde(rename = "anew")]
    pub rebuilds: u64,
    /// The latest entry that its gateway could not apply.
    #[serde(rename = "refused")]
    pub apply_error: Option<ApplyError>,
    /// Counters since its start.
    #[serde(rename = "tally")]
    pub counters: Counters,
}

/// Counters since the start, which only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    #[serde(rename = "taken")]
    pub received: u64,
    /// Messages from an unexpected address, or of an unexpected kind.
    #[serde(rename = "strange")]
    pub unexpected: u64,
    /// Messages dropped because the queue was full.
    #[serde(rename = "unsent")]
    pub dropped: u64,
    /// Polls from followers for which the table had no room.
    #[serde(rename = "crowded")]
    pub rejected_followers: u64,
    /// Attempts to lead or to be readmitted.
    #[serde(rename = "prepared")]
    pub prepares: u64,
    /// Ballots of this replica lost to a higher one.
    #[serde(rename = "outvoted")]
    pub preempted: u64,
    /// Changes accepted for proposal, from authors and other replicas.
    pub proposals: u64,
    /// Changes that ended with an unknown outcome ([`Outcome::Unknown`](crate::Outcome::Unknown)).
    #[serde(rename = "unknown")]
    pub expired_proposals: u64,
    /// Replicas only: how often data from another replica contradicted this replica's state.
    pub conflicts: u64,
}
