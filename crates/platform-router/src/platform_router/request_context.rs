//! Data that the router keeps for a request while the dispatcher holds it.

use crate::memory_budget::MemoryReservation;

/// Identifies a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientKey {
    /// Index in `clients`, which is reused after the connection is closed.
    pub slot: usize,
    /// Serial number, which is never reused. It distinguishes the connection from a later one in the same slot.
    pub serial: u64,
}

/// The origin of a request and the data sent to a worker for it. Times are in seconds on the router's clock.
pub(crate) struct RequestContext {
    /// The client connection on which the request was received.
    pub client: ClientKey,
    /// The number that the client assigned to the call on its connection; repeated in the final response.
    pub number: u64,
    /// The request id, which all attempts share.
    pub id: u64,
    /// Index of the request's profile.
    pub profile: usize,
    /// Sent with each attempt; empty if the client gave none.
    pub idempotency_key: String,
    /// The body that is sent to a worker.
    pub body: Vec<u8>,
    /// Reserves the bytes of the key and the body in the memory budget.
    pub _reservation: MemoryReservation,
    /// Reserves the bytes of the response beyond those of the body, once an attempt was sent.
    pub response_reservation: Option<MemoryReservation>,
    /// Time at which the request was read.
    pub received_at: f64,
    /// Time at which the last attempt began.
    pub last_attempt_at: f64,
    /// Slot of the worker connection of each attempt, indexed by the attempt's number.
    pub worker_connections: Vec<usize>,
}
