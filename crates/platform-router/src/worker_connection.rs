//! Links to workers: connections that carry many shots, orders and probes at a time. A frame waits here until its
//! first byte can go; only then the desk is asked whether it still may, so that what is withdrawn before was never
//! sent. What can't be read ends its connection and all that was open on it.
//!
//! Here stand the links themselves and what is read from them; `link/writing.rs` makes and writes frames, `link/task.rs`
//! waits for the sockets.

mod task;
mod write;

use crate::backoff::Backoff;
use crate::memory_budget::MemoryReservation;
use crate::platform_router::PlatformRouter;
use crate::socket_errors::{self, FaultOrigin, Operation, Recovery};
use crate::write_buffer::{RETAINED_CAPACITY, SocketState, WriteBuffer, peek_socket};
use milletpath_dispatcher::dispatcher::{AttemptResult, RequestId, WorkerProcess};
use milletpath_platform_protocol::{frames, lines};
use milletpath_policy::host::Outcome;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Ids that are remembered on a connection after their end: a second copy of an answer comes soon or not at all.
const RECENT_IDS: usize = 64;

/// What waits for its first byte to go.
enum QueuedFrame {
    Attempt(RequestId, usize),
    LoadRequest(RequestId, Arc<str>, u8),
    Unload(Arc<str>),
    HealthCheck(u64),
    Cancel(u64),
}

/// What was sent and is not answered yet.
#[derive(Clone, Copy)]
enum AwaitedResponse {
    Attempt(RequestId, usize),
    LoadRequest(RequestId),
    HealthCheck(u64),
}

impl QueuedFrame {
    /// What an answer is owed for, once this has gone.
    fn awaited_response(&self) -> Option<AwaitedResponse> {
        match *self {
            Self::Attempt(request, attempt) => Some(AwaitedResponse::Attempt(request, attempt)),
            Self::LoadRequest(load_request, ..) => Some(AwaitedResponse::LoadRequest(load_request)),
            Self::HealthCheck(serial) => Some(AwaitedResponse::HealthCheck(serial)),
            Self::Unload(_) | Self::Cancel(_) => None,
        }
    }
}

struct OutstandingFrame {
    id: u64,
    awaited: AwaitedResponse,
    /// The bytes of this link up to its last.
    end_offset: u64,
    /// When it was made.
    at: f64,
}

pub struct WorkerConnection {
    worker: usize,
    /// The process that it was made for: what the list says later may be of another.
    process: u64,
    stream: Option<Rc<TcpStream>>,
    wake: Rc<Notify>,
    partial_frame: Vec<u8>,
    write_buffer: WriteBuffer,
    reservation: MemoryReservation,
    /// Bytes made and written so far.
    bytes_made: u64,
    bytes_written: u64,
    queue: VecDeque<QueuedFrame>,
    /// What the last frame was made of.
    frame_source: Option<QueuedFrame>,
    open: Vec<OutstandingFrame>,
    /// What was open last.
    recent_ids: VecDeque<u64>,
    last_used: f64,
    /// When its worker was heard last.
    last_received: f64,
    /// Pauses after reads and writes that failed for a local reason.
    read_backoff: Backoff,
    write_backoff: Backoff,
    /// Its connection could not be made so far for a local reason.
    connect_failing: bool,
}

impl WorkerConnection {
    fn new(
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
            bytes_made: 0,
            bytes_written: 0,
            queue: VecDeque::new(),
            frame_source: None,
            open: Vec::new(),
            recent_ids: VecDeque::new(),
            last_used: now,
            last_received: now,
            read_backoff: Backoff::new(connect_timeout),
            write_backoff: Backoff::new(connect_timeout),
            connect_failing: false,
        }
    }

    /// Since when something is out here that nothing was heard after; none where nothing is.
    fn silent_since(&self) -> Option<f64> {
        let since = self.open.iter().map(|o| o.at).min_by(f64::total_cmp)?;
        Some(since.max(self.last_received))
    }

    /// Shots that wait or are out.
    fn attempts(&self) -> usize {
        let queue = self.queue.iter().filter(|frame| matches!(frame, QueuedFrame::Attempt(..)));
        queue.count() + self.open.iter().filter(|o| matches!(o.awaited, AwaitedResponse::Attempt(..))).count()
    }

    /// Whether an answer under this id could be another's: to what is open, or a second copy of the last ones.
    fn uses_id(&self, id: u64) -> bool {
        self.open.iter().any(|o| o.id == id) || self.recent_ids.contains(&id)
    }

    /// Whether the worker has closed it, as far as can be seen now.
    fn is_closed_by_worker(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| peek_socket(stream) == SocketState::Closed)
    }

    fn finish(&mut self, at: usize) -> OutstandingFrame {
        let open = self.open.swap_remove(at);
        if self.recent_ids.len() >= RECENT_IDS {
            self.recent_ids.pop_front();
        }
        self.recent_ids.push_back(open.id);
        open
    }
}

