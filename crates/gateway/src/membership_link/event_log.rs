//! Log lines for the events of the membership: gateways that join, leave, die or are configured wrongly.

use milletpath_membership::MembershipEvent;

/// Logs one event; `max_gateways_here` is the number of gateways that this one's configuration states.
pub fn log_event(event: &MembershipEvent, max_gateways_here: usize) {
    match event {
        MembershipEvent::Joined { name, address } => {
            tracing::info!(name, at = %address, "a gateway is there")
        }
        MembershipEvent::Suspected { name } => tracing::info!(name, "a gateway does not answer"),
        MembershipEvent::Died { name } => tracing::warn!(name, "a gateway counts as gone"),
        MembershipEvent::Left { name } => tracing::info!(name, "a gateway has left"),
        MembershipEvent::Returned { name } => {
            tracing::info!(name, "a gateway that counted as gone is there")
        }
        MembershipEvent::DuplicateName { name } => tracing::error!(
            name,
            "two gateways go by one name: give each its own; until then neither has a say in shared budgets"
        ),
        MembershipEvent::MaxGatewaysMismatch { name, max_gateways } => tracing::error!(
            name,
            most = max_gateways,
            own = max_gateways_here,
            "another gateway's charter states another number of gateways: make them alike; the larger one holds"
        ),
        MembershipEvent::ProcessPaused { seconds } => {
            tracing::warn!(seconds, "the link to the other gateways stood still")
        }
    }
}
