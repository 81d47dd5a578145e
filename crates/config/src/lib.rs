//! What an installation states, in HCL, and the figures that the gateway derives from it at start.
//!
//! [`read`] gives a [`GatewayConfig`], or every [`ConfigError`] of the text with line, column and remedy. What a figure means,
//! its unit and bounds stand in `docs/operators/charter.md`.

pub mod change;
pub mod page;
mod read;

pub use change::{ConfigChange, Subject};
pub use page::ConfigError;
pub use read::read;

use milletpath_policy::host::Charter;
use milletpath_protocol::registry::Entry;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// All that a gateway goes by.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Where clients come in.
    pub listen: SocketAddr,
    /// What the decisions go by.
    pub policy: Charter,
    pub profiles: Vec<ProfileConfig>,
    /// Client groups, in the order of the policy's quotas.
    pub clients: Vec<String>,
    pub functions: FunctionConfigs,
    /// Kinds of workers, in the order of the policy's memory.
    pub kinds: Vec<String>,
    pub source: WorkerSource,
    pub bounds: Limits,
    /// What gateways tell each other; none where they share nothing.
    pub peers: Option<MembershipConfig>,
    /// Where changes of configuration come from; none where only the charter's file holds.
    pub changes: Option<ConfigLogConfig>,
}

/// The control machines, and how this gateway hears them.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigLogConfig {
    /// In the order of their numbers.
    pub control: Vec<SocketAddr>,
    /// The file with the secret that control machines, gateways and authors share.
    pub key: PathBuf,
    pub listen: SocketAddr,
    /// Where the last known state outlives a restart.
    pub state: PathBuf,
    /// As control machines and operators know this gateway.
    pub name: String,
}

/// How a gateway is known to the others, and how it knows them. Times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Where it hears letters, and where others are told that it does.
    pub listen: SocketAddr,
    pub advertise: SocketAddr,
    pub name: String,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The file with the secret that the gateways share.
    pub key: PathBuf,
    /// Between two probes.
    pub period: f64,
    /// For which a word counts as proof.
    pub lease: f64,
    /// Part of one in the most that it keeps while it hears no majority.
    pub floor: f64,
}

/// A profile as clients name it; its due time and effect are the policy's.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileConfig {
    pub name: String,
    /// Seconds that a client waits at most.
    pub cut_off: f64,
    pub importance: f64,
}

/// What is stated of functions: of those named, and of all others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FunctionConfigs {
    pub usual: FunctionOverrides,
    pub named: BTreeMap<String, FunctionOverrides>,
}

impl FunctionConfigs {
    /// The figures of a function: its own where they are stated, else those of all.
    pub fn of(&self, name: &str) -> FunctionConfig {
        let (own, usual, least) = (self.named.get(name), self.usual, FunctionConfig::default());
        let own = own.copied().unwrap_or_default();
        FunctionConfig {
            lanes: own.lanes.or(usual.lanes).unwrap_or(least.lanes),
            memory: own.memory.or(usual.memory).unwrap_or(least.memory),
            load: own.load.or(usual.load),
            profile: own.profile.or(usual.profile),
        }
    }
}

/// The figures that a statement of functions gives; the others are the usual ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FunctionOverrides {
    pub lanes: Option<f64>,
    pub memory: Option<f64>,
    pub load: Option<f64>,
    pub profile: Option<usize>,
}

/// One instance of a function.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FunctionConfig {
    /// Activations that it runs at a time.
    pub lanes: f64,
    /// In MB.
    pub memory: f64,
    /// The usual seconds of a load, where stated.
    pub load: Option<f64>,
    /// The only profile under which it may be called, where stated.
    pub profile: Option<usize>,
}

impl Default for FunctionConfig {
    fn default() -> Self {
        // A small function, one call at a time: the least that a worker can be expected to do.
        Self { lanes: 1.0, memory: 128.0, load: None, profile: None }
    }
}

/// Where the worker list comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerSource {
    List(Vec<Entry>),
    Registry(SocketAddr),
}

/// Bounds of the gateway's own queues, tables and waits. Times in seconds, sizes in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Threads that carry calls.
    pub cores: usize,
    /// Whether each is kept on a processor of its own.
    pub pin: bool,
    /// Activations in hand at once; what comes beyond is bounced at the door.
    pub open: usize,
    /// Bytes of all bodies and answers in hand together.
    pub held: usize,
    /// Bytes of one call's body.
    pub body: usize,
    /// Bytes of one answer.
    pub answer: usize,
    /// Client connections.
    pub connections: usize,
    /// Connections to one worker.
    pub per_worker: usize,
    /// For a client to send its header fields.
    pub head: f64,
    /// For a client that takes or sends nothing in the midst of a message.
    pub stall: f64,
    /// For a connection to be made.
    pub connect: f64,
    /// After which a connection to a worker that nobody used is closed.
    pub idle: f64,
    /// For a probe to be answered.
    pub probe: f64,
    /// After word that a worker drains, past which nothing is sent to it.
    pub grace: f64,
}
