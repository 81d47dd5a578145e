//! How a gateway takes part in what is replicated: the membership of the gateways, and the log of configuration changes
//! that the control machines keep.

use std::net::SocketAddr;
use std::path::PathBuf;

/// How this gateway is known to the others, and how it finds them. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Where it receives datagrams.
    pub listen: SocketAddr,
    /// The address that it announces to the others for datagrams.
    pub advertise: SocketAddr,
    /// As the other gateways know this one.
    pub name: String,
    /// Addresses at which other gateways may be found.
    pub seeds: Vec<SocketAddr>,
    /// The file with the secret that the gateways share.
    pub key_file: PathBuf,
    /// Seconds between two probes.
    pub period: f64,
    /// Seconds for which another gateway's assertion counts towards the quorum.
    pub lease: f64,
    /// The fraction of its quota that a gateway keeps while it can't reach a majority, from 0 to 1.
    pub floor: f64,
}

/// The control machines, and how this gateway follows their log.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigLogConfig {
    /// Addresses of the control machines, in the order of their numbers.
    pub control: Vec<SocketAddr>,
    /// The file with the secret that control machines, gateways and authors of changes share.
    pub key_file: PathBuf,
    /// Where it receives datagrams.
    pub listen: SocketAddr,
    /// The file in which the last known state outlives a restart.
    pub state_file: PathBuf,
    /// As control machines and operators know this gateway.
    pub name: String,
}
