//! State of one connection to a worker, which multiplexes attempts, load requests and health checks.

use crate::backoff::Backoff;
use crate::connection_limits::ConnectionUse;
use crate::memory_budget::MemoryReservation;
use crate::sockets::{SocketState, peek_socket};
use crate::write_buffer::WriteBuffer;
use milletpath_dispatcher::dispatcher::RequestId;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Number of finished ids that are remembered per connection. A duplicate response arrives soon or not at all.
pub(crate) const RECENT_IDS: usize = 64;

/// A frame that is queued until its first byte can be written.
pub(crate) enum QueuedFrame {
    /// An attempt of a request.
    Attempt {
        /// The dispatcher's id of the request.
        request: RequestId,
        /// The attempt's number, starting at 0.
        attempt: usize,
    },
    /// Asks a worker to load a function.
    LoadRequest {
        /// The dispatcher's id of the load request.
        load_request: RequestId,
        /// The function id in hexadecimal digits.
        function: Arc<str>,
        /// The number of instances to load.
        instances: u8,
    },
    /// Asks a worker to unload a function; not answered.
    Unload {
        /// The function id in hexadecimal digits.
        function: Arc<str>,
    },
    /// A health check.
    HealthCheck {
        /// The dispatcher's number of the health check.
        serial: u64,
    },
    /// Notifies a worker that a request is cancelled; not answered.
    Cancel {
        /// The request id on the wire.
        id: u64,
    },
}

/// The frame to which a response is outstanding.
#[derive(Clone, Copy)]
pub(crate) enum AwaitedResponse {
    /// An attempt of a request.
    Attempt {
        /// The dispatcher's id of the request.
        request: RequestId,
        /// The attempt's number, starting at 0.
        attempt: usize,
    },
    /// A load request.
    LoadRequest {
        /// The dispatcher's id of the load request.
        load_request: RequestId,
    },
    /// A health check.
    HealthCheck {
        /// The dispatcher's number of the health check.
        serial: u64,
    },
}

impl QueuedFrame {
    /// The response that is outstanding once the frame is written; `None` if the worker sends none.
    pub fn awaited_response(&self) -> Option<AwaitedResponse> {
        match *self {
            Self::Attempt { request, attempt } => Some(AwaitedResponse::Attempt { request, attempt }),
            Self::LoadRequest { load_request, .. } => Some(AwaitedResponse::LoadRequest { load_request }),
            Self::HealthCheck { serial } => Some(AwaitedResponse::HealthCheck { serial }),
            Self::Unload { .. } | Self::Cancel { .. } => None,
        }
    }

    /// Whether the frame gives the worker new work.
    pub fn is_new_work(&self) -> bool {
        matches!(self, Self::Attempt { .. } | Self::LoadRequest { .. })
    }

    fn is_attempt_of(&self, wanted: RequestId, number: usize) -> bool {
        matches!(self, Self::Attempt { request, attempt } if *request == wanted && *attempt == number)
    }
}

/// An encoded frame without a response.
pub(crate) struct OutstandingFrame {
    /// Its id on the wire, which the response repeats.
    pub id: u64,
    /// What the response belongs to.
    pub awaited: AwaitedResponse,
    /// Offset of the frame's end in the bytes sent on the connection. The frame was written completely once
    /// `bytes_written` has reached it.
    pub end_offset: u64,
    /// Time at which the frame was encoded.
    pub encoded_at: f64,
}

/// A connection to a worker. Times are in seconds on the router's clock.
pub(crate) struct WorkerConnection {
    /// The dispatcher's index of the worker.
    pub worker: usize,
    /// The worker process for which the connection was opened. The endpoint list may since have assigned the worker's
    /// index to another process.
    pub process: u64,
    /// The socket, once connected.
    pub stream: Option<Rc<TcpStream>>,
    /// Wakes the connection's task when there is something to write or the connection was removed.
    pub wake: Rc<Notify>,
    /// The incomplete last response.
    pub partial_frame: Vec<u8>,
    /// Holds at most one frame that the socket has not accepted completely.
    pub write_buffer: WriteBuffer,
    /// Reserves the bytes of `partial_frame` in the memory budget.
    pub reservation: MemoryReservation,
    /// Total size of all frames encoded so far.
    pub bytes_encoded: u64,
    /// Total number of bytes accepted by the socket so far.
    pub bytes_written: u64,
    /// Frames to be written, bounded by the dispatcher's open requests and load requests.
    pub queue: VecDeque<QueuedFrame>,
    /// The queued frame from which the frame in the write buffer was encoded.
    pub frame_source: Option<QueuedFrame>,
    /// Frames without a response, bounded like the queue.
    pub outstanding: Vec<OutstandingFrame>,
    /// Ids of the most recently finished frames, at most [`RECENT_IDS`].
    pub recent_ids: VecDeque<u64>,
    /// Time at which a frame was last queued, written or read.
    pub last_used: f64,
    /// Time at which the connection was established; until then, the time at which it was opened.
    pub connected_at: f64,
    /// Time at which bytes were last received from the worker.
    pub last_received: f64,
    /// Backoff after reads that failed for a local reason.
    pub read_backoff: Backoff,
    /// Backoff after writes that failed for a local reason.
    pub write_backoff: Backoff,
    /// Whether connecting has failed for a local reason and has not succeeded since.
    pub connect_failing: bool,
}

