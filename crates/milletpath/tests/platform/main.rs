//! Tests of `milletpath platform` as a process on loopback; workers, discovery and clients are part of the tests.

mod attempt_deadlines;
mod calls;
mod departed_clients;
mod discovery;
mod discovery_outage;
mod endpoint_changes;
mod idle_router;
mod killed_processes;
mod large_events;
mod misbehaving_clients;
mod pause;
mod persistent_client;
mod process_lifecycle;
mod resource_limits;
mod shutdown;
mod unread_call;
mod worker_connections;
