//! Links to workers: connections that carry many shots, orders and probes at a time. A frame waits here until its
//! first byte can go; only then the desk is asked whether it still may, so that what is withdrawn before was never
//! sent. What can't be read ends its connection and all that was open on it.
//!
//! Here stand the links themselves and what is read from them; `link/writing.rs` makes and writes frames, `link/task.rs`
//! waits for the sockets.

mod task;
mod writing;

use crate::backoff::Backoff;
use crate::faults::{self, FaultOrigin, Operation, Recovery};
use crate::outbox::{KEPT, Look, Outbox, look};
use crate::room::Holds;
use crate::station::Station;
use milletpath_dispatcher::dispatcher::{AttemptResult, RequestId, WorkerProcess};
use milletpath_platform_protocol::{frames, lines};
use milletpath_policy::Outcome;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Ids that are remembered on a connection after their end: a second copy of an answer comes soon or not at all.
const PAST: usize = 64;

/// What waits for its first byte to go.
enum Load {
    Shot(RequestId, usize),
    Hold(RequestId, Arc<str>, u8),
    Unload(Arc<str>),
    Probe(u64),
    GiveUp(u64),
}

/// What was sent and is not answered yet.
#[derive(Clone, Copy)]
enum Sent {
    Shot(RequestId, usize),
    Order(RequestId),
    Probe(u64),
}

impl Load {
    /// What an answer is owed for, once this has gone.
    fn awaits(&self) -> Option<Sent> {
        match *self {
            Self::Shot(tag, shot) => Some(Sent::Shot(tag, shot)),
            Self::Hold(order, ..) => Some(Sent::Order(order)),
            Self::Probe(serial) => Some(Sent::Probe(serial)),
            Self::Unload(_) | Self::GiveUp(_) => None,
        }
    }
}

struct Open {
    id: u64,
    what: Sent,
    /// The bytes of this link up to its last.
    whole: u64,
    /// When it was made.
    at: f64,
}

pub struct Link {
    worker: usize,
    /// The process that it was made for: what the list says later may be of another.
    process: u64,
    stream: Option<Rc<TcpStream>>,
    wake: Rc<Notify>,
    buf: Vec<u8>,
    out: Outbox,
    holds: Holds,
    /// Bytes made and written so far.
    made: u64,
    written: u64,
    waiting: VecDeque<Load>,
    /// What the last frame was made of.
    made_of: Option<Load>,
    open: Vec<Open>,
    /// What was open last.
    past: VecDeque<u64>,
    used: f64,
    /// When its worker was heard last.
    heard: f64,
    /// Pauses after reads and writes that failed for a local reason.
    reads: Backoff,
    writes: Backoff,
    /// Its connection could not be made so far for a local reason.
    connect_fails: bool,
}

impl Link {
    fn new(worker: usize, process: u64, holds: Holds, now: f64, connect: f64) -> Self {
        Self {
            worker,
            process,
            stream: None,
            wake: Rc::new(Notify::new()),
            buf: Vec::new(),
            out: Outbox::default(),
            holds,
            made: 0,
            written: 0,
            waiting: VecDeque::new(),
            made_of: None,
            open: Vec::new(),
            past: VecDeque::new(),
            used: now,
            heard: now,
            reads: Backoff::new(connect),
            writes: Backoff::new(connect),
            connect_fails: false,
        }
    }

    /// Since when something is out here that nothing was heard after; none where nothing is.
    fn unheard(&self) -> Option<f64> {
        let since = self.open.iter().map(|o| o.at).min_by(f64::total_cmp)?;
        Some(since.max(self.heard))
    }

    /// Shots that wait or are out.
    fn shots(&self) -> usize {
        let waiting = self.waiting.iter().filter(|l| matches!(l, Load::Shot(..)));
        waiting.count() + self.open.iter().filter(|o| matches!(o.what, Sent::Shot(..))).count()
    }

    /// Whether an answer under this id could be another's: to what is open, or a second copy of the last ones.
    fn bears(&self, id: u64) -> bool {
        self.open.iter().any(|o| o.id == id) || self.past.contains(&id)
    }