impl PlatformRouter {
    /// The link on which one more frame for a worker goes; a new one where that is wanted.
    fn connection_for(&mut self, worker: usize, id: Option<u64>) -> usize {
        let WorkerProcess { address, process } = self.dispatcher.worker_process(worker);
        let known = self.connections_by_worker.get(&worker).into_iter().flatten();
        // What went to an earlier process of the name is not for this one; and two shots of an activation bear the
        // same id, by which their answers could not be told apart.
        let fits = |key: &&usize| {
            self.worker_connections[**key].process == process
                && id.is_none_or(|id| !self.worker_connections[**key].uses_id(id))
        };
        let fit: Vec<usize> = known.filter(fits).copied().collect();
        if let Some(key) = self.existing_while_connect_fails(&fit) {
            return key;
        }
        let now = self.now();
        let each = fit
            .iter()
            .map(|&k| (self.worker_connections[k].attempts(), self.worker_connections[k].silent_since()));
        let picked = self.connection_limits.choose_connection(now, each, self.worker_connections.len());
        if let Some(at) = picked {
            return fit[at];
        }
        // Past the bound the longest idle connection of another worker makes room.
        if self.worker_connections.len() >= self.connection_limits.worker_connections {
            let idle = self
                .worker_connections
                .iter()
                .filter(|(_, connection)| connection.open.is_empty() && connection.queue.is_empty());
            let longest = idle.min_by(|a, b| a.1.last_used.total_cmp(&b.1.last_used)).map(|(key, _)| key);
            longest.map(|key| self.remove_worker_connection(key));
        }
        let connection =
            WorkerConnection::new(worker, process, self.memory_budget.reserve(0), now, self.connect_timeout);
        let wake = connection.wake.clone();
        let key = self.worker_connections.insert(connection);
        self.connections_by_worker.entry(worker).or_default().push(key);
        if let Some(router) = self.weak_self.upgrade() {
            spawn_local(task::run_connection(router, key, address, wake));
        }
        key
    }

    /// While no connection to a worker can be made for a local reason, the least loaded one that stands, or else the
    /// one that is still tried: another would fail alike.
    fn existing_while_connect_fails(&self, fit: &[usize]) -> Option<usize> {
        let failing = fit.iter().copied().find(|&key| self.worker_connections[key].connect_failing)?;
        let connected = fit.iter().copied().filter(|&key| self.worker_connections[key].stream.is_some());
        Some(connected.min_by_key(|&key| self.worker_connections[key].attempts()).unwrap_or(failing))
    }

    fn enqueue(&mut self, key: usize, frame: QueuedFrame) {
        let now = self.now();
        let connection = &mut self.worker_connections[key];
        connection.last_used = now;
        connection.queue.push_back(frame);
        self.flush_worker(key);
    }

    pub fn send_attempt(&mut self, request: RequestId, attempt: usize, worker: usize) {
        let Some(id) = self.dispatcher.context(request).map(|a| a.id) else { return };
        let key = self.connection_for(worker, Some(id));
        if let Some(context) = self.dispatcher.context(request) {
            context.worker_connections.resize(context.worker_connections.len().max(attempt + 1), usize::MAX);
            context.worker_connections[attempt] = key;
        }
        self.enqueue(key, QueuedFrame::Attempt(request, attempt));
    }

    pub fn send_load_request(
        &mut self,
        load_request: RequestId,
        worker: usize,
        function: Arc<str>,
        instances: u8,
    ) {
        let key = self.connection_for(worker, None);
        self.enqueue(key, QueuedFrame::LoadRequest(load_request, function, instances));
    }

    pub fn send_unload(&mut self, worker: usize, function: &Arc<str>) {
        let key = self.connection_for(worker, None);
        self.enqueue(key, QueuedFrame::Unload(function.clone()));
    }

    pub fn send_health_check(&mut self, worker: usize, serial: u64) {
        let key = self.connection_for(worker, None);
        self.enqueue(key, QueuedFrame::HealthCheck(serial));
    }

