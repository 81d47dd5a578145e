//! The control machines of a run, each a process of `milletpath control`; queries of what they and the gateways have
//! applied; and authors, who propose configuration changes as `milletpath change` does. The datagrams of machines and
//! authors pass the relay, as those of gateways do; the queries do not.

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
    /// The system does not start the program, or gives no file, socket or thread.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The configuration is not valid.
    #[error(transparent)]
    Config(#[from] InvalidConfig),
    /// The configuration has no section `changes`.
    #[error("the configuration has no section changes")]
    MissingChangesSection,
    /// The client can't be opened.
    #[error(transparent)]
    Client(#[from] ControlClientError),
    /// The process of a control machine ended, or does not report that it listens.
    #[error("control machine {machine} does not begin")]
    NotListening {
        /// Its number.
        machine: usize,
    },
}

/// A client of the control machines at these addresses.
fn client(addresses: &AddressMap, control_machines: &[SocketAddr]) -> Result<Client, ControlError> {
    let config = gateway_config::parse(&gateway_config::control_text(control_machines, addresses))?;
    let settings = config.config_log.ok_or(ControlError::MissingChangesSection)?;
    Ok(Client::new(&settings)?)
}
