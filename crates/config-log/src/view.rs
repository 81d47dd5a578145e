//! What replicas and followers know, in plain figures: for operators, logs and tools.

use serde::{Deserialize, Serialize};

/// A follower as a replica knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub name: String,
    /// What is in force there.
    pub number: u64,
    /// Seconds since it was heard.
    pub heard: f64,
    /// The latest entry that its gateway could not apply, and why.
    pub refused: Option<(u64, String)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Its number among the replicas, from 0, and how many there are.
    pub me: usize,
    pub replicas: usize,
    /// Up to which number all is committed, and the digest of what is in force there.
    pub number: u64,
    pub digest: u64,
    /// Whether it votes: one that lost its disk does not until it was taken in again.
    pub votes: bool,
    /// Whether it proposes: its ballot is established.
    pub leads: bool,
    pub ballot: u64,
    /// Entries committed within the last minute, as far as they are kept.
    pub committed: usize,
    /// Whether a majority was heard within 2 s, and seconds since one knew of nothing beyond `number` (none: never).
    pub majority: bool,
    pub sure_as_of: Option<f64>,
    /// Replicas heard within 2 s, itself among them.
    pub heard: Vec<usize>,
    pub followers: Vec<Seen>,
    pub tally: Tally,
}

/// A replica as a follower knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Followed {
    pub replica: usize,
    /// Seconds since it last answered; none for never.
    pub heard: Option<f64>,
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
    pub replicas: Vec<Followed>,
    /// Seconds since what is in force here was known to be the latest; none: never since the start.
    pub sure_as_of: Option<f64>,
    /// The highest number that enough replicas tell of, and whether it is further on than here.
    pub known: u64,
    pub behind: bool,
    /// Times that a replica told other than what enough others told alike.
    pub conflicts: u64,
    /// Times that what was in force here turned out to be no state of the log, and was gathered from nothing.
    pub anew: u64,
    pub refused: Option<(u64, String)>,
    pub tally: Tally,
}

/// Counts since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub sent: u64,
    pub taken: u64,
    /// From an address, or of a kind, that has no business here.
    pub strange: u64,
    /// Not sent as too much waited.
    pub unsent: u64,
    /// Followers that there was no room for.
    pub crowded: u64,
    /// Attempts to lead, and ballots that were lost to a higher one.
    pub prepared: u64,
    pub outvoted: u64,
    pub proposals: u64,
    pub unknown: u64,
    /// Replicas only: another replica told another digest at the same number.
    pub conflicts: u64,
}