    /// A shot's end is booked: it is withdrawn if nothing of it has gone, and given up at the worker otherwise.
    pub fn cancel_attempt(&mut self, request: RequestId, attempt: usize) {
        let Some(key) =
            self.dispatcher.context(request).and_then(|a| a.worker_connections.get(attempt).copied())
        else {
            return;
        };
        let Some(connection) = self.worker_connections.get_mut(key) else { return };
        let waited = connection.queue.len();
        connection
            .queue
            .retain(|frame| !matches!(frame, QueuedFrame::Attempt(t, s) if *t == request && *s == attempt));
        if connection.queue.len() < waited {
            let (worker, up) = (connection.worker, connection.stream.is_some());
            tracing::debug!(
                worker,
                up,
                waited,
                unwritten = connection.write_buffer.remaining(),
                "a shot was never begun"
            );
        }
        let at = connection.open.iter().position(
            |o| matches!(o.awaited, AwaitedResponse::Attempt(t, s) if t == request && s == attempt),
        );
        let Some(open) = at.map(|at| connection.finish(at)) else { return };
        if self.sends_cancels {
            self.enqueue(key, QueuedFrame::Cancel(open.id));
        }
    }

    pub fn on_worker_readable(&mut self, key: usize) {
        let Some(stream) = self.worker_connections.get(key).and_then(|connection| connection.stream.clone())
        else {
            return;
        };
        let mut read_buffer = std::mem::take(&mut self.read_buffer);
        match self.sockets.read(&stream, &mut read_buffer) {
            Ok(0) => self.connection_broken(key, "it was closed", FaultOrigin::Remote),
            Ok(n) => self.receive_frames(key, &read_buffer[..n]),
            Err(error) => self.read_failed(key, &error),
        }
        self.read_buffer = read_buffer;
        self.run_actions();
    }

    fn read_failed(&mut self, key: usize, error: &std::io::Error) {
        let fault = socket_errors::classify(Operation::Read, error);
        let now = self.now();
        match fault.recovery {
            Recovery::AwaitReadiness => {}
            Recovery::Retry => {
                if let Some(connection) = self.worker_connections.get_mut(key) {
                    connection.read_backoff.failed(now);
                }
            }
            Recovery::Close => self.connection_broken(key, &error.to_string(), fault.origin),
        }
    }

    fn receive_frames(&mut self, key: usize, bytes: &[u8]) {
        let now = self.now();
        let Some(connection) = self.worker_connections.get_mut(key) else { return };
        let mut partial_frame = std::mem::take(&mut connection.partial_frame);
        let mut rest = if partial_frame.is_empty() {
            bytes
        } else {
            partial_frame.extend_from_slice(bytes);
            &partial_frame
        };
        let fault = loop {
            match frames::read(rest) {
                Ok(Some(frames::Frame { response: answer, length: took })) => {
                    rest = &rest[took..];
                    if let Err(wrong) = self.on_response(key, answer, now) {
                        break Some(wrong.to_owned());
                    }
                }
                Ok(None) => break None,
                Err(fault) => break Some(fault.to_string()),
            }
        };
        if let Some(wrong) = fault {
            return self.connection_broken(key, &wrong, FaultOrigin::Remote);
        }
        let rest = rest.to_vec();
        if let Some(connection) = self.worker_connections.get_mut(key) {
            (connection.last_used, connection.last_received) = (now, now);
            connection.read_backoff.succeeded();
            connection.partial_frame = rest;
            connection.reservation.resize(connection.partial_frame.capacity());
            if connection.partial_frame.len() > RETAINED_CAPACITY && self.memory_budget.is_full() {
                self.connection_broken(key, "its answer finds no memory", FaultOrigin::Local);
            }
        }
    }

