//! Membership events that a gateway logs.

use std::net::SocketAddr;

/// Events kept until the caller takes them; the oldest are dropped beyond that.
pub(crate) const MAX_PENDING_EVENTS: usize = 256;

/// Something that is worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A gateway was discovered.
    Joined {
        /// Its name.
        name: String,
        /// Address at which it receives datagrams.
        address: SocketAddr,
    },
    /// A gateway does not answer.
    Suspected {
        /// Its name.
        name: String,
    },
    /// A suspicion was not refuted in time.
    Died {
        /// The gateway's name.
        name: String,
    },
    /// A gateway announced its departure.
    Left {
        /// Its name.
        name: String,
    },
    /// A gateway that counted as gone is present again.
    Returned {
        /// Its name.
        name: String,
    },
    /// Two processes use one name. Repeated while they do.
    DuplicateName {
        /// The name.
        name: String,
    },
    /// The configuration of another gateway allows for another number of gateways.
    MaxGatewaysMismatch {
        /// The other gateway's name.
        name: String,
        /// The number in its configuration.
        max_gateways: u32,
    },
    /// This process did not run for a while.
    ProcessPaused {
        /// Length of the pause.
        seconds: f64,
    },
}
