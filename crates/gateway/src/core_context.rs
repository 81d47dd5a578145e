//! State shared by the tasks of one core: its open requests, its connections to workers and its heartbeat. It is
//! confined to one thread; other threads access the core through its slot in the shared runtime.

use crate::body_buffer::BodyBuffer;
use crate::connection_pool::{self, Connection, ConnectionPool, Endpoint, WorkerTarget};
use crate::core_message::{CoreMessage, RequestKind, RequestLocation};
use crate::core_slot::CoreSlot;
use crate::open_requests::{NewRequest, OpenRequest, OpenRequests};
use crate::response::FinalResponse;
use crate::response_channel::{ConnectionState, ResponseChannel};
use crate::shared_runtime::SharedRuntime;
use crate::write_permit::SendDecision;
use bytes::Bytes;
use http::HeaderMap;
use milletpath_config::{GatewayConfig, Limits};
use milletpath_dispatcher::dispatcher::{Dispatcher, RequestId};
use milletpath_multicore::watchdog::STALL_THRESHOLD;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;

/// Interval between two heartbeats of a core, in seconds.
pub const HEARTBEAT_INTERVAL: f64 = 0.05;

/// After a stall, requests are assumed to be read this many times as fast as they arrived.
const CATCH_UP_RATE: f64 = 4.0;

/// After a stall, the time allowed for reading everything that arrived meanwhile.
const POST_STALL_READ_TIME: Duration = Duration::from_millis(5);

/// How long to wait for another connection to the worker to be closed when the limit is reached.
const CONNECTION_WAIT: Duration = Duration::from_millis(20);

/// Handles a core's messages.
pub type MessageHandler = fn(&Rc<CoreContext>, CoreMessage);

/// A period in which a thread did not run, in seconds since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stall {
    /// The last heartbeat before it.
    pub began: f64,
    /// The first heartbeat after it.
    pub ended: f64,
}

/// Why a core has no connection to a worker.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The limit on connections to the worker is reached, and none of them is idle.
    #[error("the limit on connections to the worker is reached")]
    LimitReached,
    /// The connection failed.
    #[error("no connection to the worker: {0}")]
    Io(#[from] io::Error),
}

/// The state of one core, used by the tasks on its thread.
pub struct CoreContext {
    /// The state that all cores share.
    pub shared_runtime: Arc<SharedRuntime>,
    /// Index of this core.
    pub core: usize,
    incarnation: u32,
    handler: MessageHandler,
    open_requests: OpenRequests,
    /// Indexed by worker; bounded by the number of workers known to the dispatcher.
    pools: RefCell<Vec<ConnectionPool>>,
    endpoint_watch: RefCell<Option<AbortHandle>>,
    last_heartbeat: Cell<f64>,
    last_stall: Cell<Stall>,
    /// Injected by a test: a stall of this many seconds before the next write of a request of this kind.
    stall_before_write: Cell<Option<(RequestKind, f64)>>,
    /// Wakes tasks that wait for the end of a stall.
    resumed: Notify,
    /// Observed by this core's client connections.
    stopping: watch::Sender<bool>,
}

impl CoreContext {
    /// Creates the context for a thread that runs the given incarnation of a core. Must run within a `LocalSet`.
    pub fn new(
        shared_runtime: Arc<SharedRuntime>,
        core: usize,
        incarnation: u32,
        handler: MessageHandler,
    ) -> Rc<Self> {
        Rc::new(Self {
            last_heartbeat: Cell::new(shared_runtime.now()),
            shared_runtime,
            core,
            incarnation,
            handler,
            open_requests: OpenRequests::default(),
            pools: RefCell::default(),
            endpoint_watch: RefCell::default(),
            last_stall: Cell::default(),
            stall_before_write: Cell::default(),
            resumed: Notify::new(),
            stopping: watch::Sender::new(false),
        })
    }

    /// The gateway's configuration.
    pub fn config(&self) -> &GatewayConfig {
        &self.shared_runtime.config
    }

    /// The gateway's limits.
    pub fn limits(&self) -> &Limits {
        &self.shared_runtime.config.limits
    }

    /// This core's slot in the shared runtime.
    pub fn slot(&self) -> &CoreSlot {
        &self.shared_runtime.core_slots[self.core]
    }

    /// Seconds since the process started, on the monotonic clock.
    pub fn now(&self) -> f64 {
        self.shared_runtime.now()
    }

    /// Returns the earliest time at which a request that is read now may have arrived. This is the current time unless
    /// this thread has stalled recently.
    pub fn earliest_arrival(&self) -> f64 {
        let now = self.now();
        if now - self.last_heartbeat.get() > STALL_THRESHOLD {
            return self.last_heartbeat.get();
        }
        let Stall { began, ended } = self.last_stall.get();
        now.min(began + CATCH_UP_RATE * (now - ended))
    }