    /// One sound answer. An unknown id is passed over: a second copy, or the answer to what was given up.
    fn on_response(
        &mut self,
        key: usize,
        answer: frames::WorkerResponse<'_>,
        now: f64,
    ) -> Result<(), &'static str> {
        let Some(connection) = self.worker_connections.get_mut(key) else { return Ok(()) };
        let Some(at) = connection.open.iter().position(|o| o.id == answer.id) else { return Ok(()) };
        if answer.probe != matches!(connection.open[at].awaited, AwaitedResponse::HealthCheck(_)) {
            return Err("an answer of another kind than what was asked");
        }
        let worker = connection.worker;
        match connection.finish(at).awaited {
            AwaitedResponse::Attempt(request, attempt) => {
                if tracing::enabled!(tracing::Level::DEBUG) {
                    self.log_response(worker, request, &answer, now);
                }
                let end = AttemptResult {
                    outcome: answer.outcome,
                    found: None,
                    company: answer.concurrent_calls,
                    report: answer.report,
                    answers_client: false,
                };
                if self.dispatcher.attempt_ended(now, request, attempt, end) {
                    self.send_final_response(request, |out, number| {
                        lines::write_success(out, number, answer.body)
                    });
                }
            }
            AwaitedResponse::LoadRequest(load_request) => {
                self.dispatcher.load_request_ended(now, load_request, answer.outcome, answer.instances)
            }
            AwaitedResponse::HealthCheck(serial) => {
                self.dispatcher.health_check_ended(now, worker, serial, answer.outcome, answer.report)
            }
        }
        Ok(())
    }

    /// Where the time of an answer went.
    fn log_response(
        &mut self,
        worker: usize,
        request: RequestId,
        answer: &frames::WorkerResponse<'_>,
        now: f64,
    ) {
        let function = self.dispatcher.function(request);
        let Some(context) = self.dispatcher.context(request) else { return };
        let (function, attempts) =
            (function.as_deref().unwrap_or_default(), context.worker_connections.len());
        let (waited, there) = (context.last_attempt_at - context.received_at, now - context.last_attempt_at);
        let (company, outcome) = (answer.concurrent_calls, answer.outcome);
        tracing::debug!(
            worker,
            function,
            id = context.id,
            waited,
            there,
            attempts,
            company,
            ?outcome,
            "answered"
        );
    }

    fn remove_worker_connection(&mut self, key: usize) -> Option<WorkerConnection> {
        let connection = self.worker_connections.try_remove(key)?;
        connection.wake.notify_one();
        if let Some(keys) = self.connections_by_worker.get_mut(&connection.worker) {
            keys.retain(|&k| k != key);
            if keys.is_empty() {
                self.connections_by_worker.remove(&connection.worker);
            }
        }
        Some(connection)
    }

    /// A connection was not made: nothing of what waited for it ran.
    fn connection_not_made(&mut self, key: usize, why: &str, outcome: Outcome) {
        let Some(connection) = self.remove_worker_connection(key) else { return };
        tracing::debug!(worker = connection.worker, why, "a worker is not reached");
        let open = connection.open.iter().map(|open| open.awaited);
        for awaited in open.chain(connection.queue.iter().filter_map(QueuedFrame::awaited_response)) {
            self.report_no_response(connection.worker, awaited, outcome);
        }
    }

    /// Tells the desk that no answer comes any more, and what that proves.
    fn report_no_response(&mut self, worker: usize, awaited: AwaitedResponse, outcome: Outcome) {
        let now = self.now();
        match awaited {
            AwaitedResponse::Attempt(request, attempt) => {
                self.dispatcher.attempt_ended(now, request, attempt, AttemptResult::from_outcome(outcome));
            }
            AwaitedResponse::LoadRequest(load_request) => {
                self.dispatcher.load_request_ended(now, load_request, outcome, 0)
            }
            AwaitedResponse::HealthCheck(serial) => {
                self.dispatcher.health_check_ended(now, worker, serial, outcome, None)
            }
        }
    }

    /// A connection broke or is of no more use: what was written whole may have run; the rest did not, and what
    /// waited goes on another, unless this one broke before it took anything: the next would as well.
    fn connection_broken(&mut self, key: usize, why: &str, origin: FaultOrigin) {
        if self.worker_connections.get(key).is_some_and(|connection| connection.bytes_written == 0) {
            return self.connection_not_made(key, why, socket_errors::outcome(origin, false));
        }
        let Some(connection) = self.remove_worker_connection(key) else { return };
        tracing::debug!(
            worker = connection.worker,
            why,
            open = connection.open.len(),
            "a connection to a worker ended"
        );
        for open in connection.open {
            let outcome = socket_errors::outcome(origin, connection.bytes_written >= open.end_offset);
            self.report_no_response(connection.worker, open.awaited, outcome);
        }
        for frame in connection.queue {
            match frame {
                QueuedFrame::Attempt(request, attempt) => {
                    self.send_attempt(request, attempt, connection.worker)
                }
                QueuedFrame::LoadRequest(load_request, function, instances) => {
                    self.send_load_request(load_request, connection.worker, function, instances)
                }
                QueuedFrame::Unload(function) => self.send_unload(connection.worker, &function),
                QueuedFrame::HealthCheck(serial) => self.send_health_check(connection.worker, serial),
                QueuedFrame::Cancel(_) => {}
            }
        }
    }

    pub fn close_idle_worker_connections(&mut self, now: f64) {
        let idle = |connection: &WorkerConnection| {
            connection.open.is_empty()
                && connection.queue.is_empty()
                && self.connection_limits.idle(now, connection.last_used)
        };
        let idle: Vec<_> = self
            .worker_connections
            .iter()
            .filter(|(_, connection)| idle(connection))
            .map(|(key, _)| key)
            .collect();
        for key in idle {
            self.remove_worker_connection(key);
        }
    }
}

#[cfg(test)]
mod tests;
