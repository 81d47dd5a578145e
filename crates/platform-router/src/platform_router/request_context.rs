//! What the router keeps of a request while the dispatcher has it.

use crate::memory_budget::MemoryReservation;

/// Identifies a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientKey {
    /// Position among the connections; it is used again once the connection is closed.
    pub slot: usize,
    /// Serial number, which is never used again: it distinguishes a  from a later one in the same slot.
    pub serial: u64,
}

/// Who sent a request, and what a worker is sent for it. Times are in seconds on the router's clock.
pub(crate) struct RequestContext {
    /// The connection that the request came on.
    pub client: ClientKey,
    /// The number that the client gave the call on its connection; the final response repeats it.
    pub number: u64,
    /// The id of the request, the same in each of its attempts.
    pub id: u64,
    /// Index of its profile.
    pub profile: usize,
    /// Sent along with each attempt; empty where the client gave none.
    pub idempotency_key: String,
    /// The body, as the worker is sent it.
    pub body: Vec<u8>,
    /// The bytes of key and body in the memory budget, for as long as this lives.
    pub _reservation: MemoryReservation,
    /// When the request was read.
    pub received_at: f64,
    /// When its last attempt was begun.
    pub last_attempt_at: f64,
    /// Slot of the connection of each attempt, by the attempt's number.
    pub worker_connections: Vec<usize>,
}
