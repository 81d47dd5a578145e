//! A small installation as processes: control machines, gateways that follow their log, and one worker.
//!
//! Listen addresses are fixed because the configurations refer to them. To avoid collisions with other test processes
//! and installations, the loopback address is derived from the process id, and each installation has its own port.

mod authors;
mod installation;
mod processes;

pub use authors::{HeldProposal, hold_back_first_proposal, propose_changes, propose_changes_at};
pub use installation::{ConfigDifference, Installation};
pub use processes::FileSizeLimit;

/// Shared key of the processes of an installation.
pub const KEY: &str = "a secret of more than thirty-two bytes, for tests alone";

/// A key that differs from [`KEY`].
const OTHER_KEY: &str = "another secret of more than thirty-two bytes, for tests";

/// Returns [`KEY`] in the form in which datagrams are sealed and opened.
fn key() -> milletpath_config_log::message::Key {
    milletpath_config_log::message::Key::new(KEY.as_bytes())
}
