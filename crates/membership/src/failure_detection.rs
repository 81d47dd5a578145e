//! Failure detection: probes of members, the requests and answers that they consist of, and the suspicion of members
//! that do not answer.

mod probing;
mod requests;
mod suspicion;
