//! Tests of the dispatcher in simulated time, without sockets or a clock: scenarios by topic, then every order of the
//! events around one request, then random histories.

#[path = "dispatcher/attempts.rs"]
mod attempts;
#[path = "dispatcher/config_changes.rs"]
mod config_changes;
#[path = "dispatcher/endpoints.rs"]
mod endpoints;
#[path = "dispatcher/functions.rs"]
mod functions;
#[path = "dispatcher/interleavings.rs"]
mod interleavings;
#[path = "dispatcher/random_histories.rs"]
mod random_histories;
#[path = "dispatcher/support.rs"]
mod support;