    /// Seconds by which a request that is read now may have arrived earlier.
    pub fn read_delay(&self) -> f64 {
        (self.now() - self.earliest_arrival()).max(0.0)
    }

    /// After a stall of this thread or the supervisor, waits until everything that arrived meanwhile has been read,
    /// because a worker may be draining by now and clients may have disconnected.
    pub async fn wait_until_responsive(&self) {
        let is_stalled = |heartbeat: f64| self.now() - heartbeat > STALL_THRESHOLD;
        while is_stalled(self.last_heartbeat.get())
            || is_stalled(self.shared_runtime.supervisor().heartbeat.last_beat())
        {
            self.resumed.notified().await;
        }
    }

    /// Calls the dispatcher and handles the resulting messages for this core.
    pub fn with_dispatcher<R>(
        self: &Rc<Self>,
        operation: impl FnOnce(&mut Dispatcher<RequestLocation>, f64) -> R,
    ) -> R {
        let result = self.shared_runtime.with_dispatcher(Some(self.core), operation);
        self.process_messages();
        result
    }

    /// Asks the dispatcher whether a request may be sent now. The resulting messages stay in the mailbox, because
    /// handling them may take longer than the answer is valid; the caller must call
    /// [`process_messages`](Self::process_messages) once the request was handed to its connection.
    pub fn decide_to_send(
        &self,
        kind: RequestKind,
        operation: impl FnOnce(&mut Dispatcher<RequestLocation>, f64) -> bool,
    ) -> SendDecision {
        let (allowed, decided_at) = self
            .shared_runtime
            .with_dispatcher(Some(self.core), |dispatcher, now| (operation(dispatcher, now), now));
        self.apply_stall_before_write(kind);
        if allowed {
            SendDecision::Send { decided_at: self.shared_runtime.instant_at(decided_at) }
        } else {
            SendDecision::Withhold
        }
    }

    /// Makes this thread sleep for this many seconds between the next decision to send a request of this kind and its
    /// write.
    pub fn stall_before_next_write(&self, kind: RequestKind, seconds: f64) {
        self.stall_before_write.set(Some((kind, seconds)));
    }

    /// Sleeps if a test has requested a stall before this kind of request.
    fn apply_stall_before_write(&self, kind: RequestKind) {
        if let Some((stalled_kind, seconds)) = self.stall_before_write.get()
            && stalled_kind == kind
        {
            self.stall_before_write.set(None);
            std::thread::sleep(Duration::from_secs_f64(seconds));
        }
    }

    /// Handles the messages in this core's mailbox, unless another thread has replaced this one.
    pub fn process_messages(self: &Rc<Self>) {
        if self.slot().heartbeat.incarnation() != self.incarnation {
            return;
        }
        for message in self.slot().mailbox.take_all() {
            self.handle_message(message);
        }
    }

    /// Handles one message.
    pub fn handle_message(self: &Rc<Self>, message: CoreMessage) {
        (self.handler)(self, message);
    }

    /// Stores what is needed to attempt a request and to respond to it.
    pub fn open_request(&self, channel: Arc<ResponseChannel>, headers: HeaderMap, body: Bytes) -> NewRequest {
        self.open_requests.insert(channel, headers, body, self.config().policy.can_cancel)
    }

    /// Whether the client of a request may have left behind bytes that were not read.
    pub fn may_client_have_left(&self, request: RequestId, request_slot: usize) -> bool {
        let channel = self.open_requests.channel(request, request_slot);
        let state = channel.map(|channel| channel.connection_state());
        matches!(state, Some(ConnectionState::Departed | ConnectionState::Unknown))
    }

    /// Removes a request from the table of open requests.
    pub fn close_request(&self, request_slot: usize) {
        self.open_requests.remove(request_slot);
    }

    /// Calls `operation` with an open request. Returns `None` if the request, and with it its attempts, has ended.
    pub fn with_open_request<R>(
        &self,
        request: RequestId,
        request_slot: usize,
        operation: impl FnOnce(&mut OpenRequest) -> R,
    ) -> Option<R> {
        self.open_requests.with(request, request_slot, operation)
    }

    /// Passes a response to the task that serves the client.
    pub fn respond(&self, request_slot: usize, channel: &Arc<ResponseChannel>, response: FinalResponse) {
        self.open_requests.respond(request_slot, channel, response);
    }

    /// Passes a response to the task that serves the client of a request, unless the request has ended.
    pub fn respond_to(&self, request: RequestId, request_slot: usize, response: FinalResponse) {
        if let Some(channel) = self.open_requests.channel(request, request_slot) {
            self.respond(request_slot, &channel, response);
        }
    }

