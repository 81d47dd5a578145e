//! What the dispatcher asks its caller to do. The caller takes actions with
//! [`Dispatcher::next_action`](super::Dispatcher::next_action), carries them out with its own I/O and reports what came
//! of them by the dispatcher's other methods.

use std::sync::Arc;

/// Identifies a request of a client, or a load request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId {
    /// Position in the dispatcher's table; it is used again once the request is over.
    pub index: usize,
    /// Serial number, which is never used again: it distinguishes a  from a later one at the same position.
    pub serial: u64,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Get a connection to the worker, then ask [`Dispatcher::begin_attempt`](super::Dispatcher::begin_attempt) whether
    /// the attempt may still be sent, and send it.
    SendAttempt {
        /// The request that is attempted.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: usize,
        /// Index of the worker.
        worker: usize,
    },
    /// Close the attempt's connection; nobody waits for its result, and its end is already recorded.
    CancelAttempt {
        /// The request that was attempted.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: usize,
    },
    /// Respond to the client that its request was not executed and may be sent again.
    Reject {
        /// The request that is rejected.
        request: RequestId,
        /// Seconds after which the client should retry, where they are known.
        retry_after: Option<f64>,
    },
    /// Respond to the client that its request failed; parts of it may have been executed.
    Fail {
        /// The request that failed.
        request: RequestId,
        /// Whether time ran out, rather than that a worker failed.
        timed_out: bool,
    },
    /// Send a load request to the worker, once
    /// [`Dispatcher::begin_load_request`](super::Dispatcher::begin_load_request) allows it.
    LoadFunction {
        /// Identifies the load request.
        load_request: RequestId,
        /// Index of the worker.
        worker: usize,
        /// Name of the function.
        function: Arc<str>,
        /// Instances to load; 0 asks only how many are loaded.
        instances: u8,
    },
    /// Ask the worker to unload the function; no answer is awaited.
    UnloadFunction {
        /// Index of the worker.
        worker: usize,
        /// Name of the function.
        function: Arc<str>,
    },
    /// Send a health check to the worker and report its result to
    /// [`Dispatcher::health_check_ended`](super::Dispatcher::health_check_ended).
    HealthCheck {
        /// Index of the worker.
        worker: usize,
        /// Number of the health check, to be given back with its result.
        serial: u64,
    },
    /// Ask the registry for the endpoint list and its changes.
    WatchEndpoints,
}
