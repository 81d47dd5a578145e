//! Counters of the membership protocol, as operators see them.

use crate::datagram::OpenError;
use serde::{Deserialize, Serialize};

/// Counts since the start of the process; they only grow. The names in JSON are older than the fields' names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Datagrams sent; counted by the owner of the socket.
    pub sent: u64,
    /// Bytes sent; counted by the owner of the socket.
    pub bytes: u64,
    /// Datagrams accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Datagrams rejected for their size.
    #[serde(rename = "sizes")]
    pub rejected_size: u64,
    /// Datagrams rejected for their version.
    #[serde(rename = "versions")]
    pub rejected_version: u64,
    /// Datagrams rejected for their seal.
    #[serde(rename = "seals")]
    pub rejected_seal: u64,
    /// Authentic datagrams whose body is malformed.
    #[serde(rename = "bodies")]
    pub rejected_body: u64,
    /// Datagrams whose sequence number was received before, or is too old to be checked.
    #[serde(rename = "repeated")]
    pub replayed: u64,
    /// Datagrams for a predecessor of this process.
    #[serde(rename = "misled")]
    pub misaddressed: u64,
    /// Datagrams that this process sent itself.
    pub echoes: u64,
    /// Members that the full table had no place for.
    #[serde(rename = "crowded")]
    pub no_capacity: u64,
    /// Datagrams dropped before they were sent: the queue was full, they were too large, or the socket failed.
    pub unsent: u64,
    /// Probes begun.
    pub probes: u64,
    /// Probes that were not answered in time, neither directly nor through helpers.
    #[serde(rename = "missed")]
    pub probes_unanswered: u64,
    /// Times that this process refuted a false update about itself.
    #[serde(rename = "objections")]
    pub refutations: u64,
    /// Times that this process noticed that it had not run for a while.
    #[serde(rename = "stood")]
    pub pauses: u64,
}

impl Counters {
    /// Number of datagrams that could not be opened, for whatever reason.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.rejected_size + self.rejected_version + self.rejected_seal + self.rejected_body
    }

    /// Counts a received datagram that could not be opened.
    pub fn record_rejected(&mut self, error: OpenError) {
        *match error {
            OpenError::InvalidSize => &mut self.rejected_size,
            OpenError::UnsupportedVersion(_) => &mut self.rejected_version,
            OpenError::InvalidTag => &mut self.rejected_seal,
            OpenError::InvalidBody => &mut self.rejected_body,
        } += 1;
    }
}