    /// Creates a buffer for a body, which counts against the limit on all buffered bytes.
    pub fn body_buffer(&self) -> BodyBuffer {
        BodyBuffer::new(&self.shared_runtime.buffered_bytes)
    }

    /// Sets the task that watches the endpoints, and aborts the previous one.
    pub fn set_endpoint_watch(&self, task: AbortHandle) {
        if let Some(previous) = self.endpoint_watch.replace(Some(task)) {
            previous.abort();
        }
    }

    /// Tells this core's client connections to end after their open requests.
    pub fn stop(&self) {
        self.stopping.send_if_modified(|stopping| !std::mem::replace(stopping, true));
    }

    /// Whether the gateway is shutting down.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns a receiver that is notified when the gateway shuts down.
    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Records a heartbeat of this thread. Returns false if another thread has replaced it.
    pub async fn beat(&self) -> bool {
        let seconds = self.now() - self.last_heartbeat.get();
        if seconds > STALL_THRESHOLD {
            tracing::warn!(seconds, core = self.core, "this thread was stalled");
            self.last_stall.set(Stall { began: self.last_heartbeat.get(), ended: self.now() });
            self.open_requests.drop_answered();
            tokio::time::sleep(POST_STALL_READ_TIME).await;
        }
        self.last_heartbeat.set(self.now());
        let is_current = self.slot().heartbeat.beat(self.incarnation, self.now());
        self.resumed.notify_waiters();
        is_current
    }

    /// The time of this thread's last heartbeat, in seconds since the process started.
    pub fn last_heartbeat(&self) -> f64 {
        self.last_heartbeat.get()
    }

    /// The last stall of this thread.
    pub fn last_stall(&self) -> Stall {
        self.last_stall.get()
    }

    /// Takes an idle connection to a worker out of its pool, if there is one.
    pub fn idle_connection(&self, target: WorkerTarget) -> Option<Connection> {
        self.with_pool(target.worker, |pool| pool.take(target.endpoint.process))
    }

    /// Opens a connection to a worker. If the limit is reached, other cores are asked to close an idle one.
    pub async fn connect(&self, target: WorkerTarget) -> Result<Connection, ConnectError> {
        let WorkerTarget { worker, endpoint } = target;
        let limit = self.shared_runtime.worker_connection_limit(endpoint.address);
        let permit = match limit.reserve() {
            Some(permit) => permit,
            None => {
                self.request_idle_connection(worker);
                let _ = tokio::time::timeout(CONNECTION_WAIT, limit.wait_for_release()).await;
                limit.reserve().ok_or(ConnectError::LimitReached)?
            }
        };
        // Retries must end well before the connection attempt would count as refused by the worker.
        let max_wait = Duration::from_secs_f64(self.limits().connect_timeout / 2.0);
        Ok(connection_pool::connect(permit, endpoint, max_wait).await?)
    }

    /// Opens a connection outside the pools. It counts against the connection limit of its address.
    pub async fn connect_unpooled(&self, endpoint: Endpoint) -> Result<Connection, ConnectError> {
        let limit = self.shared_runtime.worker_connection_limit(endpoint.address);
        let permit = limit.reserve().ok_or(ConnectError::LimitReached)?;
        Ok(connection_pool::connect(permit, endpoint, Duration::ZERO).await?)
    }

    fn request_idle_connection(&self, worker: usize) {
        for core in (0..self.shared_runtime.core_slots.len()).filter(|core| *core != self.core) {
            self.shared_runtime.send(core, CoreMessage::CloseIdleConnection { worker });
        }
    }

    /// Returns a connection to its pool after its exchange has ended.
    pub fn return_connection(&self, worker: usize, connection: Connection) {
        let now = self.now();
        self.with_pool(worker, |pool| pool.return_connection(now, connection));
    }

    /// Closes the longest idle connection to a worker, if there is one.
    pub fn close_one_idle(&self, worker: usize) {
        self.with_pool(worker, ConnectionPool::close_oldest);
    }

    /// Closes connections that have been idle for too long.
    pub fn close_idle(&self) {
        let since = self.now() - self.limits().idle_timeout;
        self.pools.borrow_mut().iter_mut().for_each(|pool| pool.close_idle(since));
    }

    fn with_pool<R>(&self, worker: usize, operation: impl FnOnce(&mut ConnectionPool) -> R) -> R {
        let mut pools = self.pools.borrow_mut();
        if pools.len() <= worker {
            pools.resize_with(worker + 1, ConnectionPool::default);
        }
        operation(&mut pools[worker])
    }
}
