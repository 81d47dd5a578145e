//! The router on the platform as a process on loopback, between workers, discovery and clients of the tests' own.

mod attempt_deadlines;
mod calls;
mod departed_clients;
mod discovery;
mod discovery_outage;
mod endpoint_changes;
mod idle_router;
mod killed_processes;
mod misbehaving_clients;
mod pause;
mod persistent_client;
mod process_lifecycle;
mod resource_limits;
mod shutdown;
mod unread_call;
mod worker_connections;
