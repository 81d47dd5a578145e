//! Messages between a run and its host processes, one JSON object per line. The run writes [`HostCommand`]s to the
//! standard input of a host, and the host writes [`StatusMessage`]s to its standard output. A host exits when its input
//! ends.
//!
//! Gateways, hollow workers and control machines are identified by their numbers, counted from 0. Times (`at`) are
//! seconds on the machine's monotonic clock, which all processes of a run share.

use crate::membership_tracker::ReportedState;
use milletpath_gateway::hollow_gateway;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A command to a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HostCommand {
    /// Sets the plan. The first command, sent once.
    Plan {
        /// Text of the plan.
        text: String,
        /// Number of gateways in the fleet, which overrides that of the plan.
        gateways: usize,
        /// Seed of the run, which overrides that of the plan.
        seed: u64,
        /// Addresses of gateways and control machines.
        #[serde(rename = "places")]
        addresses: AddressMap,
    },
    /// Starts a gateway.
    #[serde(rename = "Begin")]
    StartGateway {
        /// Number of the gateway.
        gateway: usize,
    },
    /// Stops gateways.
    #[serde(rename = "End")]
    StopGateways {
        /// Numbers of the gateways.
        gateways: Vec<usize>,
        /// Whether they stop without notifying the others, like a killed process.
        killed: bool,
    },
    /// Applies an update of the endpoint list to all gateways of the host.
    #[serde(rename = "List")]
    UpdateEndpoints {
        /// Hollow workers in the update.
        workers: Vec<usize>,
        /// Distinguishes processes that use the same worker name.
        generation: u32,
        /// Whether these workers are present or gone.
        #[serde(rename = "there")]
        present: bool,
    },
    /// Requests readings of all gateways.
    #[serde(rename = "Read")]
    ReadGateways {
        /// Repeated in the response.
        #[serde(rename = "number")]
        request_id: u64,
    },
}

/// Addresses of the gateways and control machines of a run, and the folder of its files.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AddressMap {
    /// Address at which the other gateways reach each gateway.
    #[serde(rename = "links")]
    pub gateways: Vec<SocketAddr>,
    /// Address at which each control machine is reached.
    #[serde(rename = "control")]
    pub control_machines: Vec<SocketAddr>,
    /// Folder of the key and state files.
    pub folder: PathBuf,
}

/// A message from a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StatusMessage {
    /// A gateway started.
    #[serde(rename = "Began")]
    GatewayStarted {
        /// Number of the gateway.
        gateway: usize,
        /// Address of its membership link, if it has one.
        #[serde(rename = "link")]
        membership_address: Option<SocketAddr>,
        /// Address of its configuration follower, if it has one.
        #[serde(rename = "feed")]
        config_log_address: Option<SocketAddr>,
        /// When the start was requested.
        at: f64,
    },
    /// A gateway could not start, or its control thread exited on its own.
    #[serde(rename = "Failed")]
    GatewayFailed {
        /// Number of the gateway.
        gateway: usize,
        /// Description of the error.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A gateway stopped as requested.
    #[serde(rename = "Ended")]
    GatewayStopped {
        /// Number of the gateway.
        gateway: usize,
        /// When the stop was requested.
        at: f64,
    },
    /// Membership observations of gateways, in order.
    #[serde(rename = "Events")]
    MembershipObservations(Vec<MembershipObservation>),
    /// Configuration changes applied by gateways, in order.
    #[serde(rename = "Changed")]
    AppliedChanges(Vec<AppliedChange>),
    /// All gateways of the host applied an update of the endpoint list.
    #[serde(rename = "Listed")]
    EndpointsUpdated {
        /// Number of workers in the update.
        workers: usize,
        /// Processor time of the slowest gateway, in seconds.
        #[serde(rename = "slowest")]
        max_cpu_seconds: f64,
    },
    /// Readings of all gateways of the host.
    Readings {
        /// Id of the answered request.
        #[serde(rename = "number")]
        request_id: u64,
        /// One reading for each running gateway.
        readings: Vec<GatewayReading>,
    },
}

