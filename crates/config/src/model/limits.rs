//! Bounds of the gateway's own queues, tables and waits: what keeps its memory, sockets and time bounded whatever
//! clients and workers do.

/// Bounds of the gateway's own queues, tables and waits. Times in seconds, sizes in bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Threads that carry requests.
    pub cores: usize,
    /// Whether each thread is pinned to a processor of its own.
    pub pin: bool,
    /// Requests open at once; those beyond are rejected on arrival.
    pub max_open_requests: usize,
    /// Bytes of all request and response bodies buffered together.
    pub max_buffered_bytes: usize,
    /// Bytes of the body of one request.
    pub max_request_body: usize,
    /// Bytes of the body of one response.
    pub max_response_body: usize,
    /// Client connections.
    pub max_connections: usize,
    /// Connections to one worker.
    pub max_connections_per_worker: usize,
    /// Seconds for a client to send its header fields.
    pub header_timeout: f64,
    /// Seconds for which a client may take or send nothing in the midst of a message.
    pub stall_timeout: f64,
    /// Seconds for a connection to a worker to be established.
    pub connect_timeout: f64,
    /// Seconds after which an unused connection to a worker is closed.
    pub idle_timeout: f64,
    /// Seconds for a health check to be answered.
    pub health_check_timeout: f64,
    /// Seconds for which a draining worker may still be sent requests.
    pub drain_grace: f64,
}
