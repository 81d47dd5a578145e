//! Membership events, which gateways log.

use std::net::SocketAddr;

/// Capacity of the queue of events for the caller; the oldest event is dropped if it is full.
pub(crate) const MAX_PENDING_EVENTS: usize = 256;

/// A change or problem in the cluster that should be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A gateway was discovered.
    Joined {
        /// Name of the gateway.
        name: String,
        /// Address on which it receives datagrams.
        address: SocketAddr,
    },
    /// A gateway is suspected to be dead.
    Suspected {
        /// Name of the gateway.
        name: String,
    },
    /// A gateway was declared dead because the suspicion was not refuted in time.
    Died {
        /// Name of the gateway.
        name: String,
    },
    /// A gateway announced its departure.
    Left {
        /// Name of the gateway.
        name: String,
    },
    /// A gateway that was considered dead or left is present again.
    Returned {
        /// Name of the gateway.
        name: String,
    },
    /// Two active processes use the same name. Repeated while the conflict lasts.
    DuplicateName {
        /// The name in use twice.
        name: String,
    },
    /// The `max_gateways` setting of another gateway differs from that of this one.
    MaxGatewaysMismatch {
        /// Name of the other gateway.
        name: String,
        /// The setting of the other gateway.
        max_gateways: u32,
    },
    /// This process was paused.
    ProcessPaused {
        /// Length of the pause in seconds.
        seconds: f64,
    },
}