    /// Whether the worker has closed it, as far as can be seen now.
    fn closed(&self) -> bool {
        self.stream.as_ref().is_some_and(|stream| look(stream) == Look::Closed)
    }

    fn end(&mut self, at: usize) -> Open {
        let open = self.open.swap_remove(at);
        if self.past.len() >= PAST {
            self.past.pop_front();
        }
        self.past.push_back(open.id);
        open
    }
}

impl Station {
    /// The link on which one more frame for a worker goes; a new one where that is wanted.
    fn link(&mut self, worker: usize, id: Option<u64>) -> usize {
        let WorkerProcess { address, process } = self.desk.worker_process(worker);
        let known = self.reach.get(&worker).into_iter().flatten();
        // What went to an earlier process of the name is not for this one; and two shots of an activation bear the
        // same id, by which their answers could not be told apart.
        let fits = |key: &&usize| {
            self.links[**key].process == process && id.is_none_or(|id| !self.links[**key].bears(id))
        };
        let fit: Vec<usize> = known.filter(fits).copied().collect();
        if let Some(key) = self.instead_of_connecting(&fit) {
            return key;
        }
        let now = self.now();
        let each = fit.iter().map(|&k| (self.links[k].shots(), self.links[k].unheard()));
        let picked = self.keeping.pick(now, each, self.links.len());
        if let Some(at) = picked {
            return fit[at];
        }
        // Past the bound the longest idle connection of another worker makes room.
        if self.links.len() >= self.keeping.links {
            let idle = self.links.iter().filter(|(_, l)| l.open.is_empty() && l.waiting.is_empty());
            let longest = idle.min_by(|a, b| a.1.used.total_cmp(&b.1.used)).map(|(key, _)| key);
            longest.map(|key| self.remove(key));
        }
        let link = Link::new(worker, process, self.room.holds(0), now, self.connect);
        let wake = link.wake.clone();
        let key = self.links.insert(link);
        self.reach.entry(worker).or_default().push(key);
        if let Some(station) = self.me.upgrade() {
            spawn_local(task::drive(station, key, address, wake));
        }
        key
    }

    /// While no connection to a worker can be made for a local reason, the least loaded one that stands, or else the
    /// one that is still tried: another would fail alike.
    fn instead_of_connecting(&self, fit: &[usize]) -> Option<usize> {
        let failing = fit.iter().copied().find(|&key| self.links[key].connect_fails)?;
        let standing = fit.iter().copied().filter(|&key| self.links[key].stream.is_some());
        Some(standing.min_by_key(|&key| self.links[key].shots()).unwrap_or(failing))
    }

    fn load(&mut self, key: usize, load: Load) {
        let now = self.now();
        let link = &mut self.links[key];
        link.used = now;
        link.waiting.push_back(load);
        self.link_writes(key);
    }

    pub fn shoot(&mut self, tag: RequestId, shot: usize, worker: usize) {
        let Some(id) = self.desk.context(tag).map(|a| a.id) else { return };
        let key = self.link(worker, Some(id));
        if let Some(asker) = self.desk.context(tag) {
            asker.at.resize(asker.at.len().max(shot + 1), usize::MAX);
            asker.at[shot] = key;
        }
        self.load(key, Load::Shot(tag, shot));
    }

    pub fn hold(&mut self, order: RequestId, worker: usize, function: Arc<str>, copies: u8) {
        let key = self.link(worker, None);
        self.load(key, Load::Hold(order, function, copies));
    }

    pub fn unload(&mut self, worker: usize, function: &Arc<str>) {
        let key = self.link(worker, None);
        self.load(key, Load::Unload(function.clone()));
    }

    pub fn probe(&mut self, worker: usize, serial: u64) {
        let key = self.link(worker, None);
        self.load(key, Load::Probe(serial));
    }

