//! Why a run ends before its plan does.

use crate::children::GatewayProcessError;
use crate::control::ControlError;
use crate::gateway_config::InvalidConfig;
use std::io;

/// Why a run ended early.
#[derive(Debug, thiserror::Error)]
pub enum StopReason {
    /// A signal asked for it.
    #[error("the run was stopped")]
    Stopped,
    /// The plan's time limit is over.
    #[error("the run took longer than its time limit")]
    TimeLimit,
    /// The processes of the run use more memory than the plan allows.
    #[error("the run uses {gigabytes:.1} GB of memory, which is more than its limit")]
    MemoryLimit {
        /// Their resident memory in GB.
        gigabytes: f64,
    },
    /// A process of the run failed.
    #[error("a process failed: {0}")]
    Failed(#[from] ProcessFailure),
}

/// A process of the run that failed, and how.
#[derive(Debug, thiserror::Error)]
pub enum ProcessFailure {
    /// A real gateway can't be started.
    #[error("gateway {gateway} can't begin: {source}")]
    StartGateway {
        /// Its number.
        gateway: usize,
        /// What went wrong.
        source: StartGatewayError,
    },
    /// A real gateway can't be asked to stop.
    #[error("gateway {gateway} can't be told to stop: {source}")]
    StopGateway {
        /// Its number.
        gateway: usize,
        /// The error of the system.
        source: io::Error,
    },
    /// A hollow gateway could not start, or ended by itself.
    #[error("gateway {gateway}: {reason}")]
    HollowGateway {
        /// Its number.
        gateway: usize,
        /// What its host reported.
        reason: String,
    },
    /// A host ended by itself.
    #[error("host {host} ended; its log is host-{host}.log")]
    HostEnded {
        /// Its number.
        host: usize,
    },
    /// A control machine ended by itself.
    #[error("control machine {machine} ended by itself; its log is control-{machine}.told")]
    ControlMachineEnded {
        /// Its number.
        machine: usize,
    },
    /// A control machine can't be started again.
    #[error("control machine {machine} can't begin: {source}")]
    StartControlMachine {
        /// Its number.
        machine: usize,
        /// What went wrong.
        source: ControlError,
    },
    /// The status of the control machines can't be queried.
    #[error("control machines can't be asked: {0}")]
    QueryControlMachines(#[source] ControlError),
    /// The status of real gateways can't be queried.
    #[error("gateways can't be asked: {0}")]
    QueryGateways(#[source] ControlError),
    /// An author of changes can't be started.
    #[error("an author can't begin: {0}")]
    StartAuthor(#[source] ControlError),
    /// No control machine leads when the leader is to be killed.
    #[error("no control machine leads in mid-change")]
    NoLeader,
}

/// Why a real gateway can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartGatewayError {
    /// Its configuration file can't be written, or the thread that queries it can't be started.
    #[error(transparent)]
    System(#[from] io::Error),
    /// Its configuration is not valid.
    #[error(transparent)]
    Config(#[from] InvalidConfig),
    /// Its process does not start.
    #[error(transparent)]
    Process(#[from] GatewayProcessError),
}
