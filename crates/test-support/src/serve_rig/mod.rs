//! A `milletpath serve` process on loopback, workers on threads of the test, and clients with access to the raw bytes.

mod client;
mod gateway;
mod message;
mod worker;

pub use client::{Client, Departure, call_request};
pub use gateway::{Gateway, GatewayOptions};
pub use message::Message;
pub use worker::{Arrival, Arrivals, FULL, FullBacklogWorker, OK, Worker, serve_connection};
