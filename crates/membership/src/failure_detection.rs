//! Failure detection: probing of members, the requests and acks that a probe consists of, and suspicion of members
//! that do not respond.

mod probing;
mod requests;
mod suspicion;
