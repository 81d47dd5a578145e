//! Clients: lines are read within their bound and checked before the desk hears of them, answers written whole. Who says
//! what can't be used gets an error and is closed, and nothing of his goes on. Connections are accepted in
//! `door/accept.rs` and closed gracefully in `door/finish.rs`, all of them at a shutdown in `door/drain.rs`.

mod accept;
mod drain;
mod finish;

pub use drain::Entrance;

use crate::numbers::Numbers;
use crate::outbox::{KEPT, Look, Outbox, look};
use crate::room::Holds;
use crate::station::{Asker, Shared, Station, TURN};
use accept::accept;
use milletpath_dispatcher::dispatcher::{FunctionResources, IncomingRequest, RequestId};
use milletpath_platform_protocol::lines::{self, Call, ClientMessage};
use milletpath_protocol::Fault;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Calls that may be open on one connection.
const OPEN: usize = 32;
/// Bytes of answers that wait for a slow reader: some of the usual size, and small against the least memory granted.
const WAITING: usize = 128 << 10;
/// Seconds for which a look at what a client has said or whether it has closed holds, before a shot of its begins: a
/// fifth of the 0.1 s after which nothing may begin for one that has gone.
const LOOKED: f64 = 0.02;
/// Turns in which what a client has said is read before a shot of its begins, to find whether it gave the call up: more
/// than the calls that it may have open can fill.
const UNREAD_TURNS: usize = 16;
/// Seconds by which an answer leaves before its client's time is up: what a crowded machine takes from the client's
/// write to our read, and back.
pub const MARGIN: f64 = 0.015;
/// Seconds by which a call may have lain unread for longer than is counted: the time that is passed on to workers may be
/// 0.15 s over what the client has left. A call that came at the end of a standstill, or one that only looks like a
/// standstill on a crowded machine, loses the less.
const UNREAD_SLACK: f64 = 0.1;

pub struct Client {
    pub serial: u64,
    stream: Rc<TcpStream>,
    wake: Rc<Notify>,
    /// A line that has begun.
    rest: Vec<u8>,
    pub out: Outbox,
    holds: Holds,
    pub open: Vec<(u64, RequestId)>,
    numbers: Numbers,
    /// Whether it ever sent a whole line that could be used; when something passed last or a line began; and
    /// when bytes came last.
    said: bool,
    since: f64,
    heard: f64,
    /// When its socket was last found open with nothing unread.
    looked: f64,
    /// When a read last left nothing in it.
    emptied: f64,
    /// Turns read since it was last looked at, to find it so.
    unread_turns: usize,
    /// It said what can't be used: it gets what is written and is closed.
    condemned: bool,
    /// It was accepted where all others were owed answers: its calls are rejected for as long as that holds.
    overflow: bool,
    /// When its sending direction was shut down: nothing more is answered, what still comes is read and dropped.
    finished: Option<f64>,
}

impl Client {
    fn count(&mut self) {
        self.holds.now(self.rest.capacity() + self.out.bytes.capacity());
    }

    /// When it was last of use: of one that never said a whole word, bytes that come in pieces are none.
    fn used(&self) -> f64 {
        if self.said { self.since.max(self.heard) } else { self.since }
    }

    /// Whether nothing of its lies unread: a call that did would be lost with the connection.
    fn quiet(&self) -> bool {
        look(&self.stream) != Look::Bytes
    }
}

async fn attend(station: Shared, key: usize, stream: Rc<TcpStream>, wake: Rc<Notify>) {
    loop {
        let (reads, writes) = {
            let s = station.borrow();
            match s.clients.get(key).filter(|c| Rc::ptr_eq(&c.stream, &stream)) {
                Some(c) => (!c.condemned, c.out.left() > 0),
                None => return,
            }
        };
        tokio::select! {
            _ = stream.readable(), if reads => station.borrow_mut().client_reads(key),
            _ = stream.writable(), if writes => station.borrow_mut().client_writes(key),
            () = wake.notified() => {}
        }
    }
}

