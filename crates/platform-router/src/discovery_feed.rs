//! State of the discovery feed across all connections to the discovery address. Updated by the discovery watch.

use milletpath_protocol::InputError;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Why an event stream ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StreamEnd {
    #[error("could not connect: {0}")]
    ConnectFailed(#[source] io::Error),
    #[error("connecting timed out")]
    ConnectTimeout,
    #[error("could not subscribe: {0}")]
    SubscribeFailed(#[source] io::Error),
    #[error("subscribing timed out")]
    SubscribeTimeout,
    #[error("the stream was closed")]
    Closed,
    #[error("could not read the stream: {0}")]
    ReadFailed(#[source] io::Error),
    #[error("no line was received in time")]
    Silent,
    #[error("events after {after} are missing")]
    MissingEvents { after: u64 },
    #[error("a line is invalid: {0}")]
    InvalidLine(#[from] InputError),
    #[error("a line is too long")]
    LineTooLong,
    #[error("the discovery address was changed")]
    AddressChanged,
}

/// Work that is not sent to workers before the events that are unread have been applied.
pub(crate) struct Backlog {
    /// Time at which there were first more unread events than one turn applies.
    pub since: f64,
    /// Time at which it is reported as not sent if events are still unread.
    pub overdue_at: f64,
    /// Slots of the worker connections whose queues wait, bounded by the number of connections.
    pub worker_connections: BTreeSet<usize>,
}

/// State of the event stream across all connections to the discovery address.
pub(crate) struct DiscoveryFeed {
    /// Number of the last event that was applied.
    pub last_event: u64,
    /// Socket of the current stream, if any.
    pub socket: Option<Rc<TcpStream>>,
    /// Incomplete last line, limited by the protocol's maximum line length.
    pub partial_line: Vec<u8>,
    /// What waits while more events are unread than one turn applies.
    pub backlog: Option<Backlog>,
    /// Time at which the last line was completed.
    pub last_line_at: Instant,
    /// Time at which the socket was last known to be empty, on the router's clock.
    pub emptied_at: f64,
    /// Why the stream has to be replaced, if this was found outside its task.
    pub end: Option<StreamEnd>,
    /// Wakes the stream's task after lines were read outside it, or when work waits for lines that are unread.
    pub read_outside_task: Rc<Notify>,
}

impl DiscoveryFeed {
    /// Creates a feed that continues after this event and has no stream yet.
    pub fn new(last_event: u64) -> Self {
        Self {
            last_event,
            socket: None,
            partial_line: Vec::new(),
            backlog: None,
            last_line_at: Instant::now(),
            emptied_at: 0.0,
            end: None,
            read_outside_task: Rc::new(Notify::new()),
        }
    }

    /// Resets the state before a subscription. Everything received on the new stream was written after `now`.
    pub fn open(&mut self, now: f64) {
        self.partial_line = Vec::new();
        self.last_line_at = Instant::now();
        self.emptied_at = now;
        self.end = None;
    }

    /// Sets the socket, which others may then read before they send something.
    pub fn attach(&mut self, socket: Rc<TcpStream>) {
        self.socket = Some(socket);
    }

    /// Clears the socket of a stream that has ended.
    pub fn close(&mut self) {
        self.socket = None;
    }

    /// Holds back the queue of a worker connection until the unread events have been applied, at most until `overdue_at`.
    pub fn hold_back(&mut self, now: f64, overdue_at: f64, worker_connection: usize) {
        let new = || Backlog { since: now, overdue_at, worker_connections: BTreeSet::new() };
        self.backlog.get_or_insert_with(new).worker_connections.insert(worker_connection);
        self.read_outside_task.notify_one();
    }

    /// Time at which work that is held back is reported as not sent, if there is any.
    pub fn overdue_at(&self) -> Option<f64> {
        self.backlog.as_ref().map(|backlog| backlog.overdue_at)
    }

    /// Whether the queue of this worker connection is held back. Its socket's readiness does not change that.
    pub fn holds_back(&self, worker_connection: usize) -> bool {
        self.backlog.as_ref().is_some_and(|backlog| backlog.worker_connections.contains(&worker_connection))
    }

    /// Forgets a worker connection that was removed, as another one may get its slot.
    pub fn forget(&mut self, worker_connection: usize) {
        if let Some(backlog) = &mut self.backlog {
            backlog.worker_connections.remove(&worker_connection);
        }
    }

    /// Why the stream has to be replaced, if this was found outside its task.
    pub fn take_end(&mut self) -> Option<StreamEnd> {
        self.end.take()
    }
}
