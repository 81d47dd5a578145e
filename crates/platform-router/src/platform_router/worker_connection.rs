//! One connection to a worker, which carries many attempts, load requests and health checks at a time.

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

/// Ids that are remembered on a connection after their end: a duplicate response comes soon or not at all.
pub(crate) const RECENT_IDS: usize = 64;

/// What waits until the first byte of its frame can be written.
pub(crate) enum QueuedFrame {
    /// An attempt of a request.
    Attempt {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: usize,
    },
    /// Asks a worker to load a function.
    LoadRequest {
        /// The load request as the dispatcher knows it.
        load_request: RequestId,
        /// The function's id in hexadecimal digits.
        function: Arc<str>,
        /// How many instances of it.
        instances: u8,
    },
    /// Asks a worker to unload a function; no response comes.
    Unload {
        /// The function's id in hexadecimal digits.
        function: Arc<str>,
    },
    /// A health check.
    HealthCheck {
        /// Its number at the dispatcher.
        serial: u64,
    },
    /// Notifies a worker that a request is no longer wanted; no response comes.
    Cancel {
        /// The request's id on the wire.
        id: u64,
    },
}

/// What a response is awaited for.
#[derive(Clone, Copy)]
pub(crate) enum AwaitedResponse {
    /// An attempt of a request.
    Attempt {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: usize,
    },
    /// A load request.
    LoadRequest {
        /// The load request as the dispatcher knows it.
        load_request: RequestId,
    },
    /// A health check.
    HealthCheck {
        /// Its number at the dispatcher.
        serial: u64,
    },
}

impl QueuedFrame {
    /// What a response is awaited for once this was written; none where the worker sends none.
    pub fn awaited_response(&self) -> Option<AwaitedResponse> {
        match *self {
            Self::Attempt { request, attempt } => Some(AwaitedResponse::Attempt { request, attempt }),
            Self::LoadRequest { load_request, .. } => Some(AwaitedResponse::LoadRequest { load_request }),
            Self::HealthCheck { serial } => Some(AwaitedResponse::HealthCheck { serial }),
            Self::Unload { .. } | Self::Cancel { .. } => None,
        }
    }

    /// Whether it brings the worker something new to do.
    pub fn is_new_work(&self) -> bool {
        matches!(self, Self::Attempt { .. } | Self::LoadRequest { .. })
    }

    fn is_attempt_of(&self, wanted: RequestId, number: usize) -> bool {
        matches!(self, Self::Attempt { request, attempt } if *request == wanted && *attempt == number)
    }
}

/// A frame that was made and has no response yet.
pub(crate) struct OutstandingFrame {
    /// Its id on the wire, which the response repeats.
    pub id: u64,
    /// What the response is for.
    pub awaited: AwaitedResponse,
    /// Bytes of this connection up to the frame's end: once so many were written, the frame was written whole.
    pub end_offset: u64,
    /// When it was made.
    pub encoded_at: f64,
}

/// A connection to a worker. Times are in seconds on the router's clock.
pub(crate) struct WorkerConnection {
    /// The worker's index at the dispatcher.
    pub worker: usize,
    /// The process that the connection was made for: the list may name another under the worker's index by now.
    pub process: u64,
    /// The socket, once it is connected.
    pub stream: Option<Rc<TcpStream>>,
    /// Wakes its task where there is something to write, or the connection was removed.
    pub wake: Rc<Notify>,
    /// The beginning of a response whose end has not come yet.
    pub partial_frame: Vec<u8>,
    /// At most one frame, of which the socket has not taken every byte.
    pub write_buffer: WriteBuffer,
    /// The bytes of `partial_frame` in the memory budget.
    pub reservation: MemoryReservation,
    /// Bytes of all frames that were made so far.
    pub bytes_encoded: u64,
    /// Bytes that the socket has taken so far.
    pub bytes_written: u64,
    /// What waits to be written. The dispatcher bounds it: by its open requests and its load requests.
    pub queue: VecDeque<QueuedFrame>,
    /// What the frame in the write buffer was made of.
    pub frame_source: Option<QueuedFrame>,
    /// Frames without a response; bounded like the queue.
    pub outstanding: Vec<OutstandingFrame>,
    /// Ids of the frames that ended last, [`RECENT_IDS`] at most.
    pub recent_ids: VecDeque<u64>,
    /// When something was last queued, written or read.
    pub last_used: f64,
    /// When it was made; until then, when it was begun.
    pub connected_at: f64,
    /// When bytes last came from the worker.
    pub last_received: f64,
    /// Pauses after reads that failed for a local reason.
    pub read_backoff: Backoff,
    /// Pauses after writes that failed for a local reason.
    pub write_backoff: Backoff,
    /// So far the connection could not be made, for a local reason.
    pub connect_failing: bool,
}

impl WorkerConnection {
    /// A connection that is still to be made. It may take `connect_timeout` seconds.
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

    /// What decides whether one more attempt goes here.
    pub fn usage(&self) -> ConnectionUse {
        ConnectionUse { attempts: self.attempts(), silent_since: self.silent_since() }
    }

    /// Since when a response has been awaited with nothing coming from the worker; none where none is awaited.
    fn silent_since(&self) -> Option<f64> {
        let oldest = self.outstanding.iter().map(|frame| frame.encoded_at).min_by(f64::total_cmp)?;
        Some(oldest.max(self.last_received))
    }

    /// Attempts that are queued or have no response yet.
    pub fn attempts(&self) -> usize {
        let is_attempt = |frame: &&OutstandingFrame| matches!(frame.awaited, AwaitedResponse::Attempt { .. });
        let queued = self.queue.iter().filter(|frame| matches!(frame, QueuedFrame::Attempt { .. })).count();
        queued + self.outstanding.iter().filter(is_attempt).count()
    }

    /// Whether nothing is queued, and no response awaited.
    pub fn is_unused(&self) -> bool {
        self.outstanding.is_empty() && self.queue.is_empty()
    }

    /// Whether a response under this id may be another's: that of a frame without one yet, or a second copy.
    pub fn uses_id(&self, id: u64) -> bool {
        self.outstanding.iter().any(|frame| frame.id == id) || self.recent_ids.contains(&id)
    }

    /// Whether the worker has closed it, as far as can be seen now.
    pub fn is_closed_by_worker(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| peek_socket(stream) == SocketState::Closed)
    }

    /// Takes an attempt out of the queue; whether it was there.
    pub fn remove_queued_attempt(&mut self, request: RequestId, attempt: usize) -> bool {
        let queued = self.queue.len();
        self.queue.retain(|frame| !frame.is_attempt_of(request, attempt));
        self.queue.len() < queued
    }

    /// Takes an attempt off the frames that wait for a response: its id on the wire, if it was among them.
    pub fn finish_attempt(&mut self, wanted: RequestId, number: usize) -> Option<u64> {
        let at = self.outstanding.iter().position(|frame| {
            matches!(frame.awaited, AwaitedResponse::Attempt { request, attempt }
                if request == wanted && attempt == number)
        });
        at.map(|at| self.finish(at).id)
    }

    /// Takes a frame off those that wait for a response, and remembers its id for a while.
    pub fn finish(&mut self, at: usize) -> OutstandingFrame {
        let frame = self.outstanding.swap_remove(at);
        if self.recent_ids.len() >= RECENT_IDS {
            self.recent_ids.pop_front();
        }
        self.recent_ids.push_back(frame.id);
        frame
    }
}
