//! Failure detection: probes of members, the requests and answers that they consist of, and the suspicion of members
//! that nobody hears.

mod probing;
mod requests;
mod suspicion;
