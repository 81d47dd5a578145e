//! Clients: lines are read within their bound and checked before the desk hears of them, answers written whole. Who says
//! what can't be used gets an error and is closed, and nothing of his goes on. Connections are accepted in
//! `door/accept.rs` and closed gracefully in `door/finish.rs`, all of them at a shutdown in `door/drain.rs`.

mod accept;
mod close;
mod shutdown;

pub use shutdown::Acceptor;

use crate::memory_budget::MemoryReservation;
use crate::platform_router::{PlatformRouter, RequestContext, SharedRouter};
use crate::request_ids_seen::RequestIdsSeen;
use crate::write_buffer::{RETAINED_CAPACITY, SocketState, WriteBuffer, peek_socket};
use accept::accept_connections;
use milletpath_dispatcher::dispatcher::{FunctionResources, IncomingRequest, RequestId};
use milletpath_platform_protocol::lines::{self, Call, ClientMessage};
use milletpath_protocol::Fault;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Calls that may be open on one connection.
const MAX_OPEN_CALLS: usize = 32;
/// Bytes of answers that wait for a slow reader: some of the usual size, and small against the least memory granted.
const MAX_UNWRITTEN: usize = 128 << 10;
/// Seconds for which a look at what a client has said or whether it has closed holds, before a shot of its begins: a
/// fifth of the 0.1 s after which nothing may begin for one that has gone.
const CLIENT_CHECK_SECONDS: f64 = 0.02;
/// Seconds by which an answer leaves before its client's time is up: what a crowded machine takes from the client's
/// write to our read, and back.
pub const RESPONSE_MARGIN: f64 = 0.015;

pub struct ClientConnection {
    pub serial: u64,
    stream: Rc<TcpStream>,
    wake: Rc<Notify>,
    /// A line that has begun.
    partial_line: Vec<u8>,
    pub write_buffer: WriteBuffer,
    reservation: MemoryReservation,
    pub open: Vec<(u64, RequestId)>,
    request_ids_seen: RequestIdsSeen,
    /// Whether it ever sent a whole line that could be used; when something passed last or a line began; and
    /// when bytes came last.
    has_sent_message: bool,
    last_progress: f64,
    last_received: f64,
    /// When its socket was last read or looked at.
    checked_at: f64,
    /// It said what can't be used: it gets what is written and is closed.
    closing: bool,
    /// It was accepted where all others were owed answers: its calls are rejected for as long as that holds.
    overflow: bool,
    /// When its sending direction was shut down: nothing more is answered, what still comes is read and dropped.
    write_closed_at: Option<f64>,
}

impl ClientConnection {
    fn update_reservation(&mut self) {
        self.reservation.resize(self.partial_line.capacity() + self.write_buffer.bytes.capacity());
    }

    /// When it was last of use: of one that never said a whole word, bytes that come in pieces are none.
    fn last_used(&self) -> f64 {
        if self.has_sent_message { self.last_progress.max(self.last_received) } else { self.last_progress }
    }

    /// Whether nothing of its lies unread: a call that did would be lost with the connection.
    fn nothing_unread(&self) -> bool {
        peek_socket(&self.stream) != SocketState::Readable
    }
}

async fn serve_client(router: SharedRouter, key: usize, stream: Rc<TcpStream>, wake: Rc<Notify>) {
    loop {
        let (reads, writes) = {
            let s = router.borrow();
            match s.clients.get(key).filter(|c| Rc::ptr_eq(&c.stream, &stream)) {
                Some(c) => (!c.closing, c.write_buffer.remaining() > 0),
                None => return,
            }
        };
        tokio::select! {
            _ = stream.readable(), if reads => router.borrow_mut().on_client_readable(key),
            _ = stream.writable(), if writes => router.borrow_mut().flush_client(key),
            () = wake.notified() => {}
        }
    }
}

impl PlatformRouter {
    /// Ends a connection; what its client still waited for is called off.
    fn close_client(&mut self, key: usize, why: &str) {
        let Some(client) = self.clients.try_remove(key) else { return };
        tracing::debug!(
            key,
            why,
            open = client.open.len(),
            has_sent_message = client.has_sent_message,
            "a client's connection ends"
        );
        client.wake.notify_one();
        self.cancel_requests(client.open);
    }

