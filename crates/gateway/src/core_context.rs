//! The shell of one core: its calls, its connections to workers, and the errands that the desk has for it.

use crate::connection_pool::{self, Connection, ConnectionPool, Endpoint};
use crate::response::{BufferedBytes, FinalResponse};
use crate::response_channel::ResponseChannel;
use crate::shared_runtime::{CoreMessage, RequestLocation, SharedRuntime};
use bytes::Bytes;
use http::HeaderMap;
use milletpath_config::{GatewayConfig, Limits};
use milletpath_dispatcher::dispatcher::{Dispatcher, RequestId};
use milletpath_multicore::watch::STILL;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;

/// What the shell keeps of a call while it is in hand.
pub struct OpenRequest {
    answer: Option<oneshot::Sender<FinalResponse>>,
    channel: Arc<ResponseChannel>,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub attempts: Vec<AbortHandle>,
    /// Nobody waits for what is out when the call is let go of.
    cancels: bool,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.cancels {
            self.attempts.iter().for_each(AbortHandle::abort);
        }
    }
}

/// Seconds between two looks at whether this thread runs.
pub const HEARTBEAT_INTERVAL: f64 = 0.05;

/// Carries out what the desk has for a core.
pub type MessageHandler = fn(&Rc<CoreContext>, CoreMessage);

pub struct CoreContext {
    pub shared_runtime: Arc<SharedRuntime>,
    handler: MessageHandler,
    pub core: usize,
    /// Which of the lives of its seat this is.
    incarnation: u32,
    open_requests: RefCell<Slab<OpenRequest>>,
    pools: RefCell<Vec<ConnectionPool>>,
    endpoint_watch: RefCell<Option<AbortHandle>>,
    /// When this thread was last last_heartbeat to run, and who waits for it to be so again.
    last_heartbeat: Cell<f64>,
    /// The last standstill: since when, and until when.
    last_stall: Cell<(f64, f64)>,
    resumed: Notify,
    /// Told to the client connections of this core.
    stopping: watch::Sender<bool>,
}

impl CoreContext {
    /// Must run within a `LocalSet`.
    pub fn new(
        shared_runtime: Arc<SharedRuntime>,
        core: usize,
        incarnation: u32,
        handler: MessageHandler,
    ) -> Rc<Self> {
        Rc::new(Self {
            handler,
            last_heartbeat: Cell::new(shared_runtime.now()),
            shared_runtime,
            core,
            incarnation,
            open_requests: RefCell::default(),
            pools: RefCell::default(),
            endpoint_watch: RefCell::default(),
            last_stall: Cell::new((0.0, 0.0)),
            resumed: Notify::new(),
            stopping: watch::Sender::new(false),
        })
    }

    pub fn config(&self) -> &GatewayConfig {
        &self.shared_runtime.config
    }

    pub fn limits(&self) -> &Limits {
        &self.shared_runtime.config.limits
    }

    /// Seconds on the true clock since the start.
    pub fn now(&self) -> f64 {
        self.shared_runtime.now()
    }

    /// Since when a request that is read now may have waited unread: now, unless this thread stood still lately.
    pub fn earliest_arrival(&self) -> f64 {
        /// What came during a standstill is read about so many times as fast as it came.
        const CATCH_UP: f64 = 4.0;
        let now = self.now();
        if now - self.last_heartbeat.get() > STILL {
            return self.last_heartbeat.get();
        }
        let (from, to) = self.last_stall.get();
        now.min(from + CATCH_UP * (now - to))
    }

    /// Waits, after this thread or the keeper last_stall still, until what came meanwhile has been read: the list may
    /// say that a worker drains, and clients may have left.
    pub async fn wait_until_responsive(&self) {
        let is_stalled = |since: f64| self.now() - since > STILL;
        while is_stalled(self.last_heartbeat.get())
            || is_stalled(self.shared_runtime.supervisor().pulse.seen())
        {
            self.resumed.notified().await;
        }
    }

    /// Tells the desk something and carries out what follows.
    pub fn with_dispatcher<R>(
        self: &Rc<Self>,
        operation: impl FnOnce(&mut Dispatcher<RequestLocation>, f64) -> R,
    ) -> R {
        let result = self.shared_runtime.with_dispatcher(Some(self.core), operation);
        self.process_messages();
        result
    }

    /// Carries out what lies in the mailbox, unless that is another's by now.
    pub fn process_messages(self: &Rc<Self>) {
        if self.shared_runtime.core_slots[self.core].pulse.life() != self.incarnation {
            return;
        }
        for message in self.shared_runtime.core_slots[self.core].mail.take() {
            self.handle_message(message);
        }
    }

    pub fn handle_message(self: &Rc<Self>, message: CoreMessage) {
        (self.handler)(self, message);
    }

    /// What is kept of the call in a slot, unless it was let go of meanwhile: the desk has booked the ends of its shots
    /// with its own then.
    pub fn with_open_request<R>(
        &self,
        request: RequestId,
        request_slot: usize,
        operation: impl FnOnce(&mut OpenRequest) -> R,
    ) -> Option<R> {
        self.open_requests
            .borrow_mut()
            .get_mut(request_slot)
            .filter(|w| w.channel.is_current_request(request))
            .map(operation)
    }

    /// The worker list is followed by this task, and no longer by the one before.
    pub fn set_endpoint_watch(&self, task: AbortHandle) {
        if let Some(before) = self.endpoint_watch.replace(Some(task)) {
            before.abort();
        }
    }

    /// Closes an idle connection to a worker, for another core that has need of its place.
    pub fn close_one_idle(&self, worker: usize) {
        self.with_pool(worker, ConnectionPool::close_one);
    }

