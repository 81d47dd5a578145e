//! Counters of the membership protocol, which are part of the operators' view.

use crate::datagram::OpenError;
use serde::{Deserialize, Serialize};

/// Monotonic counters since the start of the process. Some fields have another name in JSON, for compatibility with
/// earlier versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Datagrams sent; counted by the owner of the socket.
    pub sent: u64,
    /// Bytes sent; counted by the owner of the socket.
    pub bytes: u64,
    /// Datagrams accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Datagrams rejected because of their size.
    #[serde(rename = "sizes")]
    pub rejected_size: u64,
    /// Datagrams rejected because of their version.
    #[serde(rename = "versions")]
    pub rejected_version: u64,
    /// Datagrams rejected because the authentication tag does not match.
    #[serde(rename = "seals")]
    pub rejected_seal: u64,
    /// Authentic datagrams whose body is malformed.
    #[serde(rename = "bodies")]
    pub rejected_body: u64,
    /// Datagrams whose sequence number was received before, or is too old for the replay window.
    #[serde(rename = "repeated")]
    pub replayed: u64,
    /// Datagrams addressed to another instance id, usually that of an earlier process at this address.
    #[serde(rename = "misled")]
    pub misaddressed: u64,
    /// Received datagrams that this process sent itself.
    pub echoes: u64,
    /// Members that could not be added because the table was full.
    #[serde(rename = "crowded")]
    pub no_capacity: u64,
    /// Datagrams that were not sent because the queue was full, they were too large, or the socket failed.
    pub unsent: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes that received neither a direct nor an indirect ack in time.
    #[serde(rename = "missed")]
    pub probes_unanswered: u64,
    /// Number of times that this process refuted a false update about itself.
    #[serde(rename = "objections")]
    pub refutations: u64,
    /// Number of times that this process detected that it had been paused.
    #[serde(rename = "stood")]
    pub pauses: u64,
}

impl Counters {
    /// Total number of datagrams that could not be opened.
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
