//! Connections of clients. Lines are read within their bound, and all that came at once are checked before the first
//! is acted on; responses are written whole. A client that sends an invalid line gets an error and is closed.
//!
//! `accept` takes connections in and `task` waits for their sockets. `read` splits bytes into lines, `validate` checks
//! them, `requests` passes calls to the dispatcher and final responses back, `write` flushes. `close` ends one
//! connection, `graceful_shutdown` all of them after SIGTERM.

mod accept;
mod close;
mod graceful_shutdown;
mod read;
mod requests;
mod task;
mod validate;
mod write;

pub(crate) use graceful_shutdown::Acceptor;

#[cfg(test)]
pub(crate) use requests::RESPONSE_MARGIN;

#[cfg(test)]
mod tests;