    /// A shot's end is booked: it is withdrawn if nothing of it has gone, and given up at the worker otherwise.
    pub fn drop_shot(&mut self, tag: RequestId, shot: usize) {
        let Some(key) = self.desk.context(tag).and_then(|a| a.at.get(shot).copied()) else { return };
        let Some(link) = self.links.get_mut(key) else { return };
        let waited = link.waiting.len();
        link.waiting.retain(|l| !matches!(l, Load::Shot(t, s) if *t == tag && *s == shot));
        if link.waiting.len() < waited {
            let (worker, up) = (link.worker, link.stream.is_some());
            tracing::debug!(worker, up, waited, unwritten = link.out.left(), "a shot was never begun");
        }
        let at = link.open.iter().position(|o| matches!(o.what, Sent::Shot(t, s) if t == tag && s == shot));
        let Some(open) = at.map(|at| link.end(at)) else { return };
        if self.cancels {
            self.load(key, Load::GiveUp(open.id));
        }
    }

    pub fn link_reads(&mut self, key: usize) {
        let Some(stream) = self.links.get(key).and_then(|l| l.stream.clone()) else { return };
        let mut scratch = std::mem::take(&mut self.scratch);
        match self.sockets.read(&stream, &mut scratch) {
            Ok(0) => self.broken(key, "it was closed", FaultOrigin::Remote),
            Ok(n) => self.heard(key, &scratch[..n]),
            Err(error) => self.read_failed(key, &error),
        }
        self.scratch = scratch;
        self.carry_out();
    }

    fn read_failed(&mut self, key: usize, error: &std::io::Error) {
        let fault = faults::classify(Operation::Read, error);
        let now = self.now();
        match fault.recovery {
            Recovery::AwaitReadiness => {}
            Recovery::Retry => {
                if let Some(link) = self.links.get_mut(key) {
                    link.reads.failed(now);
                }
            }
            Recovery::Close => self.broken(key, &error.to_string(), fault.origin),
        }
    }

    fn heard(&mut self, key: usize, bytes: &[u8]) {
        let now = self.now();
        let Some(link) = self.links.get_mut(key) else { return };
        let mut buf = std::mem::take(&mut link.buf);
        let mut rest = if buf.is_empty() {
            bytes
        } else {
            buf.extend_from_slice(bytes);
            &buf
        };
        let fault = loop {
            match frames::read(rest) {
                Ok(Some(frames::Frame { response: answer, length: took })) => {
                    rest = &rest[took..];
                    if let Err(wrong) = self.answered(key, answer, now) {
                        break Some(wrong.to_owned());
                    }
                }
                Ok(None) => break None,
                Err(fault) => break Some(fault.to_string()),
            }
        };
        if let Some(wrong) = fault {
            return self.broken(key, &wrong, FaultOrigin::Remote);
        }
        let rest = rest.to_vec();
        if let Some(link) = self.links.get_mut(key) {
            (link.used, link.heard) = (now, now);
            link.reads.succeeded();
            link.buf = rest;
            link.holds.now(link.buf.capacity());
            if link.buf.len() > KEPT && self.room.full() {
                self.broken(key, "its answer finds no memory", FaultOrigin::Local);
            }
        }
    }

