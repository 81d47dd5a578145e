//! What replicas and followers know, as operators see it in JSON. The names in JSON are older than the fields' names.

use crate::message::ApplyError;
use serde::{Deserialize, Serialize};

/// A follower as a replica knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowerStatus {
    /// Name of the follower.
    pub name: String,
    /// Number up to which it applied the log.
    pub number: u64,
    /// Seconds since its last poll.
    #[serde(rename = "heard")]
    pub seconds_since_contact: f64,
    /// The latest entry that its gateway could not apply.
    #[serde(rename = "refused")]
    pub apply_error: Option<ApplyError>,
}

/// What a replica knows of the log and of the cluster.
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
    /// Whether it votes. A replica that lost its disk does not before it is readmitted, nor one whose storage fails.
    pub votes: bool,
    /// Whether it leads: a quorum promised its ballot.
    pub leads: bool,
    /// Highest ballot that it knows of.
    pub ballot: u64,
    /// Entries committed within the last minute, as far as they are kept.
    pub committed: usize,
    /// Whether a majority confirmed `number` within the last 2 s.
    pub majority: bool,
    /// Seconds since a majority knew of nothing beyond `number`; `None` if that never was so.
    #[serde(rename = "sure_as_of")]
    pub confirmed_age: Option<f64>,
    /// Indexes of the replicas that sent something within 2 s, its own included.
    #[serde(rename = "heard")]
    pub reachable: Vec<usize>,
    /// The followers that poll it.
    pub followers: Vec<FollowerStatus>,
    /// Counters since its start.
    #[serde(rename = "tally")]
    pub counters: Counters,
}

/// A replica as a follower knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Index of the replica.
    pub replica: usize,
    /// Seconds since its last reply; `None` if there was none.
    #[serde(rename = "heard")]
    pub seconds_since_contact: Option<f64>,
    /// Head that it reported.
    pub head: u64,
    /// Times that it contradicted what enough other replicas reported.
    pub conflicts: u64,
}

/// What a follower knows of the log and of the replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowerView {
    /// Name of the follower.
    pub name: String,
    /// Number up to which it applied the log.
    pub number: u64,
    /// Digest of its state.
    pub digest: u64,
    /// Indexes of the replicas that it follows at present.
    pub follows: Vec<usize>,
    /// All replicas.
    pub replicas: Vec<ReplicaStatus>,
    /// Seconds since its state was known to be the latest; `None` if that was not so since its start.
    #[serde(rename = "sure_as_of")]
    pub confirmed_age: Option<f64>,
    /// Highest number that enough replicas report.
    pub known: u64,
    /// Whether `known` is beyond `number`.
    pub behind: bool,
    /// Times that any replica contradicted what enough others reported.
    pub conflicts: u64,
    /// Times that its state turned out not to be a state of the log and was rebuilt from a complete snapshot.
    #[serde(rename = "anew")]
    pub rebuilds: u64,
    /// The latest entry that its gateway could not apply.
    #[serde(rename = "refused")]
    pub apply_error: Option<ApplyError>,
    /// Counters since its start.
    #[serde(rename = "tally")]
    pub counters: Counters,
}

/// Counters since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    #[serde(rename = "taken")]
    pub received: u64,
    /// Messages of an address or kind that is not expected here.
    #[serde(rename = "strange")]
    pub unexpected: u64,
    /// Messages dropped because the queue was full.
    #[serde(rename = "unsent")]
    pub dropped: u64,
    /// Polls of followers for which the table had no room.
    #[serde(rename = "crowded")]
    pub rejected_followers: u64,
    /// Attempts to lead.
    #[serde(rename = "prepared")]
    pub prepares: u64,
    /// Own ballots lost to a higher one.
    #[serde(rename = "outvoted")]
    pub preempted: u64,
    /// Changes taken from authors or other replicas.
    pub proposals: u64,
    /// Changes that ended with an unknown outcome ([`Outcome::Unknown`](crate::Outcome::Unknown)).
    #[serde(rename = "unknown")]
    pub expired_proposals: u64,
    /// Replicas only: times that another replica reported another digest at the same number.
    pub conflicts: u64,
}
