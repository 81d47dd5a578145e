//! Logs membership events: gateways that join, leave, die or are misconfigured.

use milletpath_membership::MembershipEvent;

/// Logs one event. `max_gateways_here` is the number of gateways in this gateway's configuration.
pub fn log_event(event: &MembershipEvent, max_gateways_here: usize) {
    match event {
        MembershipEvent::Joined { name, address } => tracing::info!(name, %address, "a gateway joined"),
        MembershipEvent::Suspected { name } => tracing::info!(name, "a gateway does not answer"),
        MembershipEvent::Died { name } => tracing::warn!(name, "a gateway is declared dead"),
        MembershipEvent::Left { name } => tracing::info!(name, "a gateway left"),
        MembershipEvent::Returned { name } => {
            tracing::info!(name, "a gateway that was declared dead returned");
        }
        MembershipEvent::DuplicateName { name } => tracing::error!(
            name,
            "two gateways have the same name, and neither counts for shared budgets; give each its own name"
        ),
        MembershipEvent::MaxGatewaysMismatch { name, max_gateways } => tracing::error!(
            name,
            max_gateways,
            max_gateways_here,
            "another gateway's configuration states another number of gateways, and the larger one applies; make them equal"
        ),
        MembershipEvent::ProcessPaused { seconds } => {
            tracing::warn!(seconds, "the membership link was paused: its process or thread did not run");
        }
    }
}
