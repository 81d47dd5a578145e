//! Messages between a run and its host processes: one JSON object a line. The run writes [`HostCommand`]s to the host's
//! standard input, and the host writes [`StatusMessage`]s to its standard output. A host ends when its input does.
//!
//! Gateways, hollow workers and control machines are identified by their numbers, from 0. Times (`at`) are seconds on the
//! machine's monotonic clock, which all processes of a run share.

use crate::membership_tracker::ReportedState;
use milletpath_gateway::hollow_gateway;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a host is to do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum HostCommand {
    /// The first command, sent once.
    Plan {
        /// The text of the plan.
        text: String,
        /// Gateways of the fleet, which need not be as many as the plan states.
        gateways: usize,
        /// The seed of the run, which need not be the plan's.
        seed: u64,
        /// Where gateways and control machines are reached.
        #[serde(rename = "places")]
        addresses: AddressMap,
    },
    /// Start a gateway.
    #[serde(rename = "Begin")]
    StartGateway {
        /// Its number.
        gateway: usize,
    },
    /// Stop gateways.
    #[serde(rename = "End")]
    StopGateways {
        /// Their numbers.
        gateways: Vec<usize>,
        /// Whether they stop without notifying the others, as a process that is killed does.
        killed: bool,
    },
    /// Pass one update of the endpoint list to all gateways of the host.
    #[serde(rename = "List")]
    UpdateEndpoints {
        /// The hollow workers concerned.
        workers: Vec<usize>,
        /// Distinguishes processes that use one worker's name.
        generation: u32,
        /// Whether these workers are there; if not, they are gone.
        #[serde(rename = "there")]
        present: bool,
    },
    /// Report the readings of all gateways.
    #[serde(rename = "Read")]
    ReadGateways {
        /// Repeated in the answer.
        #[serde(rename = "number")]
        request_id: u64,
    },
}

/// Where the gateways and the control machines of a run are reached, and where its files are.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AddressMap {
    /// The address at which other gateways reach each gateway.
    #[serde(rename = "links")]
    pub gateways: Vec<SocketAddr>,
    /// The address at which all reach each control machine.
    #[serde(rename = "control")]
    pub control_machines: Vec<SocketAddr>,
    /// The folder of keys and state files.
    pub folder: PathBuf,
}

/// What a host reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StatusMessage {
    /// A gateway started.
    #[serde(rename = "Began")]
    GatewayStarted {
        /// Its number.
        gateway: usize,
        /// The address of its membership link, if it has one.
        #[serde(rename = "link")]
        membership_address: Option<SocketAddr>,
        /// The address of its configuration follower, if it has one.
        #[serde(rename = "feed")]
        config_log_address: Option<SocketAddr>,
        /// When it was asked to start.
        at: f64,
    },
    /// A gateway could not start, or its control thread ended by itself.
    #[serde(rename = "Failed")]
    GatewayFailed {
        /// Its number.
        gateway: usize,
        /// What went wrong.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A gateway stopped, as it was asked to.
    #[serde(rename = "Ended")]
    GatewayStopped {
        /// Its number.
        gateway: usize,
        /// When it was asked to stop.
        at: f64,
    },
    /// What gateways observed of each other, in order.
    #[serde(rename = "Events")]
    MembershipObservations(Vec<MembershipObservation>),
    /// Configuration changes that gateways applied, in order.
    #[serde(rename = "Changed")]
    AppliedChanges(Vec<AppliedChange>),
    /// All gateways of the host took an update of the endpoint list.
    #[serde(rename = "Listed")]
    EndpointsUpdated {
        /// Workers in the update.
        workers: usize,
        /// Processor time that the slowest gateway took, in seconds.
        #[serde(rename = "slowest")]
        max_cpu_seconds: f64,
    },
    /// Readings of all gateways of the host.
    Readings {
        /// The id of the request that is answered.
        #[serde(rename = "number")]
        request_id: u64,
        /// One reading for each gateway that runs.
        readings: Vec<GatewayReading>,
    },
}

/// One gateway's view of another changed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, ReportedState, f64)", into = "(u32, u32, ReportedState, f64)")]
pub struct MembershipObservation {
    /// The gateway whose view changed.
    pub observer: u32,
    /// The gateway that it is about.
    pub subject: u32,
    /// What the observer takes the subject for from then on.
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

/// A gateway has applied all configuration changes up to a number.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u64, f64)", into = "(u32, u64, f64)")]
pub struct AppliedChange {
    /// The gateway.
    pub gateway: u32,
    /// The number in the configuration log.
    pub number: u64,
    /// When it was applied.
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

/// What one hollow gateway used and knew. Times and counts are since it started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GatewayReading {
    /// Its number.
    pub gateway: usize,
    /// When its membership thread was read.
    pub at: f64,
    /// Processor time of its membership thread, in seconds.
    #[serde(rename = "control")]
    pub membership_cpu: f64,
    /// Processor time of its dispatcher's timers and endpoint updates, in seconds.
    #[serde(rename = "desk")]
    pub dispatcher_cpu: f64,
    /// Gateways that it expects to be alive, itself included.
    #[serde(rename = "likely")]
    pub likely_gateways: f64,
    /// Budget minimums of the seconds that were completed since the previous reading.
    #[serde(rename = "lows")]
    pub minimums: Vec<Minimum>,
    /// Its configuration follower, if it has one.
    #[serde(rename = "changes")]
    pub config_log: Option<ConfigLogReading>,
}

/// What the configuration follower of a hollow gateway used and applied.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ConfigLogReading {
    /// When its thread was read.
    pub at: f64,
    /// Processor time of its thread, in seconds.
    #[serde(rename = "cpu")]
    pub cpu_seconds: f64,
    /// The number up to which all changes are applied.
    pub number: u64,
    /// The digest of the state at that number.
    pub digest: u64,
}

/// The least that a gateway was allowed to use at any moment of a second.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Minimum {
    /// The second, on the machine's monotonic clock.
    pub second: u64,
    /// Its fraction of what all gateways share by their number alone.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// What it was allowed of each budget, by the budget's name.
    pub budgets: BTreeMap<String, BudgetLevel>,
}

/// What a gateway may use of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct BudgetLevel {
    /// Its part by the number of gateways alone.
    pub quota: f64,
    /// What it is allowed with the leases that it granted and holds.
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
