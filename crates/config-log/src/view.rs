//! What replicas and followers know, in plain figures: for operators, logs and tools.

use serde::{Deserialize, Serialize};

/// A follower as a replica knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowerStatus {
    pub name: String,
    /// What is in force there.
    pub number: u64,
    /// Seconds since it was heard.
    #[serde(rename = "heard")]
    pub seconds_since_contact: f64,
    /// The latest entry that its gateway could not apply, and why.
    #[serde(rename = "refused")]
    pub apply_error: Option<(u64, String)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Its number among the replicas, from 0, and how many there are.
    #[serde(rename = "me")]
    pub own_index: usize,
    pub replicas: usize,
    /// Up to which number all is committed, and the digest of what is in force there.
    pub number: u64,
    pub digest: u64,
    /// Whether it votes: one that lost its disk does not until it was taken in again, nor one whose storage fails.
    pub votes: bool,
    /// Whether it proposes: its ballot is established.
    pub leads: bool,
    pub ballot: u64,
    /// Entries committed within the last minute, as far as they are kept.
    pub committed: usize,
    /// Whether a majority was heard within 2 s, and seconds since one knew of nothing beyond `number` (none: never).
    pub majority: bool,
    #[serde(rename = "sure_as_of")]
    pub confirmed_age: Option<f64>,
    /// Replicas heard within 2 s, itself among them.
    #[serde(rename = "heard")]
    pub reachable: Vec<usize>,
    pub followers: Vec<FollowerStatus>,
    #[serde(rename = "tally")]
    pub counters: Counters,
}

/// A replica as a follower knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    pub replica: usize,
    /// Seconds since it last answered; none for never.
    #[serde(rename = "heard")]
    pub seconds_since_contact: Option<f64>,
    pub head: u64,
    /// Times that it told other than what enough others told alike.
    pub conflicts: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FollowerView {
    pub name: String,
    /// What is in force here.
    pub number: u64,
    pub digest: u64,
    /// Whom it follows, as numbers of replicas, and all that it knows of each replica.
    pub follows: Vec<usize>,
    pub replicas: Vec<ReplicaStatus>,
    /// Seconds since what is in force here was known to be the latest; none: never since the start.
    #[serde(rename = "sure_as_of")]
    pub confirmed_age: Option<f64>,
    /// The highest number that enough replicas tell of, and whether it is further on than here.
    pub known: u64,
    pub behind: bool,
    /// Times that a replica told other than what enough others told alike.
    pub conflicts: u64,
    /// Times that what was in force here turned out to be no state of the log, and was gathered from nothing.
    #[serde(rename = "anew")]
    pub rebuilds: u64,
    #[serde(rename = "refused")]
    pub apply_error: Option<(u64, String)>,
    #[serde(rename = "tally")]
    pub counters: Counters,
}

/// Counts since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    pub sent: u64,
    #[serde(rename = "taken")]
    pub received: u64,
    /// From an address, or of a kind, that has no business here.
    #[serde(rename = "strange")]
    pub unexpected: u64,
    /// Not sent as too much waited.
    #[serde(rename = "unsent")]
    pub dropped: u64,
    /// Followers that there was no room for.
    #[serde(rename = "crowded")]
    pub rejected_followers: u64,
    /// Attempts to lead, and ballots that were lost to a higher one.
    #[serde(rename = "prepared")]
    pub prepares: u64,
    #[serde(rename = "outvoted")]
    pub preempted: u64,
    pub proposals: u64,
    #[serde(rename = "unknown")]
    pub expired_proposals: u64,
    /// Replicas only: another replica told another digest at the same number.
    pub conflicts: u64,
}