    fn cancel_requests(&mut self, open: Vec<(u64, RequestId)>) {
        let now = self.now();
        for (_, request) in open {
            if let Some(context) = self.dispatcher.context(request) {
                let id = context.id;
                self.open_request_ids.remove(&id);
                self.dispatcher.client_gone(now, request);
            }
        }
    }

    pub fn on_client_readable(&mut self, key: usize) {
        self.read_client(key);
        self.run_actions();
    }

    /// Reads one fair turn of what a client has said.
    pub fn read_client(&mut self, key: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        client.checked_at = now;
        let stream = client.stream.clone();
        if client.closing {
            return;
        }
        let write_closed = client.write_closed_at.is_some();
        self.read(&stream, |router, read| match read {
            Ok(_) if write_closed => {}
            Ok(bytes) => router.receive_bytes(key, bytes),
            Err(why) => router.close_client(key, &why),
        });
        if self.clients.get(key).is_some_and(|c| c.overflow) {
            self.shut_down_if_idle(key, now);
        }
    }

    /// Whether a shot of a call may begin as far as its client goes: what that one says is read in its turn, and after
    /// a standstill that can come after the turn in which the shot's connection is ready. False where something of
    /// it lies unread: it is read first, and the link written then.
    pub fn may_begin_attempt(&mut self, request: RequestId, link: usize, now: f64) -> bool {
        let Some((key, serial)) = self.dispatcher.context(request).map(|a| a.client) else { return true };
        let Some(client) = self.clients.get_mut(key).filter(|c| c.serial == serial) else { return true };
        if now - client.checked_at < CLIENT_CHECK_SECONDS {
            return true;
        }
        match peek_socket(&client.stream) {
            SocketState::Empty => client.checked_at = now,
            // Its connection ends here, with all that was called on it.
            SocketState::Closed => self.close_client(key, "it was closed"),
            SocketState::Readable => {
                self.unread_clients.push((key, link));
                return false;
            }
        }
        true
    }