impl WorkerConnection {
    /// Creates a connection that is not established yet, with a connect timeout of `connect_timeout` seconds.
    pub fn new(
        worker: usize,
        process: u64,
        reservation: MemoryReservation,
        now: f64,
        connect_timeout: f64,
    ) -> Self {
        Self {
            worker,
            process,
            stream: None,
            wake: Rc::new(Notify::new()),
            partial_frame: Vec::new(),
            write_buffer: WriteBuffer::default(),
            reservation,
            bytes_encoded: 0,
            bytes_written: 0,
            queue: VecDeque::new(),
            frame_source: None,
            outstanding: Vec::new(),
            recent_ids: VecDeque::new(),
            last_used: now,
            connected_at: now,
            last_received: now,
            read_backoff: Backoff::new(connect_timeout),
            write_backoff: Backoff::new(connect_timeout),
            connect_failing: false,
        }
    }

    /// The load by which a connection is chosen for one more attempt.
    pub fn usage(&self) -> ConnectionUse {
        ConnectionUse { attempts: self.attempts(), silent_since: self.silent_since() }
    }

    /// Time since which a response has been outstanding with nothing received from the worker; `None` if no response
    /// is outstanding.
    fn silent_since(&self) -> Option<f64> {
        let oldest = self.outstanding.iter().map(|frame| frame.encoded_at).min_by(f64::total_cmp)?;
        Some(oldest.max(self.last_received))
    }

    /// Number of attempts that are queued or have no response yet.
    pub fn attempts(&self) -> usize {
        let is_attempt = |frame: &&OutstandingFrame| matches!(frame.awaited, AwaitedResponse::Attempt { .. });
        let queued = self.queue.iter().filter(|frame| matches!(frame, QueuedFrame::Attempt { .. })).count();
        queued + self.outstanding.iter().filter(is_attempt).count()
    }

    /// Whether the queue is empty and no response is outstanding.
    pub fn is_unused(&self) -> bool {
        self.outstanding.is_empty() && self.queue.is_empty()
    }

    /// Whether a response with this id could belong to another frame: one that is outstanding, or a recent one whose
    /// response is duplicated.
    pub fn uses_id(&self, id: u64) -> bool {
        self.outstanding.iter().any(|frame| frame.id == id) || self.recent_ids.contains(&id)
    }

    /// Whether the worker has closed the connection, as far as the kernel knows.
    pub fn is_closed_by_worker(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| peek_socket(stream) == SocketState::Closed)
    }

    /// Removes an attempt from the queue; returns whether it was queued.
    pub fn remove_queued_attempt(&mut self, request: RequestId, attempt: usize) -> bool {
        let queued = self.queue.len();
        self.queue.retain(|frame| !frame.is_attempt_of(request, attempt));
        self.queue.len() < queued
    }

    /// Removes an attempt from the outstanding frames; returns its id on the wire if it was outstanding.
    pub fn finish_attempt(&mut self, wanted: RequestId, number: usize) -> Option<u64> {
        let at = self.outstanding.iter().position(|frame| {
            matches!(frame.awaited, AwaitedResponse::Attempt { request, attempt }
                if request == wanted && attempt == number)
        });
        at.map(|at| self.finish_frame(at).id)
    }

    /// Removes a frame from the outstanding frames and remembers its id for a while.
    pub fn finish_frame(&mut self, at: usize) -> OutstandingFrame {
        let frame = self.outstanding.swap_remove(at);
        if self.recent_ids.len() >= RECENT_IDS {
            self.recent_ids.pop_front();
        }
        self.recent_ids.push_back(frame.id);
        frame
    }
}
