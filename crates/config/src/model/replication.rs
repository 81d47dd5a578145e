//! Configuration of the replicated state: the membership of the gateways, and the log of configuration changes that the
//! control machines replicate.

use std::net::SocketAddr;
use std::path::PathBuf;

/// How this gateway identifies itself to the other gateways, and how it discovers them. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// The address on which the gateway receives datagrams.
    pub listen: SocketAddr,
    /// The address for datagrams that the gateway announces to the others.
    pub advertise: SocketAddr,
    /// The name of this gateway among the gateways.
    pub name: String,
    /// Addresses of gateways to contact for discovery.
    pub seeds: Vec<SocketAddr>,
    /// The file with the secret that the gateways share.
    pub key_file: PathBuf,
    /// Interval between two probes.
    pub period: f64,
    /// Time for which another gateway's assertion counts towards the quorum.
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
    /// The address on which the gateway receives datagrams.
    pub listen: SocketAddr,
    /// The file that keeps the last known state across restarts.
    pub state_file: PathBuf,
    /// The name of this gateway for control machines and operators.
    pub name: String,
}
