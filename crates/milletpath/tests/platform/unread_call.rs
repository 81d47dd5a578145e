//! Calls that the router has not read, or not completely, when it is paused.

use milletpath_test_support::platform_rig::{Client, Router};

/// Bytes of a call's line that are written before the pause when the line is sent in two parts.
const FIRST_PART_BYTES: usize = 40;

/// Where the unread call is while the router is paused.
#[derive(Clone, Copy)]
pub enum UnreadCall {
    /// In the receive buffer of a connection that the router has accepted.
    OnAcceptedConnection,
    /// On a connection that the router has not accepted yet.
    InListenBacklog,
    /// The router has read the first part of the line; the rest is unread.
    PartialLine,
}

impl UnreadCall {
    /// Writes the part of the line that the router reads before it is paused.
    pub fn write_before_pause(self, client: &mut Client, line: &str) {
        if matches!(self, Self::PartialLine) {
            client.send(&line[..FIRST_PART_BYTES]);
        }
    }

    /// Writes the rest while the router is paused. Returns the client that sent it if it is not `client`.
    pub fn write_during_pause(self, client: &mut Client, router: &Router, line: &str) -> Option<Client> {
        match self {
            Self::OnAcceptedConnection => client.send(line),
            Self::PartialLine => client.send(&line[FIRST_PART_BYTES..]),
            Self::InListenBacklog => {
                let mut other = Client::connect(router);
                other.send(line);
                return Some(other);
            }
        }
        None
    }
}
