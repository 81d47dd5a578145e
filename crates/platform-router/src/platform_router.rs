//! The state of the platform router. It is used by a single thread and never borrowed across an await: tasks wait
//! until a socket or a timer is ready, borrow the state, and do everything that can be done without blocking.

mod client_connection;
mod request_context;
mod worker_connection;

pub(crate) use client_connection::{ClientConnection, OpenCall};
pub(crate) use request_context::{ClientKey, RequestContext};
pub(crate) use worker_connection::{AwaitedResponse, OutstandingFrame, QueuedFrame, WorkerConnection};

use crate::abandoned_ids::AbandonedIds;
use crate::connection_limits::{ConnectionLimits, ConnectionSettings};
use crate::discovery_feed::DiscoveryFeed;
use crate::event_loop_watch::Heartbeat;
use crate::list_report::ListReport;
use crate::memory_budget::MemoryBudget;
use crate::rejection_count::RejectionCount;
use crate::shutdown::{Liveness, Shutdown};
use crate::sockets::{Sockets, SystemSockets};
use crate::turn::Turn;
use milletpath_dispatcher::dispatcher::Dispatcher;
use milletpath_platform_protocol::bootstrap::{Bootstrap, WorkerList};
use milletpath_policy::ReadDelayLimits;
use milletpath_process_environment::wall_clock::unix_time;
use slab::Slab;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Maximum number of bytes per read, so that every socket is served in turn.
pub(crate) const READ_SIZE: usize = 64 << 10;

/// The router's state, shared by the tasks of its thread.
pub(crate) type SharedRouter = Rc<RefCell<PlatformRouter>>;

/// A socket whose unread bytes may affect what is about to be sent.
pub(crate) enum UnreadSocket {
    /// The socket of the client in this slot.
    Client(usize),
    /// The socket of the discovery stream.
    Discovery,
}

/// A flush of a worker connection that is deferred until another socket was read.
pub(crate) struct DeferredFlush {
    /// The socket to read first.
    pub unread: UnreadSocket,
    /// Slot of the worker connection that is flushed afterwards.
    pub worker_connection: usize,
}

/// The state of the router: the dispatcher, the client connections and the worker connections. Times are in seconds
/// on the clock of [`now`](Self::now).
pub(crate) struct PlatformRouter {
    /// Reference to this state for the tasks that the router spawns.
    pub weak_self: Weak<RefCell<PlatformRouter>>,
    /// Decides where and when requests are sent.
    pub dispatcher: Dispatcher<RequestContext>,
    /// State of the discovery feed.
    pub discovery: DiscoveryFeed,
    /// The last logged state of the endpoint list.
    pub list_report: ListReport,
    /// Names of the profiles, in the dispatcher's order.
    pub profiles: Vec<String>,
    /// Names of the client groups, in the dispatcher's order. If empty, a call must not name any.
    pub groups: Vec<String>,
    /// Client connections, limited by `connection_limits`.
    pub clients: Slab<ClientConnection>,
    /// Clients with a final response that is not written yet, each at most once.
    pub answered_clients: Vec<ClientKey>,
    /// An accepted connection that waits for a free slot in `clients`.
    pub pending_connection: Option<TcpStream>,
    /// Connections to workers, limited by `connection_limits`.
    pub worker_connections: Slab<WorkerConnection>,
    /// Slots in `worker_connections`, by worker.
    pub connections_by_worker: BTreeMap<usize, Vec<usize>>,
    /// Ids of the requests without a final response.
    pub open_request_ids: BTreeSet<u64>,
    /// Ids of the requests that may have run and whose clients left.
    pub abandoned_ids: AbandonedIds,
    /// Limits on the number and the lifetime of connections.
    pub connection_limits: ConnectionLimits,
    /// Limit on the total size of all buffers.
    pub memory_budget: Rc<MemoryBudget>,
    /// The schedule of a graceful shutdown, once one has begun.
    pub shutdown: Shutdown,
    /// Detects pauses of this process.
    pub liveness: Liveness,
    /// How far the router is behind its sockets.
    pub turn: Turn,
    /// Calls that were rejected unread, to be logged.
    pub unread_rejections: RejectionCount,
    /// Calls for which there was not enough memory, to be logged.
    pub memory_rejections: RejectionCount,
    /// How long a turn may have taken before calls are rejected unread.
    pub read_delay_limits: ReadDelayLimits,
    /// Connect timeout for workers, in seconds.
    pub connect_timeout: f64,
    /// Whether health checks ask workers to report their load.
    pub load_reports: bool,
    /// Whether workers are notified when an attempt is cancelled.
    pub sends_cancels: bool,
    /// The longest Retry-After in seconds, sent with rejections that the dispatcher does not decide.
    pub retry_after: Option<f64>,
    /// Shared read buffer, taken and restored within one read.
    pub read_buffer: Vec<u8>,
    /// Deferred flushes, bounded by the number of actions that the dispatcher returns at once.
    pub deferred_flushes: Vec<DeferredFlush>,
    /// Worker connections that are flushed again in a moment, and not before. Bounded by `connection_limits`.
    pub unsettled_connections: BTreeSet<usize>,
    /// The last serial number, used for client connections and for frames that are not attempts.
    pub serial: u64,
    /// System calls on worker connections and on the discovery connection.
    pub sockets: Rc<dyn Sockets>,
    /// Start of the router's clock.
    pub started_at: Instant,
    /// The time for which the timer task is set.
    pub timer_set_for: f64,
    /// Wakes the timer task when a deadline is earlier than `timer_set_for`.
    pub timer_changed: Rc<Notify>,
    /// Shows another thread that the event loop gets round.
    pub heartbeat: Arc<Heartbeat>,
}

