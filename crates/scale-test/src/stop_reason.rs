//! Reasons for a run to end before its plan is complete.

use crate::children::GatewayProcessError;
use crate::control::ControlError;
use crate::gateway_config::InvalidConfig;
use std::io;

/// Why a run ended early.
#[derive(Debug, thiserror::Error)]
pub enum StopReason {
    /// The stop flag was set, usually by a signal.
    #[error("the run was stopped")]
    Stopped,
    /// The time limit of the plan expired.
    #[error("the run took longer than its time limit")]
    TimeLimit,
    /// The processes of the run exceeded the memory limit of the plan.
    #[error("the run uses {gigabytes:.1} GB of memory, which is more than its limit")]
    MemoryLimit {
        /// Their total resident memory in GB.
        gigabytes: f64,
    },
    /// A process of the run failed.
    #[error("a process failed: {0}")]
    Failed(#[from] ProcessFailure),
}

/// A failed process of the run and its error.
#[derive(Debug, thiserror::Error)]
pub enum ProcessFailure {
    /// A real gateway can't be started.
    #[error("gateway {gateway} can't be started: {source}")]
    StartGateway {
        /// Number of the gateway.
        gateway: usize,
        /// The error.
        source: StartGatewayError,
    },
    /// A real gateway can't be signalled to stop.
    #[error("gateway {gateway} can't be signalled to stop: {source}")]
    StopGateway {
        /// Number of the gateway.
        gateway: usize,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A hollow gateway could not start, or ended on its own.
    #[error("gateway {gateway}: {reason}")]
    HollowGateway {
        /// Number of the gateway.
        gateway: usize,
        /// The reason reported by its host.
        reason: String,
    },
    /// A host exited on its own.
    #[error("host {host} exited; see its log host-{host}.log")]
    HostEnded {
        /// Number of the host.
        host: usize,
    },
    /// A control machine exited on its own.
    #[error("control machine {machine} exited; see its log control-{machine}.told")]
    ControlMachineEnded {
        /// Number of the control machine.
        machine: usize,
    },
    /// A control machine can't be restarted.
    #[error("control machine {machine} can't be restarted: {source}")]
    StartControlMachine {
        /// Number of the control machine.
        machine: usize,
        /// The error.
        source: ControlError,
    },
    /// The status of the control machines can't be queried.
    #[error("the control machines can't be queried: {0}")]
    QueryControlMachines(#[source] ControlError),
    /// The status of real gateways can't be queried.
    #[error("the gateways can't be queried: {0}")]
    QueryGateways(#[source] ControlError),
    /// An author of changes can't be started.
    #[error("an author of configuration changes can't be started: {0}")]
    StartAuthor(#[source] ControlError),
    /// No control machine is the leader at the time when the leader should be killed.
    #[error("no control machine is the leader while changes are proposed")]
    NoLeader,
}

/// Why a real gateway can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartGatewayError {
    /// The configuration file can't be written, or the polling thread can't be started.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The configuration is not valid.
    #[error(transparent)]
    Config(#[from] InvalidConfig),
    /// The process can't be started.
    #[error(transparent)]
    Process(#[from] GatewayProcessError),
}
