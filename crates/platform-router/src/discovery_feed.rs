//! What was read from discovery so far, over all connections to it. The discovery watch fills it.

use milletpath_protocol::InputError;
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Why a stream of events ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StreamEnd {
    #[error("could not connect: {0}")]
    ConnectFailed(#[source] io::Error),
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("could not subscribe: {0}")]
    SubscribeFailed(#[source] io::Error),
    #[error("could not subscribe in time")]
    SubscribeTimeout,
    #[error("the stream was closed")]
    Closed,
    #[error("the stream broke: {0}")]
    ReadFailed(#[source] io::Error),
    #[error("no line came in time")]
    Silent,
    #[error("events after {after} are missing")]
    MissingEvents { after: u64 },
    #[error("a line is invalid: {0}")]
    InvalidLine(#[from] InputError),
    #[error("a line is too long")]
    LineTooLong,
    #[error("the file names another address")]
    AddressChanged,
}

/// The state of the stream of events, over all connections to discovery.
pub(crate) struct DiscoveryFeed {
    /// The number of the last event that was applied.
    pub last_event: u64,
    /// The socket of the stream, while there is one.
    pub socket: Option<Rc<TcpStream>>,
    /// The beginning of a line; bounded by the protocol's longest line.
    pub partial_line: Vec<u8>,
    /// When the last line ended.
    pub last_line_at: Instant,
    /// When the socket was last known to be empty, on the router's clock.
    pub emptied_at: f64,
    /// Why the stream is of no more use, found outside its task.
    pub end: Option<StreamEnd>,
    /// Wakes the stream's task after lines were read outside it.
    pub read_outside_task: Rc<Notify>,
}

impl DiscoveryFeed {
    /// A feed after this event, without a stream.
    pub fn new(last_event: u64) -> Self {
        Self {
            last_event,
            socket: None,
            partial_line: Vec::new(),
            last_line_at: Instant::now(),
            emptied_at: 0.0,
            end: None,
            read_outside_task: Rc::new(Notify::new()),
        }
    }

    /// A stream is about to be subscribed to; all that comes on it is written later than this.
    pub fn open(&mut self, now: f64) {
        self.partial_line = Vec::new();
        self.last_line_at = Instant::now();
        self.emptied_at = now;
        self.end = None;
    }

    /// The socket that can be read before something is sent.
    pub fn attach(&mut self, socket: Rc<TcpStream>) {
        self.socket = Some(socket);
    }

    /// The stream is over.
    pub fn close(&mut self) {
        self.socket = None;
    }

    /// Why the stream is of no more use, where that was found outside its task.
    pub fn take_end(&mut self) -> Option<StreamEnd> {
        self.end.take()
    }
}