impl PlatformRouter {
    /// Creates a router from the platform's bootstrap file, without any connection.
    pub fn new(bootstrap: &Bootstrap) -> SharedRouter {
        let started_at = Instant::now();
        let config = &bootstrap.config;
        let longest_deadline = config.profiles.iter().map(|profile| profile.deadline).fold(0.0, f64::max);
        let mut dispatcher = Dispatcher::new(config, unix_time());
        for WorkerList { complete, entries } in &bootstrap.worker_lists {
            dispatcher.update_endpoints(0.0, *complete, entries);
        }
        let objectives = config.policy.profiles.iter().map(|profile| profile.latency_objective);
        let shortest_objective = objectives.fold(f64::INFINITY, f64::min);
        let connection_limits = ConnectionLimits::new(&ConnectionSettings {
            descriptors: bootstrap.descriptors,
            streams_per_connection: bootstrap.streams_per_connection,
            idle_timeout: config.limits.idle_timeout,
            connect_timeout: config.limits.connect_timeout,
            longest_deadline,
        });
        Rc::new_cyclic(|weak_self| {
            RefCell::new(Self {
                weak_self: weak_self.clone(),
                dispatcher,
                discovery: DiscoveryFeed::new(bootstrap.last_event),
                list_report: ListReport::new(config.policy.list_valid_for),
                profiles: config.profiles.iter().map(|profile| profile.name.clone()).collect(),
                groups: config.clients.clone(),
                clients: Slab::new(),
                answered_clients: Vec::new(),
                pending_connection: None,
                worker_connections: Slab::new(),
                connections_by_worker: BTreeMap::new(),
                open_request_ids: BTreeSet::new(),
                abandoned_ids: AbandonedIds::default(),
                connection_limits,
                memory_budget: MemoryBudget::new(bootstrap.memory_bytes),
                shutdown: Shutdown::new(longest_deadline),
                liveness: Liveness::default(),
                turn: Turn::default(),
                unread_rejections: RejectionCount::new(),
                memory_rejections: RejectionCount::new(),
                read_delay_limits: ReadDelayLimits::new(shortest_objective, longest_deadline),
                connect_timeout: config.limits.connect_timeout,
                load_reports: bootstrap.load_reports,
                sends_cancels: config.policy.can_cancel,
                retry_after: config.policy.max_retry_after,
                read_buffer: vec![0; READ_SIZE],
                deferred_flushes: Vec::new(),
                unsettled_connections: BTreeSet::new(),
                serial: 0,
                sockets: Rc::new(SystemSockets),
                started_at,
                timer_set_for: f64::INFINITY,
                timer_changed: Rc::new(Notify::new()),
                heartbeat: Arc::default(),
            })
        })
    }

    /// Seconds since the router started, on the monotonic clock. Each call also records that the process is running.
    pub fn now(&self) -> f64 {
        let now = self.started_at.elapsed().as_secs_f64();
        self.liveness.record_activity(now);
        now
    }

    /// Begins a turn before a socket is read, unless one is in progress.
    pub fn begin_turn(&mut self) {
        let now = self.now();
        if !self.turn.begin(now) {
            self.turn.resume(self.liveness.resumed_at());
            return;
        }
        let Some(router) = self.weak_self.upgrade() else { return };
        // Runs after every task that is ready now.
        spawn_local(async move { router.borrow_mut().end_turn() });
    }

    /// Ends the current turn, of which a pause of the process is no part.
    fn end_turn(&mut self) {
        let now = self.now();
        self.turn.resume(self.liveness.resumed_at());
        self.turn.end(now);
    }

    /// Whether the router is so far behind its sockets at `now` that calls are rejected unread.
    pub fn is_behind(&self, now: f64) -> bool {
        self.turn.is_behind(now, self.read_delay_limits)
    }

    /// The client connection with this key, unless it was closed; its slot may have been reused.
    pub fn client_by_key(&mut self, key: ClientKey) -> Option<&mut ClientConnection> {
        self.clients.get_mut(key.slot).filter(|client| client.serial == key.serial)
    }
}

#[cfg(test)]
pub(crate) use worker_connection::RECENT_IDS;

#[cfg(test)]
pub(crate) mod tests;
