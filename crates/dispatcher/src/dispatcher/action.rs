//! Actions that the dispatcher requests from its caller. The caller takes them with
//! [`Dispatcher::next_action`](super::Dispatcher::next_action), performs them with its own I/O and reports the
//! results through the dispatcher's other methods.

use std::sync::Arc;

/// Identifies a client's request or a load request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId {
    /// Position in the dispatcher's table; it is reused after the request has ended.
    pub index: usize,
    /// Serial number, never reused. It distinguishes this request from others that had the same index before.
    pub serial: u64,
}

/// An action for the caller to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Get a connection to the worker, then call [`Dispatcher::begin_attempt`](super::Dispatcher::begin_attempt) and
    /// send the attempt if that still allows it.
    SendAttempt {
        /// The request to send.
        request: RequestId,
        /// Index of the attempt within its request, from 0.
        attempt: usize,
        /// Index of the worker.
        worker: usize,
    },
    /// Close the attempt's connection. The attempt is already recorded as ended, and its result is not awaited.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt within its request.
        attempt: usize,
    },
    /// Respond to the client that its request was not executed and may be retried.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Seconds after which the client should retry, if known.
        retry_after: Option<f64>,
    },
    /// Respond to the client that its request failed; it may have been executed in part.
    Fail {
        /// The failed request.
        request: RequestId,
        /// Whether the request timed out; otherwise a worker failed.
        timed_out: bool,
    },
    /// Send a load request to the worker, if
    /// [`Dispatcher::begin_load_request`](super::Dispatcher::begin_load_request) allows it.
    LoadFunction {
        /// Id of the load request.
        load_request: RequestId,
        /// Index of the worker.
        worker: usize,
        /// Name of the function.
        function: Arc<str>,
        /// Number of instances to load; 0 only queries how many are loaded.
        instances: u8,
    },
    /// Tell the worker to unload the function. No response is expected.
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
        /// Serial number of the health check, to be passed back with its result.
        serial: u64,
    },
    /// Subscribe to the registry's endpoint list and its changes.
    WatchEndpoints,
}