impl Station {
    /// Ends a connection; what its client still waited for is called off.
    fn part(&mut self, key: usize, why: &str) {
        let Some(client) = self.clients.try_remove(key) else { return };
        tracing::debug!(key, why, open = client.open.len(), said = client.said, "a client's connection ends");
        client.wake.notify_one();
        self.withdraw(client.open);
    }

    fn withdraw(&mut self, open: Vec<(u64, RequestId)>) {
        let now = self.now();
        for (_, tag) in open {
            if let Some(asker) = self.desk.context(tag) {
                let id = asker.id;
                self.ids.remove(&id);
                self.desk.client_gone(now, tag);
            }
        }
    }

    pub fn client_reads(&mut self, key: usize) {
        self.look_into(key);
        self.carry_out();
    }

    /// Reads one fair turn of what a client has said.
    pub fn look_into(&mut self, key: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        let stream = client.stream.clone();
        if client.condemned {
            return;
        }
        let finished = client.finished.is_some();
        self.read(&stream, |station, read| match read {
            Ok(_) if finished => {}
            Ok(bytes) => {
                station.hear(key, bytes);
                if let Some(client) = station.clients.get_mut(key).filter(|_| bytes.len() < TURN) {
                    client.emptied = now;
                }
            }
            Err(why) => station.part(key, &why),
        });
        if self.clients.get(key).is_some_and(|c| c.overflow) {
            self.finish_if_idle(key, now);
        }
    }

    /// Whether a shot of a call may begin as far as its client goes: what that one says is read in its turn, and after
    /// a standstill that can come after the turn in which the shot's connection is ready. False where something of
    /// it lies unread: it is read first, and the link written then.
    pub fn looked_at(&mut self, tag: RequestId, link: usize, now: f64) -> bool {
        let Some((key, serial)) = self.desk.context(tag).map(|a| a.client) else { return true };
        let Some(client) = self.clients.get_mut(key).filter(|c| c.serial == serial) else { return true };
        if now - client.looked < LOOKED || client.condemned {
            return true;
        }
        match look(&client.stream) {
            // Its connection ends here, with all that was called on it.
            Look::Closed => self.part(key, "it was closed"),
            Look::Bytes if client.unread_turns < UNREAD_TURNS => {
                client.unread_turns += 1;
                self.unread.push((key, link));
                return false;
            }
            Look::Nothing | Look::Bytes => (client.looked, client.unread_turns) = (now, 0),
        }
        true
    }

