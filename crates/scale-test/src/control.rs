//! The control machines of a run, each a `milletpath control` process; queries of the state that they and the gateways
//! have applied; and authors, which propose configuration changes as `milletpath change` does. Datagrams of control
//! machines and authors pass through the relay like those of gateways; the queries do not.

mod author;
mod machine_process;
mod queries;

pub use author::{AUTHOR_COUNT, Author, LOOKUP_LEAD_SECONDS, MAX_PROPOSAL_SECONDS};
pub use machine_process::{ControlMachine, LogState};
pub use queries::{control_machine_views, gateway_states};

use crate::gateway_config::{self, InvalidConfig};
use crate::host_protocol::AddressMap;
use milletpath_gateway::control_client::{Client, ControlClientError};
use std::io;
use std::net::SocketAddr;

/// Why a control machine or a client of the control machines can't be started.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The program can't be spawned, or the system can't provide a file, socket or thread.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The configuration is not valid.
    #[error(transparent)]
    Config(#[from] InvalidConfig),
    /// The configuration has no section `changes`.
    #[error("the configuration has no section `changes`")]
    MissingChangesSection,
    /// The client can't be opened.
    #[error(transparent)]
    Client(#[from] ControlClientError),
    /// The process exited, or closed its output without printing that it listens.
    #[error("control machine {machine} exited or did not report that it listens")]
    NotListening {
        /// Number of the control machine.
        machine: usize,
    },
}

/// Opens a client of the control machines at these addresses.
fn client(addresses: &AddressMap, control_machines: &[SocketAddr]) -> Result<Client, ControlError> {
    let config = gateway_config::parse(&gateway_config::control_text(control_machines, addresses))?;
    let settings = config.config_log.ok_or(ControlError::MissingChangesSection)?;
    Ok(Client::new(&settings)?)
}
