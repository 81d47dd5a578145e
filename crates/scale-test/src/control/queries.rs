//! Queries the state of control machines and real gateways. The queries bypass the relay.

use super::{ControlError, client};
use crate::applied_state::AppliedState;
use crate::host_protocol::AddressMap;
use milletpath_config_log::ReplicaView;
use milletpath_gateway::ConfigStatus;
use std::net::SocketAddr;

/// Returns the status of each control machine in the order of `targets`; `None` for one that does not answer.
///
/// # Errors
///
/// The client can't be opened.
pub fn control_machine_views(
    addresses: &AddressMap,
    targets: &[SocketAddr],
) -> Result<Vec<Option<ReplicaView>>, ControlError> {
    if targets.is_empty() {
        return Ok(Vec::new());
    }
    Ok(client(addresses, targets)?.control_status())
}

/// Returns the applied state of each real gateway in the order of `targets`; `None` for one that does not answer.
///
/// # Errors
///
/// The client can't be opened.
pub fn gateway_states(
    addresses: &AddressMap,
    targets: &[SocketAddr],
) -> Result<Vec<Option<AppliedState>>, ControlError> {
    if targets.is_empty() {
        return Ok(Vec::new());
    }
    let to_strings = client(addresses, &addresses.control_machines)?.status_texts(targets);
    let parse = |text: Option<Vec<u8>>| {
        let status: ConfigStatus = serde_json::from_slice(&text?).ok()?;
        Some(AppliedState { number: status.view.number, digest: status.view.digest })
    };
    Ok(to_strings.into_iter().map(parse).collect())
}
