//! A small installation as processes: control machines, gateways that follow their log, and one worker.
//!
//! Where each process listens is fixed, as configurations name it, and belongs to this test process alone: a loopback
//! address derived from the process's id, and a port for each installation.

mod authors;
mod installation;
mod processes;

pub use authors::{HeldProposal, hold_back_first_proposal, propose_changes, propose_changes_at};
pub use installation::{ConfigDifference, Installation};
pub use processes::FileSizeLimit;

/// The key that the processes of an installation share.
pub const KEY: &str = "a secret of more than thirty-two bytes, for tests alone";

/// Another key than [`KEY`].
const OTHER_KEY: &str = "another secret of more than thirty-two bytes, for tests";

/// The key of an installation, for a test that writes datagrams itself.
fn key() -> milletpath_config_log::message::Key {
    milletpath_config_log::message::Key::new(KEY.as_bytes())
}
