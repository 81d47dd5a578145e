//! The state of the router on the platform. It is used by one thread, and never across a wait: the tasks around it
//! wait until a socket or a time is ready, borrow it, and do all that can be done at once.

mod client_connection;
mod request_context;
mod worker_connection;

pub(crate) use client_connection::{ClientConnection, OpenCall};
pub(crate) use request_context::{ClientKey, RequestContext};
pub(crate) use worker_connection::{AwaitedResponse, OutstandingFrame, QueuedFrame, WorkerConnection};

use crate::connection_limits::{ConnectionLimits, ConnectionSettings};
use crate::discovery_feed::DiscoveryFeed;
use crate::list_report::ListReport;
use crate::memory_budget::MemoryBudget;
use crate::shutdown::{Liveness, Shutdown};
use crate::sockets::{Sockets, SystemSockets};
use milletpath_dispatcher::dispatcher::Dispatcher;
use milletpath_platform_protocol::bootstrap::{Bootstrap, WorkerList};
use milletpath_process_environment::wall_clock::unix_time;
use slab::Slab;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bytes that are read at a time from one socket, so that each has its fair turn.
pub(crate) const READ_SIZE: usize = 64 << 10;

/// The router's state, as the tasks of its thread share it.
pub(crate) type SharedRouter = Rc<RefCell<PlatformRouter>>;

/// A socket with unread bytes that may bear on what is to be sent.
pub(crate) enum UnreadSocket {
    /// That of the client in this slot.
    Client(usize),
    /// That of discovery.
    Discovery,
}

/// A flush of a worker's connection that waits until another socket was read.
pub(crate) struct DeferredFlush {
    /// The socket.
    pub unread: UnreadSocket,
    /// Slot of the worker's connection that is flushed after it was read.
    pub worker_connection: usize,
}

/// All that the router has: the dispatcher, the connections of clients and those to workers. Times are in seconds on
/// the clock of [`now`](Self::now).
pub(crate) struct PlatformRouter {
    /// For the tasks that the router starts.
    pub weak_self: Weak<RefCell<PlatformRouter>>,
    /// Decides where and when requests are sent.
    pub dispatcher: Dispatcher<RequestContext>,
    /// What was read from discovery.
    pub discovery: DiscoveryFeed,
    /// What was logged of the age of the endpoint list.
    pub list_report: ListReport,
    /// Names of the profiles, in the dispatcher's order.
    pub profiles: Vec<String>,
    /// Names of the client groups, in the dispatcher's order; where there are none any name will do.
    pub groups: Vec<String>,
    /// Connections of clients, bounded by `connection_limits`.
    pub clients: Slab<ClientConnection>,
    /// A connection that was accepted and waits for a place among `clients`.
    pub pending_connection: Option<TcpStream>,
    /// Connections to workers, bounded by `connection_limits`.
    pub worker_connections: Slab<WorkerConnection>,
    /// Slots in `worker_connections` by worker.
    pub connections_by_worker: BTreeMap<usize, Vec<usize>>,
    /// Ids of the requests that have no final response yet.
    pub open_request_ids: BTreeSet<u64>,
    /// How many connections there may be, and for how long.
    pub connection_limits: ConnectionLimits,
    /// Bytes that all buffers may hold together.
    pub memory_budget: Rc<MemoryBudget>,
    /// The schedule of a graceful shutdown, once it has begun.
    pub shutdown: Shutdown,
    /// When this process ran last: by it a pause of the process is detected.
    pub liveness: Liveness,
    /// Seconds that a connection to a worker may take to be made.
    pub connect_timeout: f64,
    /// Whether health checks ask workers for their load.
    pub load_reports: bool,
    /// Whether workers are notified of requests that are no longer wanted.
    pub sends_cancels: bool,
    /// The longest Retry-After in seconds, for what the dispatcher has no room for.
    pub retry_after: Option<f64>,
    /// What a socket is read into; taken and given back within one read.
    pub read_buffer: Vec<u8>,
    /// Flushes that are still to be made; bounded by the actions that the dispatcher gives in one turn.
    pub deferred_flushes: Vec<DeferredFlush>,
    /// The last serial number of a client's connection or of a frame of the router's own.
    pub serial: u64,
    /// The system calls on connections to workers.
    pub sockets: Rc<dyn Sockets>,
    /// The zero of the router's clock.
    pub started_at: Instant,
    /// The time for which the timer task is set.
    pub timer_set_for: f64,
    /// Wakes the timer task where something is due sooner.
    pub timer_changed: Rc<Notify>,
}

impl PlatformRouter {
    /// The router as the platform's file states it, with no connection yet.
    pub fn new(bootstrap: &Bootstrap) -> SharedRouter {
        let started_at = Instant::now();
        let config = &bootstrap.config;
        let longest_deadline = config.profiles.iter().map(|profile| profile.deadline).fold(0.0, f64::max);
        let mut dispatcher = Dispatcher::new(config, unix_time());
        for WorkerList { complete, entries } in &bootstrap.worker_lists {
            dispatcher.update_endpoints(0.0, *complete, entries);
        }
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
                pending_connection: None,
                worker_connections: Slab::new(),
                connections_by_worker: BTreeMap::new(),
                open_request_ids: BTreeSet::new(),
                connection_limits,
                memory_budget: MemoryBudget::new(bootstrap.memory_bytes),
                shutdown: Shutdown::new(longest_deadline),
                liveness: Liveness::default(),
                connect_timeout: config.limits.connect_timeout,
                load_reports: bootstrap.load_reports,
                sends_cancels: config.policy.can_cancel,
                retry_after: config.policy.max_retry_after,
                read_buffer: vec![0; READ_SIZE],
                deferred_flushes: Vec::new(),
                serial: 0,
                sockets: Rc::new(SystemSockets),
                started_at,
                timer_set_for: f64::INFINITY,
                timer_changed: Rc::new(Notify::new()),
            })
        })
    }

    /// Seconds since the router started, by the monotonic clock. Each look counts as a sign of life of the process.
    pub fn now(&self) -> f64 {
        let now = self.started_at.elapsed().as_secs_f64();
        self.liveness.record_activity(now);
        now
    }

    /// The connection of a client, unless it was closed; another one may have its slot by now.
    pub fn client_by_key(&mut self, key: ClientKey) -> Option<&mut ClientConnection> {
        self.clients.get_mut(key.slot).filter(|client| client.serial == key.serial)
    }
}

#[cfg(test)]
pub(crate) use worker_connection::RECENT_IDS;

#[cfg(test)]
pub(crate) mod tests;
