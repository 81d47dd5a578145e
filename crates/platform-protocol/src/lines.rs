//! Client lines: JSON-RPC 2.0 without batches, one message a line. Everything is checked before it is acted on; what is
//! wrong is reported as a [`InputError`](milletpath_protocol::InputError), with the line's number where that could be read.

mod call;
mod message;
mod write;

pub use call::{Call, MAX_REQUEST_BODY};
pub use message::{ClientMessage, InvalidLine, MAX_LINE, read};
pub use write::{write_failed, write_health, write_invalid, write_rejected, write_success};
