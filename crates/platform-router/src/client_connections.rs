//! Client connections. The length of a line is limited, all lines received in one read are validated before the first
//! one is processed, and responses are written whole. A client that sends an invalid line receives an error and its
//! connection is closed.
//!
//! `accept` accepts connections and `task` waits for socket readiness. `read` splits the bytes into lines, `validate`
//! checks them and collects those of one read in `received_messages`, `requests` submits calls to the dispatcher and
//! returns final responses, and `write` flushes the write buffer; `response_memory` decides whether there is room for a
//! response, and `departure` whether a client is still there. `close` closes a single connection, `graceful_shutdown`
//! closes all of them after SIGTERM.

mod accept;
mod close;
mod departure;
mod graceful_shutdown;
mod read;
mod received_messages;
mod requests;
mod response_memory;
mod task;
mod validate;
mod write;

pub(crate) use graceful_shutdown::Acceptor;

#[cfg(test)]
pub(crate) use requests::RESPONSE_MARGIN;

#[cfg(test)]
mod tests;