    /// Bytes of a client. All lines among them are checked before the first is acted on: what comes with a line
    /// that can't be used is not acted on either.
    fn hear(&mut self, key: usize, mut bytes: &[u8]) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        let mut rest = std::mem::take(&mut client.rest);
        // Of one that never said a whole word only the first bytes count: empty lines would hold it open for good.
        if rest.is_empty() && (client.said || client.heard == f64::NEG_INFINITY) {
            client.since = now;
        }
        client.heard = now;
        let mut said: Vec<ClientMessage> = Vec::new();
        let mut fault = None;
        while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
            let (line, more) = bytes.split_at(end);
            bytes = &more[1..];
            let read = if rest.is_empty() {
                self.check(key, line, &mut said)
            } else {
                let room = (lines::MAX_LINE + 1).saturating_sub(rest.len());
                rest.extend_from_slice(&line[..line.len().min(room)]);
                let read = self.check(key, &rest, &mut said);
                rest.clear();
                read
            };
            if let Err(wrong) = read {
                fault = Some(wrong);
                break;
            }
        }
        if fault.is_none() && rest.len() + bytes.len() > lines::MAX_LINE {
            fault = Some((None, Fault::new("line", "is too long")));
        }
        if fault.is_none() && rest.len() + bytes.len() > KEPT && self.room.full() {
            fault = Some((None, Fault::new("line", "finds no memory, too many are open")));
        }
        if let Some((number, fault)) = fault {
            let numbers = said.iter().filter_map(|s| match s {
                ClientMessage::Call(ask) => Some(ask.number),
                _ => None,
            });
            return self.condemn(key, numbers.collect(), number, &fault);
        }
        rest.extend_from_slice(bytes);
        if rest.is_empty() && rest.capacity() > KEPT {
            rest = Vec::new();
        }
        let Some(client) = self.clients.get_mut(key) else { return };
        client.rest = rest;
        client.count();
        client.said |= !said.is_empty();
        if !said.is_empty() {
            client.since = now;
        }
        for one in said {
            match one {
                ClientMessage::Call(ask) => self.ask(key, *ask),
                ClientMessage::Cancel { id, number } => self.give_up(key, id, number),
                ClientMessage::Probe { number } => {
                    let fit = self.desk.has_endpoints() && !self.shutdown.begun();
                    if let Some(client) = self.clients.get_mut(key) {
                        lines::write_health(&mut client.out.bytes, number, fit);
                        self.client_writes(key);
                    }
                }
            }
        }
    }

    /// Reads one line and checks it against what is known of its connection and of all.
    fn check(
        &mut self,
        key: usize,
        line: &[u8],
        said: &mut Vec<ClientMessage>,
    ) -> Result<(), (Option<u64>, Fault)> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        tracing::trace!(key, "client: {}", String::from_utf8_lossy(line));
        let read = lines::read(line).map_err(|invalid| (invalid.number, invalid.fault))?;
        let Some(client) = self.clients.get_mut(key) else { return Ok(()) };
        match &read {
            ClientMessage::Call(ask) => {
                let wrong = |place: &str, wrong: &str| Err((Some(ask.number), Fault::new(place, wrong)));
                let calls = || {
                    said.iter().filter_map(|s| if let ClientMessage::Call(a) = s { Some(a) } else { None })
                };
                if !client.numbers.take(ask.number) {
                    return wrong("id", "was used before on this connection");
                }
                if client.open.len() + calls().count() >= OPEN {
                    return wrong("id", "is one open call too many");
                }
                if self.ids.contains(&ask.id) || calls().any(|other| other.id == ask.id) {
                    return wrong("i", "is open already");
                }
                if !self.profiles.contains(&ask.profile) {
                    return wrong("method", "is unknown");
                }
                if !(self.groups.is_empty() || self.groups.contains(&ask.client)) {
                    return wrong("t", "is unknown");
                }
            }
            // Withdrawn before it was acted on: it never comes to the desk.
            ClientMessage::Cancel { id, number } => {
                let withdrawn = |a: &Call| Some(a.id) == *id || Some(a.number) == *number;
                said.retain(|s| !matches!(s, ClientMessage::Call(a) if withdrawn(a)));
            }
            ClientMessage::Probe { number } => {
                if !client.numbers.take(*number) {
                    return Err((Some(*number), Fault::new("id", "was used before on this connection")));
                }
            }
        }
        said.push(read);
        Ok(())
    }

    fn ask(&mut self, key: usize, ask: Call) {
        let now = self.now();
        if self.shutdown.rejects(now) {
            return self.turn_away(key, ask.number);
        }
        let crowded = self.clients.len() > self.keeping.clients;
        if let Some(client) = self.clients.get_mut(key).filter(|c| c.overflow) {
            if crowded {
                return self.turn_away(key, ask.number);
            }
            client.overflow = false;
        }
        let Call {
            number,
            id,
            profile,
            client,
            function,
            timeout: patience,
            is_repeat: repeat,
            idempotency_key: mark,
            memory,
            lanes,
            load,
            body,
        } = ask;
        let Some((serial, emptied)) = self.clients.get(key).map(|c| (c.serial, c.emptied)) else { return };
        let arrived = self.liveness.earliest_arrival(now, emptied);
        let lay_unread = (now - arrived - UNREAD_SLACK).max(0.0);
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(usize::MAX);
        let profile = place(&self.profiles, &profile);
        let come = IncomingRequest {
            function: &function,
            profile,
            client: place(&self.groups, &client),
            timeout: (patience - lay_unread - MARGIN).max(0.0).min(self.shutdown.time_to_answer(now)),
            is_retry: repeat,
            resources: Some(FunctionResources { lanes, memory, load_time: load }),
        };
        let holds = self.room.holds(body.capacity() + mark.capacity());
        if self.room.full() {
            return self.turn_away(key, number);
        }
        let asker = Asker {
            client: (key, serial),
            number,
            id,
            profile,
            mark,
            body,
            _holds: holds,
            came: now,
            begun: now,
            at: Vec::new(),
        };
        let tag = self.desk.submit(now, come, asker);
        let Some(client) = self.clients.get_mut(key) else { return };
        match tag {
            Some(tag) => {
                client.open.push((number, tag));
                self.ids.insert(id);
            }
            None => self.turn_away(key, number),
        }
    }

    /// There is no room for a call: it was not taken.
    fn turn_away(&mut self, key: usize, number: u64) {
        if let Some(client) = self.clients.get_mut(key) {
            lines::write_rejected(&mut client.out.bytes, number, self.come_back);
            self.client_writes(key);
        }
    }

    fn give_up(&mut self, key: usize, id: Option<u64>, number: Option<u64>) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let desk = &mut self.desk;
        let mut named = |n: u64, tag: RequestId| match id {
            Some(id) => desk.context(tag).is_some_and(|a| a.id == id),
            None => Some(n) == number,
        };
        let (gone, open) = std::mem::take(&mut client.open).into_iter().partition(|&(n, tag)| named(n, tag));
        client.open = open;
        self.withdraw(gone);
    }

    /// A client said what can't be used: each of its calls is answered with an error, and it is closed.
    fn condemn(&mut self, key: usize, mut numbers: Vec<u64>, number: Option<u64>, fault: &Fault) {
        tracing::debug!(key, %fault, "a client said what can't be used");
        let Some(client) = self.clients.get_mut(key) else { return };
        let open = std::mem::take(&mut client.open);
        numbers.extend(open.iter().map(|(n, _)| *n));
        client.condemned = true;
        for n in numbers.into_iter().filter(|n| Some(*n) != number) {
            lines::write_invalid(
                &mut client.out.bytes,
                Some(n),
                &Fault::new("connection", "is closed for another line"),
            );
        }
        lines::write_invalid(&mut client.out.bytes, number, fault);
        self.withdraw(open);
        self.client_writes(key);
    }

    /// Writes what is there for a client, as far as it takes it.
    pub fn client_writes(&mut self, key: usize) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(key) else { return };
        match client.out.write(&client.stream) {
            Ok(0) => {}
            Ok(_) => client.since = now,
            Err(e) => return self.part(key, &e.to_string()),
        }
        client.count();
        if client.out.left() > 0 {
            client.wake.notify_one();
            if client.out.left() > if self.room.full() { KEPT } else { WAITING } {
                self.part(key, "it reads too slowly");
            }
            return;
        }
        if client.condemned {
            self.part(key, "it said what can't be used");
        }
    }

    pub fn tidy_clients(&mut self, now: f64) {
        let over = |c: &Client| {
            let late = if c.rest.is_empty() || c.out.left() > 0 {
                (!c.said || c.out.left() > 0) && self.keeping.silent(now, c.since)
            } else {
                self.keeping.unfinished(now, c.since, c.heard, c.said)
            };
            // Of one that said what can't be used nothing more is read, however much it sends.
            late && c.open.is_empty() && (c.condemned || c.quiet())
        };
        let over: Vec<_> = self.clients.iter().filter(|(_, c)| over(c)).map(|(key, _)| key).collect();
        over.into_iter().for_each(|key| self.part(key, "silent for too long"));
        self.finish_idle(now, |client| client.overflow);
        self.close_finished(now);
    }
}

#[cfg(test)]
mod tests;
