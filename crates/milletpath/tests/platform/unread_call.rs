//! Where a call is that the router has not read when it is paused.

use milletpath_test_support::platform_rig::{Client, Router};

/// Bytes of a call's line that are written before the pause, where it comes in two halves.
const FIRST_PART_BYTES: usize = 40;

/// Where the call is.
#[derive(Clone, Copy)]
pub enum UnreadCall {
    /// On a connection that the router has accepted.
    OnAcceptedConnection,
    /// On a connection that the router has not accepted.
    InListenBacklog,
    /// All but its last part was read.
    PartialLine,
}

impl UnreadCall {
    /// Writes what the router reads before it is paused.
    pub fn write_before_pause(self, client: &mut Client, line: &str) {
        if matches!(self, Self::PartialLine) {
            client.send(&line[..FIRST_PART_BYTES]);
        }
    }

    /// Writes the rest while the router is paused; returns the connection, where it is another one.
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
