//! All that one gateway goes by: its addresses, the policy's configuration, profiles, workers and limits.

use super::functions::FunctionConfigs;
use super::limits::Limits;
use super::replication::{ConfigLogConfig, MembershipConfig};
use milletpath_policy::PolicyConfig;
use milletpath_protocol::registry::EndpointEntry;
use std::net::SocketAddr;

/// All that a gateway goes by.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// What the routing decisions go by.
    pub policy: PolicyConfig,
    /// Profiles of requests, in the order of the policy's.
    pub profiles: Vec<ProfileConfig>,
    /// Client groups, in the order of the policy's quotas.
    pub clients: Vec<String>,
    /// What is stated of functions.
    pub functions: FunctionConfigs,
    /// Kinds of workers, in the order of the policy's memory.
    pub worker_kinds: Vec<String>,
    /// Where the worker list comes from.
    pub source: WorkerSource,
    /// Bounds of the gateway's own queues, tables and waits.
    pub limits: Limits,
    /// Membership among the gateways; none where they share nothing.
    pub membership: Option<MembershipConfig>,
    /// Where changes of configuration come from; none where only the configuration file holds.
    pub config_log: Option<ConfigLogConfig>,
}

/// A profile as clients name it; its latency objective and its effect are the policy's.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileConfig {
    /// The name that clients send.
    pub name: String,
    /// Seconds that a client waits at most.
    pub deadline: f64,
    /// The worth of one request, relative to those of other profiles.
    pub importance: f64,
}

/// Where the worker list comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerSource {
    /// From the configuration file.
    List(Vec<EndpointEntry>),
    /// From the registry at this address.
    Registry(SocketAddr),
}