    /// Bytes of a client. All lines among them are checked before the first is acted on: what comes with a line
    /// that can't be used is not acted on either.
    fn receive_bytes(&mut self, key: usize, mut bytes: &[u8]) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        let mut partial_line = std::mem::take(&mut client.partial_line);
        // Of one that never said a whole word only the first bytes count: empty lines would hold it open for good.
        if partial_line.is_empty() && (client.has_sent_message || client.last_received == f64::NEG_INFINITY) {
            client.last_progress = now;
        }
        client.last_received = now;
        let mut messages: Vec<ClientMessage> = Vec::new();
        let mut fault = None;
        while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
            let (line, more) = bytes.split_at(end);
            bytes = &more[1..];
            let read = if partial_line.is_empty() {
                self.check_line(key, line, &mut messages)
            } else {
                let space = (lines::MAX_LINE + 1).saturating_sub(partial_line.len());
                partial_line.extend_from_slice(&line[..line.len().min(space)]);
                let read = self.check_line(key, &partial_line, &mut messages);
                partial_line.clear();
                read
            };
            if let Err(wrong) = read {
                fault = Some(wrong);
                break;
            }
        }
        if fault.is_none() && partial_line.len() + bytes.len() > lines::MAX_LINE {
            fault = Some((None, Fault::new("line", "is too long")));
        }
        if fault.is_none()
            && partial_line.len() + bytes.len() > RETAINED_CAPACITY
            && self.memory_budget.is_full()
        {
            fault = Some((None, Fault::new("line", "finds no memory, too many are open")));
        }
        if let Some((number, fault)) = fault {
            let call_numbers = messages.iter().filter_map(|message| match message {
                ClientMessage::Call(call) => Some(call.number),
                _ => None,
            });
            return self.close_invalid(key, call_numbers.collect(), number, &fault);
        }
        partial_line.extend_from_slice(bytes);
        if partial_line.is_empty() && partial_line.capacity() > RETAINED_CAPACITY {
            partial_line = Vec::new();
        }
        let Some(client) = self.clients.get_mut(key) else { return };
        client.partial_line = partial_line;
        client.update_reservation();
        client.has_sent_message |= !messages.is_empty();
        if !messages.is_empty() {
            client.last_progress = now;
        }
        for message in messages {
            match message {
                ClientMessage::Call(call) => self.submit_call(key, *call),
                ClientMessage::Cancel { id, number } => self.cancel_call(key, id, number),
                ClientMessage::Probe { number } => {
                    let fit = self.dispatcher.has_endpoints() && !self.shutdown.begun();
                    if let Some(client) = self.clients.get_mut(key) {
                        lines::write_health(&mut client.write_buffer.bytes, number, fit);
                        self.flush_client(key);
                    }
                }
            }
        }
    }

    /// Reads one line and checks it against what is known of its connection and of all.
    fn check_line(
        &mut self,
        key: usize,
        line: &[u8],
        messages: &mut Vec<ClientMessage>,
    ) -> Result<(), (Option<u64>, Fault)> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        tracing::trace!(key, "client: {}", String::from_utf8_lossy(line));
        let read = lines::read(line).map_err(|invalid| (invalid.number, invalid.fault))?;
        let Some(client) = self.clients.get_mut(key) else { return Ok(()) };
        match &read {
            ClientMessage::Call(call) => {
                let wrong = |place: &str, wrong: &str| Err((Some(call.number), Fault::new(place, wrong)));
                let calls = || {
                    messages
                        .iter()
                        .filter_map(|s| if let ClientMessage::Call(a) = s { Some(a) } else { None })
                };
                if !client.request_ids_seen.insert(call.number) {
                    return wrong("id", "was used before on this connection");
                }
                if client.open.len() + calls().count() >= MAX_OPEN_CALLS {
                    return wrong("id", "is one open call too many");
                }
                if self.open_request_ids.contains(&call.id) || calls().any(|other| other.id == call.id) {
                    return wrong("i", "is open already");
                }
                if !self.profiles.contains(&call.profile) {
                    return wrong("method", "is unknown");
                }
                if !(self.groups.is_empty() || self.groups.contains(&call.client)) {
                    return wrong("t", "is unknown");
                }
            }
            // Withdrawn before it was acted on: it never comes to the desk.
            ClientMessage::Cancel { id, number } => {
                let cancelled = |a: &Call| Some(a.id) == *id || Some(a.number) == *number;
                messages.retain(|s| !matches!(s, ClientMessage::Call(a) if cancelled(a)));
            }
            ClientMessage::Probe { number } => {
                if !client.request_ids_seen.insert(*number) {
                    return Err((Some(*number), Fault::new("id", "was used before on this connection")));
                }
            }
        }
        messages.push(read);
        Ok(())
    }

    fn submit_call(&mut self, key: usize, call: Call) {
        let now = self.now();
        if self.shutdown.rejects(now) {
            return self.reject_call(key, call.number);
        }
        let crowded = self.clients.len() > self.connection_limits.clients;
        if let Some(client) = self.clients.get_mut(key).filter(|c| c.overflow) {
            if crowded {
                return self.reject_call(key, call.number);
            }
            client.overflow = false;
        }
        let Call {
            number,
            id,
            profile,
            client,
            function,
            timeout,
            is_repeat,
            idempotency_key,
            memory,
            lanes,
            load,
            body,
        } = call;
        let position =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(usize::MAX);
        let profile = position(&self.profiles, &profile);
        let incoming = IncomingRequest {
            function: &function,
            profile,
            client: position(&self.groups, &client),
            timeout: (timeout - RESPONSE_MARGIN).max(0.0).min(self.shutdown.time_to_answer(now)),
            is_retry: is_repeat,
            resources: Some(FunctionResources { lanes, memory, load_time: load }),
        };
        let Some(serial) = self.clients.get(key).map(|c| c.serial) else { return };
        let reservation = self.memory_budget.reserve(body.capacity() + idempotency_key.capacity());
        if self.memory_budget.is_full() {
            return self.reject_call(key, number);
        }
        let context = RequestContext {
            client: (key, serial),
            number,
            id,
            profile,
            idempotency_key,
            body,
            _reservation: reservation,
            received_at: now,
            last_attempt_at: now,
            worker_connections: Vec::new(),
        };
        let request = self.dispatcher.submit(now, incoming, context);
        let Some(client) = self.clients.get_mut(key) else { return };
        match request {
            Some(request) => {
                client.open.push((number, request));
                self.open_request_ids.insert(id);
            }
            None => self.reject_call(key, number),
        }
    }

    /// There is no room for a call: it was not taken.
    fn reject_call(&mut self, key: usize, number: u64) {
        if let Some(client) = self.clients.get_mut(key) {
            lines::write_rejected(&mut client.write_buffer.bytes, number, self.retry_after);
            self.flush_client(key);
        }
    }

    fn cancel_call(&mut self, key: usize, id: Option<u64>, number: Option<u64>) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let dispatcher = &mut self.dispatcher;
        let mut matches = |n: u64, request: RequestId| match id {
            Some(id) => dispatcher.context(request).is_some_and(|a| a.id == id),
            None => Some(n) == number,
        };
        let (cancelled, open) =
            std::mem::take(&mut client.open).into_iter().partition(|&(n, request)| matches(n, request));
        client.open = open;
        self.cancel_requests(cancelled);
    }

    /// A client said what can't be used: each of its calls is answered with an error, and it is closed.
    fn close_invalid(&mut self, key: usize, mut call_numbers: Vec<u64>, number: Option<u64>, fault: &Fault) {
        tracing::debug!(key, %fault, "a client said what can't be used");
        let Some(client) = self.clients.get_mut(key) else { return };
        let open = std::mem::take(&mut client.open);
        call_numbers.extend(open.iter().map(|(n, _)| *n));
        client.closing = true;
        for n in call_numbers.into_iter().filter(|n| Some(*n) != number) {
            lines::write_invalid(
                &mut client.write_buffer.bytes,
                Some(n),
                &Fault::new("connection", "is closed for another line"),
            );
        }
        lines::write_invalid(&mut client.write_buffer.bytes, number, fault);
        self.cancel_requests(open);
        self.flush_client(key);
    }

    /// Writes what is there for a client, as far as it takes it.
    pub fn flush_client(&mut self, key: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        match client.write_buffer.write(&client.stream) {
            Ok(0) => {}
            Ok(_) => client.last_progress = now,
            Err(e) => return self.close_client(key, &e.to_string()),
        }
        client.update_reservation();
        if client.write_buffer.remaining() > 0 {
            client.wake.notify_one();
            if client.write_buffer.remaining()
                > if self.memory_budget.is_full() { RETAINED_CAPACITY } else { MAX_UNWRITTEN }
            {
                self.close_client(key, "it reads too slowly");
            }
            return;
        }
        if client.closing {
            self.close_client(key, "it said what can't be used");
        }
    }

    pub fn close_stale_clients(&mut self, now: f64) {
        let over = |c: &ClientConnection| {
            let late = if c.partial_line.is_empty() || c.write_buffer.remaining() > 0 {
                (!c.has_sent_message || c.write_buffer.remaining() > 0)
                    && self.connection_limits.silent(now, c.last_progress)
            } else {
                self.connection_limits.line_timed_out(
                    now,
                    c.last_progress,
                    c.last_received,
                    c.has_sent_message,
                )
            };
            // Of one that said what can't be used nothing more is read, however much it sends.
            late && c.open.is_empty() && (c.closing || c.nothing_unread())
        };
        let over: Vec<_> = self.clients.iter().filter(|(_, c)| over(c)).map(|(key, _)| key).collect();
        over.into_iter().for_each(|key| self.close_client(key, "silent for too long"));
        self.shut_down_idle(now, |client| client.overflow);
        self.close_shut_down(now);
    }
}

#[cfg(test)]
mod tests;
