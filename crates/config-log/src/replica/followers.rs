//! The table of followers that poll this replica.

use crate::message::ApplyError;
use crate::view::FollowerStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of followers. Of 1,100 gateways that each follow three of seven replicas, 471 poll each replica on
/// average.
const MAX_FOLLOWERS: usize = 2048;

/// Seconds without a poll after which entries are no longer pushed to a follower.
const PUSH_TIMEOUT: f64 = 3.0;

/// Seconds without a poll after which a follower is removed; until then operators see it as silent.
const EXPIRY_TIMEOUT: f64 = 600.0;

/// What a follower reported with its last poll.
#[derive(Clone, Debug)]
pub(super) struct KnownFollower {
    pub address: SocketAddr,
    /// Number up to which it has applied the log.
    pub number: u64,
    pub last_polled_at: f64,
    pub apply_error: Option<ApplyError>,
}

/// The table has no room for another follower.
#[derive(Clone, Copy, Debug)]
pub(super) struct TableFull;

/// The followers by name, at most [`MAX_FOLLOWERS`].
#[derive(Clone, Debug, Default)]
pub(super) struct Followers {
    by_name: BTreeMap<String, KnownFollower>,
}

impl Followers {
    /// Records a poll. If the table is full, silent followers are removed to make room.
    pub fn record_poll(&mut self, name: String, follower: KnownFollower) -> Result<(), TableFull> {
        let now = follower.last_polled_at;
        if self.by_name.len() >= MAX_FOLLOWERS && !self.by_name.contains_key(&name) {
            self.by_name.retain(|_, known| now - known.last_polled_at < PUSH_TIMEOUT);
        }
        if self.by_name.len() >= MAX_FOLLOWERS && !self.by_name.contains_key(&name) {
            return Err(TableFull);
        }
        self.by_name.insert(name, follower);
        Ok(())
    }

    /// Addresses of the followers that polled recently.
    pub fn active(&self, now: f64) -> Vec<SocketAddr> {
        let active = self.by_name.values().filter(|known| now - known.last_polled_at < PUSH_TIMEOUT);
        active.map(|known| known.address).collect()
    }

    /// Removes expired followers and returns the status of the others.
    pub fn statuses(&mut self, now: f64) -> Vec<FollowerStatus> {
        self.by_name.retain(|_, known| now - known.last_polled_at < EXPIRY_TIMEOUT);
        let status = |(name, known): (&String, &KnownFollower)| FollowerStatus {
            name: name.clone(),
            number: known.number,
            seconds_since_contact: now - known.last_polled_at,
            apply_error: known.apply_error.clone(),
        };
        self.by_name.iter().map(status).collect()
    }
}
