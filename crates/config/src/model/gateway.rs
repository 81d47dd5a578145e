//! The complete configuration of one gateway: its addresses, the policy configuration, profiles, workers and limits.

use super::functions::FunctionConfigs;
use super::limits::Limits;
use super::replication::{ConfigLogConfig, MembershipConfig};
use milletpath_policy::PolicyConfig;
use milletpath_protocol::registry::EndpointEntry;
use std::net::SocketAddr;

/// The complete configuration of one gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The address on which the gateway accepts client connections.
    pub listen: SocketAddr,
    /// Configuration of the routing policy.
    pub policy: PolicyConfig,
    /// Request profiles, in the same order as in `policy`.
    pub profiles: Vec<ProfileConfig>,
    /// Names of client groups, in the order of the quotas in `policy`.
    pub clients: Vec<String>,
    /// Settings of functions.
    pub functions: FunctionConfigs,
    /// Names of worker kinds, in the order of `policy.memory`.
    pub worker_kinds: Vec<String>,
    /// The source of the worker list.
    pub source: WorkerSource,
    /// Limits on the gateway's own queues, tables and waits.
    pub limits: Limits,
    /// Membership of this gateway in a fleet; `None` if the gateways share no state.
    pub membership: Option<MembershipConfig>,
    /// The log of configuration changes; `None` if only the configuration file applies.
    pub config_log: Option<ConfigLogConfig>,
}

/// The part of a profile that concerns clients. The policy holds its latency objective and idempotency.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileConfig {
    /// The name that clients send.
    pub name: String,
    /// Maximum time that a client waits for a response, in seconds.
    pub deadline: f64,
    /// The importance of one request, relative to requests of other profiles.
    pub importance: f64,
}

/// The source of the worker list.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerSource {
    /// A fixed list in the configuration file.
    List(Vec<EndpointEntry>),
    /// The registry at this address.
    Registry(SocketAddr),
}