    /// One sound answer. An unknown id is passed over: a second copy, or the answer to what was given up.
    fn answered(
        &mut self,
        key: usize,
        answer: frames::WorkerResponse<'_>,
        now: f64,
    ) -> Result<(), &'static str> {
        let Some(link) = self.links.get_mut(key) else { return Ok(()) };
        let Some(at) = link.open.iter().position(|o| o.id == answer.id) else { return Ok(()) };
        if answer.probe != matches!(link.open[at].what, Sent::Probe(_)) {
            return Err("an answer of another kind than what was asked");
        }
        let worker = link.worker;
        match link.end(at).what {
            Sent::Shot(tag, shot) => {
                if tracing::enabled!(tracing::Level::DEBUG) {
                    self.log_answer(worker, tag, &answer, now);
                }
                let end = AttemptResult {
                    outcome: answer.outcome,
                    found: None,
                    company: answer.concurrent_calls,
                    report: answer.report,
                    answers_client: false,
                };
                if self.desk.attempt_ended(now, tag, shot, end) {
                    self.answer(tag, |out, number| lines::write_success(out, number, answer.body));
                }
            }
            Sent::Order(order) => self.desk.load_request_ended(now, order, answer.outcome, answer.instances),
            Sent::Probe(serial) => {
                self.desk.health_check_ended(now, worker, serial, answer.outcome, answer.report)
            }
        }
        Ok(())
    }

    /// Where the time of an answer went.
    fn log_answer(&mut self, worker: usize, tag: RequestId, answer: &frames::WorkerResponse<'_>, now: f64) {
        let function = self.desk.function(tag);
        let Some(asker) = self.desk.context(tag) else { return };
        let (function, shots) = (function.as_deref().unwrap_or_default(), asker.at.len());
        let (waited, there) = (asker.begun - asker.came, now - asker.begun);
        let (company, outcome) = (answer.concurrent_calls, answer.outcome);
        tracing::debug!(worker, function, id = asker.id, waited, there, shots, company, ?outcome, "answered");
    }

    fn remove(&mut self, key: usize) -> Option<Link> {
        let link = self.links.try_remove(key)?;
        link.wake.notify_one();
        if let Some(keys) = self.reach.get_mut(&link.worker) {
            keys.retain(|&k| k != key);
            if keys.is_empty() {
                self.reach.remove(&link.worker);
            }
        }
        Some(link)
    }

    /// A connection was not made: nothing of what waited for it ran.
    fn unreached(&mut self, key: usize, why: &str, outcome: Outcome) {
        let Some(link) = self.remove(key) else { return };
        tracing::debug!(worker = link.worker, why, "a worker is not reached");
        let open = link.open.iter().map(|open| open.what);
        for what in open.chain(link.waiting.iter().filter_map(Load::awaits)) {
            self.unanswered(link.worker, what, outcome);
        }
    }

    /// Tells the desk that no answer comes any more, and what that proves.
    fn unanswered(&mut self, worker: usize, what: Sent, outcome: Outcome) {
        let now = self.now();
        match what {
            Sent::Shot(tag, shot) => {
                self.desk.attempt_ended(now, tag, shot, AttemptResult::from_outcome(outcome));
            }
            Sent::Order(order) => self.desk.load_request_ended(now, order, outcome, 0),
            Sent::Probe(serial) => self.desk.health_check_ended(now, worker, serial, outcome, None),
        }
    }

    /// A connection broke or is of no more use: what was written whole may have run; the rest did not, and what
    /// waited goes on another, unless this one broke before it took anything: the next would as well.
    fn broken(&mut self, key: usize, why: &str, origin: FaultOrigin) {
        if self.links.get(key).is_some_and(|l| l.written == 0) {
            return self.unreached(key, why, faults::outcome(origin, false));
        }
        let Some(link) = self.remove(key) else { return };
        tracing::debug!(worker = link.worker, why, open = link.open.len(), "a connection to a worker ended");
        for open in link.open {
            let outcome = faults::outcome(origin, link.written >= open.whole);
            self.unanswered(link.worker, open.what, outcome);
        }
        for load in link.waiting {
            match load {
                Load::Shot(tag, shot) => self.shoot(tag, shot, link.worker),
                Load::Hold(order, function, copies) => self.hold(order, link.worker, function, copies),
                Load::Unload(function) => self.unload(link.worker, &function),
                Load::Probe(serial) => self.probe(link.worker, serial),
                Load::GiveUp(_) => {}
            }
        }
    }

    pub fn tidy_links(&mut self, now: f64) {
        let idle = |l: &Link| l.open.is_empty() && l.waiting.is_empty() && self.keeping.idle(now, l.used);
        let idle: Vec<_> = self.links.iter().filter(|(_, l)| idle(l)).map(|(key, _)| key).collect();
        for key in idle {
            self.remove(key);
        }
    }
}

#[cfg(test)]
mod tests;