/// A change in one gateway's view of another.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, ReportedState, f64)", into = "(u32, u32, ReportedState, f64)")]
pub struct MembershipObservation {
    /// The gateway whose view changed.
    pub observer: u32,
    /// The observed gateway.
    pub subject: u32,
    /// New state of the subject in the observer's view.
    pub state: ReportedState,
    /// When the view changed.
    pub at: f64,
}

impl From<(u32, u32, ReportedState, f64)> for MembershipObservation {
    fn from((observer, subject, state, at): (u32, u32, ReportedState, f64)) -> Self {
        Self { observer, subject, state, at }
    }
}

impl From<MembershipObservation> for (u32, u32, ReportedState, f64) {
    fn from(observation: MembershipObservation) -> Self {
        (observation.observer, observation.subject, observation.state, observation.at)
    }
}

/// A gateway applied all configuration changes up to a number.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u64, f64)", into = "(u32, u64, f64)")]
pub struct AppliedChange {
    /// Number of the gateway.
    pub gateway: u32,
    /// Number in the configuration log.
    pub number: u64,
    /// When the change was applied.
    pub at: f64,
}

impl From<(u32, u64, f64)> for AppliedChange {
    fn from((gateway, number, at): (u32, u64, f64)) -> Self {
        Self { gateway, number, at }
    }
}

impl From<AppliedChange> for (u32, u64, f64) {
    fn from(applied: AppliedChange) -> Self {
        (applied.gateway, applied.number, applied.at)
    }
}

/// Resource usage and state of one hollow gateway. Times and counts are cumulative since its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GatewayReading {
    /// Number of the gateway.
    pub gateway: usize,
    /// When its membership thread was sampled.
    pub at: f64,
    /// Processor time of its membership thread, in seconds.
    #[serde(rename = "control")]
    pub membership_cpu: f64,
    /// Processor time that its dispatcher spent on timers and endpoint updates, in seconds.
    #[serde(rename = "desk")]
    pub dispatcher_cpu: f64,
    /// Number of gateways that it expects to be alive, including itself.
    #[serde(rename = "likely")]
    pub likely_gateways: f64,
    /// Lowest budget levels of each second completed since the previous reading.
    #[serde(rename = "lows")]
    pub minimums: Vec<Minimum>,
    /// Its configuration follower, if it has one.
    #[serde(rename = "changes")]
    pub config_log: Option<ConfigLogReading>,
}

/// Resource usage and state of the configuration follower of a hollow gateway.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ConfigLogReading {
    /// When its thread was sampled.
    pub at: f64,
    /// Processor time of its thread, in seconds.
    #[serde(rename = "cpu")]
    pub cpu_seconds: f64,
    /// All changes up to and including this number are applied.
    pub number: u64,
    /// Digest of the configuration state at that number.
    pub digest: u64,
}

/// Lowest budget levels of a gateway during one second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Minimum {
    /// The second, on the machine's monotonic clock.
    pub second: u64,
    /// The gateway's fraction of shared resources, which follows from the number of gateways without leases.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// Level of each budget, keyed by the budget's name.
    pub budgets: BTreeMap<String, BudgetLevel>,
}

/// A gateway's level of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct BudgetLevel {
    /// Its quota without leases, which follows from the number of gateways.
    pub quota: f64,
    /// What it may use, including leases held and excluding leases granted.
    pub allowed: f64,
}

impl From<(f64, f64)> for BudgetLevel {
    fn from((quota, allowed): (f64, f64)) -> Self {
        Self { quota, allowed }
    }
}

impl From<BudgetLevel> for (f64, f64) {
    fn from(level: BudgetLevel) -> Self {
        (level.quota, level.allowed)
    }
}

impl From<hollow_gateway::BudgetLevel> for BudgetLevel {
    fn from(level: hollow_gateway::BudgetLevel) -> Self {
        Self { quota: level.quota, allowed: level.allowed }
    }
}

impl From<hollow_gateway::SecondMinimum> for Minimum {
    fn from(minimum: hollow_gateway::SecondMinimum) -> Self {
        let budgets = minimum.budgets.into_iter();
        Self {
            second: minimum.second,
            fraction: minimum.fraction,
            budgets: budgets.map(|(name, level)| (name, level.into())).collect(),
        }
    }
}