    /// Keeps what the shell has of a call; gives its slot.
    pub fn open_request(
        &self,
        channel: Arc<ResponseChannel>,
        headers: HeaderMap,
        body: Bytes,
    ) -> (usize, oneshot::Receiver<FinalResponse>) {
        let (sender, receiver) = oneshot::channel();
        let cancels = self.config().policy.cancels;
        let open_request =
            OpenRequest { answer: Some(sender), channel, headers, body, attempts: Vec::new(), cancels };
        (self.open_requests.borrow_mut().insert(open_request), receiver)
    }

    pub fn close_request(&self, request_slot: usize) {
        // Borrowed where a panic unwinds through it: then the whole shell goes.
        let open_request = self
            .open_requests
            .try_borrow_mut()
            .ok()
            .and_then(|mut open_requests| open_requests.try_remove(request_slot));
        drop(open_request);
    }

    /// Nothing new is taken from here on.
    pub fn stop(&self) {
        self.stopping.send_if_modified(|stopping| !std::mem::replace(stopping, true));
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Gives a client its final answer. A slot that went to another call meanwhile has another line.
    pub fn respond(&self, request_slot: usize, channel: &Arc<ResponseChannel>, reply: FinalResponse) {
        let mut open_requests = self.open_requests.borrow_mut();
        let open_request = open_requests.get_mut(request_slot).filter(|w| Arc::ptr_eq(&w.channel, channel));
        if let Some(answer) = open_request.and_then(|w| w.answer.take()) {
            // A client that left in this very moment has nobody to take it.
            let _ = answer.send(reply);
        }
    }

    /// The same by the number of the call.
    pub fn respond_to(&self, request: RequestId, request_slot: usize, reply: FinalResponse) {
        let channel = self
            .open_requests
            .borrow()
            .get(request_slot)
            .filter(|w| w.channel.is_current_request(request))
            .map(|w| w.channel.clone());
        if let Some(channel) = channel {
            self.respond(request_slot, &channel, reply);
        }
    }

    /// Counts bytes as in hand; none where the bound on all together is reached.
    pub fn reserve_buffer(&self, bytes: usize) -> Option<BufferedBytes> {
        BufferedBytes::reserve(&self.shared_runtime.buffered_bytes, bytes)
    }

    /// This thread runs; false where another has taken its seat.
    pub async fn beat(&self) -> bool {
        /// After a standstill, within which all that came meanwhile is read.
        const READ_TIME: Duration = Duration::from_millis(5);
        let stalled_for = self.now() - self.last_heartbeat.get();
        if stalled_for > STILL {
            tracing::warn!(seconds = stalled_for, core = self.core, "this thread stood still");
            self.last_stall.set((self.last_heartbeat.get(), self.now()));
            // Where another core has answered meanwhile, nobody waits any more.
            self.open_requests
                .borrow_mut()
                .iter_mut()
                .filter(|(_, w)| w.channel.claim.spoken())
                .for_each(|(_, w)| w.answer = None);
            tokio::time::sleep(READ_TIME).await;
        }
        self.last_heartbeat.set(self.now());
        let owns_slot = self.shared_runtime.core_slots[self.core].pulse.beat(self.incarnation, self.now());
        self.resumed.notify_waiters();
        owns_slot
    }

    /// When this thread was last last_heartbeat to run.
    pub fn last_heartbeat(&self) -> f64 {
        self.last_heartbeat.get()
    }

    /// How long this thread stood still when it last did, and until when.
    pub fn last_stall(&self) -> (f64, f64) {
        self.last_stall.get()
    }

    pub fn close_idle(&self) {
        let since = self.now() - self.limits().idle_timeout;
        self.pools.borrow_mut().iter_mut().for_each(|p| p.close_idle(since));
    }

    /// A kept connection to a worker.
    pub fn idle_connection(&self, worker: usize, endpoint: Endpoint) -> Option<Connection> {
        self.with_pool(worker, |pool| pool.take(endpoint.process))
    }

    /// A new connection to a worker; none where it has all that it may have, and no core has one to spare.
    pub async fn connect(&self, worker: usize, endpoint: Endpoint) -> Option<std::io::Result<Connection>> {
        /// What another core takes to close an idle connection, with room for a busy one.
        const MAX_WAIT: Duration = Duration::from_millis(20);
        let limit = self.shared_runtime.connection_limit(endpoint.address);
        let reservation = match limit.reserve() {
            Some(reservation) => reservation,
            None => {
                for core in (0..self.shared_runtime.core_slots.len()).filter(|s| *s != self.core) {
                    self.shared_runtime.send(core, CoreMessage::CloseIdleConnection { worker });
                }
                let _ = tokio::time::timeout(MAX_WAIT, limit.released.notified()).await;
                limit.reserve()?
            }
        };
        // Well before the connection counts as one that the worker did not give.
        let max_wait = Duration::from_secs_f64(self.limits().connect_timeout / 2.0);
        Some(connection_pool::connect(reservation, endpoint, max_wait).await)
    }

    pub fn return_connection(&self, worker: usize, connection: Connection) {
        let now = self.now();
        self.with_pool(worker, |pool| pool.return_connection(now, connection));
    }

    fn with_pool<R>(&self, worker: usize, operation: impl FnOnce(&mut ConnectionPool) -> R) -> R {
        let mut pools = self.pools.borrow_mut();
        if pools.len() <= worker {
            pools.resize_with(worker + 1, ConnectionPool::default);
        }
        operation(&mut pools[worker])
    }
}
