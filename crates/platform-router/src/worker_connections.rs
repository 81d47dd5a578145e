//! Connections to workers. A frame is queued until its first byte can be written; only then the dispatcher is asked
//! whether it may still go, so that what is cancelled before was never sent. A response that can't be read ends its
//! connection and all that was outstanding on it.
//!
//! `send` chooses a connection and queues a frame there, `task` makes the connection and waits for its socket. `write`
//! writes queued frames, which `frame` makes, and `read` reads responses. `close` ends a connection and reports what
//! became of the frames on it.

mod close;
mod error;
mod frame;
mod read;
mod send;
mod task;
mod write;

#[cfg(test)]
mod tests;
