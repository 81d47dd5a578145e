//! What the cores are asked to do: messages that the dispatcher's actions become, and faults that tests inject. A
//! message carries everything its core needs, so that the dispatcher is not asked again.

use crate::connection_limit::ConnectionPermit;
use crate::connection_pool::WorkerTarget;
use crate::response::LocalResponse;
use crate::response_channel::ResponseChannel;
use milletpath_dispatcher::dispatcher::RequestId;
use std::net::TcpStream;
use std::sync::Arc;

/// Where an open request is kept: its core, the slot in that core's table, and its client's connection.
pub struct RequestLocation {
    /// Index of the core that read the request.
    pub core: usize,
    /// Position in that core's table of open requests.
    pub request_slot: usize,
    /// The client's connection.
    pub channel: Arc<ResponseChannel>,
}

/// Identifies an attempt to the core that sends it.
#[derive(Clone, Copy)]
pub struct AttemptId {
    /// The request that is attempted.
    pub request: RequestId,
    /// Position of the request in its core's table.
    pub request_slot: usize,
    /// Number of the attempt within its request, from 0.
    pub attempt: usize,
}

/// A task for one core.
pub enum CoreMessage {
    /// Serve a client's connection.
    AcceptConnection(TcpStream, ConnectionPermit),
    /// Send an attempt to a worker.
    SendAttempt {
        /// The attempt.
        id: AttemptId,
        /// The worker that gets it.
        target: WorkerTarget,
        /// Name of the function.
        function: Arc<str>,
    },
    /// Abort an attempt.
    CancelAttempt(AttemptId),
    /// Send the client a response that the gateway makes itself.
    Respond {
        /// Position of the request in the core's table.
        request_slot: usize,
        /// The response.
        response: LocalResponse,
        /// The client's connection.
        channel: Arc<ResponseChannel>,
    },
    /// Have a worker load instances of a function.
    LoadFunction {
        /// Identifies the load request to the dispatcher.
        load_request: RequestId,
        /// The worker that loads.
        target: WorkerTarget,
        /// Name of the function.
        function: Arc<str>,
        /// How many instances it should have.
        instances: u8,
    },
    /// Have a worker unload idle instances of a function.
    UnloadFunction {
        /// The worker that unloads.
        target: WorkerTarget,
        /// Name of the function.
        function: Arc<str>,
    },
    /// Ask a worker whether it is ready.
    HealthCheck {
        /// The worker that is asked.
        target: WorkerTarget,
        /// Identifies the check to the dispatcher.
        serial: u64,
    },
    /// Follow the registry's stream of endpoints.
    WatchEndpoints,
    /// Close an idle connection to this worker: another core needs one, and the limit is reached.
    CloseIdleConnection {
        /// Index of the worker.
        worker: usize,
    },
    /// Fail on purpose.
    InjectFault(FaultInjection),
}

/// A fault that tests cause in a core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultInjection {
    /// The core's thread sleeps for this many seconds.
    Stall(f64),
    /// The core's thread panics.
    Panic,
    /// The dispatcher panics while the core uses it.
    DispatcherPanic,
}
