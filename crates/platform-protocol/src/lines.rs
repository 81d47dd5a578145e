//! The protocol of clients: JSON-RPC 2.0 without batches, one message per line. A line is fully validated before it is
//! processed. Errors are reported as [`InvalidLine`], with the line's number (its JSON-RPC `id`) if that is readable.

mod call;
mod message;
mod write;

pub use call::{Call, MAX_REQUEST_BODY};
pub use message::{ClientMessage, InvalidLine, MAX_LINE, read, read_for_rejection};
pub use write::{
    MAX_SHORT_LENGTH, max_success_length, write_failed, write_health, write_invalid, write_rejected,
    write_success,
};
