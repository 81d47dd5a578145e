//! Limits on the gateway's own queues, tables and waits. They bound its memory, its sockets and its waiting times whatever
//! clients and workers do.

/// Limits on the gateway's own queues, tables and waits. Times are in seconds, sizes in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Number of threads that process requests.
    pub cores: usize,
    /// Whether each of these threads is pinned to its own processor.
    pub pin: bool,
    /// Maximum number of open requests; further requests are rejected on arrival.
    pub max_open_requests: usize,
    /// Maximum total size of all buffered request and response bodies.
    pub max_buffered_bytes: usize,
    /// Maximum size of a request body.
    pub max_request_body: usize,
    /// Maximum size of a response body.
    pub max_response_body: usize,
    /// Maximum number of client connections.
    pub max_connections: usize,
    /// Maximum number of connections to one worker.
    pub max_connections_per_worker: usize,
    /// Time limit for a client to send the header of a request.
    pub header_timeout: f64,
    /// Maximum time for which a client may neither send nor receive anything in the middle of a message.
    pub stall_timeout: f64,
    /// Time limit for establishing a connection to a worker.
    pub connect_timeout: f64,
    /// Time after which an idle connection to a worker is closed.
    pub idle_timeout: f64,
    /// Time limit for the response to a health check.
    pub health_check_timeout: f64,
    /// Time for which a draining worker may still be sent requests.
    pub drain_grace: f64,
}
