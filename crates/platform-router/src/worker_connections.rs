//! Connections to workers. A frame stays queued until its first byte can be written. Only then the dispatcher is
//! asked whether it may still be sent, so that a request cancelled earlier is never sent. An unreadable response ends
//! its connection and everything outstanding on it.
//!
//! `send` chooses a connection and queues a frame on it. `task` establishes the connection and waits for socket
//! readiness. `write` writes queued frames, which `frame` encodes, and `read` reads responses. `close` ends a
//! connection and reports the outcome of its frames.

mod close;
mod error;
mod frame;
mod read;
mod send;
mod task;
mod write;

#[cfg(test)]
mod tests;
