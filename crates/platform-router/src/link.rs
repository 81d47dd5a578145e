//! Links to workers: connections that carry many shots, orders and probes at a time. A frame waits here until its
//! first byte can go; only then the desk is asked whether it still may, so that what is withdrawn before was never
//! sent. What can't be read ends its connection and all that was open on it.

use crate::outbox::{KEPT, Look, Outbox, look};
use crate::room::Holds;
use crate::station::{Asker, Shared, Station};
use milletpath_dispatcher::dispatcher::{AttemptResult, RequestId};
use milletpath_platform_protocol::{frames, lines};
use milletpath_policy::host::Outcome;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
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
}

impl Link {
    fn new(worker: usize, process: u64, holds: Holds, now: f64) -> Self {
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

/// Whether a connection could not be made for want of something of our own: it says nothing about the worker.
fn own_fault(error: &std::io::Error) -> bool {
    use nix::errno::Errno::{EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    let own = [EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL];
    error.raw_os_error().is_some_and(|raw| own.iter().any(|errno| *errno as i32 == raw))
}

async fn hold_link(station: Shared, key: usize, address: SocketAddr, wake: Rc<Notify>, connect: f64) {
    let connecting = async {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_nodelay(true)?;
        socket.connect(address).await
    };
    let connected = tokio::select! {
        connected = tokio::time::timeout(Duration::from_secs_f64(connect), connecting) => connected,
        // Before it stands it is woken only where it was removed: its descriptor is wanted for another.
        () = wake.notified() => return,
    };
    let connected = connected.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
    let stream = match connected {
        Ok(stream) => Rc::new(stream),
        Err(e) => {
            let outcome = if own_fault(&e) { Outcome::Unsent } else { Outcome::Unreached };
            let mut s = station.borrow_mut();
            if s.links.get(key).is_some_and(|l| Rc::ptr_eq(&l.wake, &wake)) {
                s.unreached(key, &e.to_string(), outcome);
                s.carry_out();
            }
            return;
        }
    };
    {
        let mut s = station.borrow_mut();
        match s.links.get_mut(key).filter(|l| Rc::ptr_eq(&l.wake, &wake)) {
            Some(link) => link.stream = Some(stream.clone()),
            None => return,
        }
        s.link_writes(key);
        s.carry_out();
    }
    loop {
        let writes = match station.borrow().links.get(key).filter(|l| Rc::ptr_eq(&l.wake, &wake)) {
            Some(link) => link.out.left() > 0 || !link.waiting.is_empty(),
            None => return,
        };
        tokio::select! {
            _ = stream.readable() => station.borrow_mut().link_reads(key),
            _ = stream.writable(), if writes => {
                let mut s = station.borrow_mut();
                s.link_writes(key);
                s.carry_out();
            }
            () = wake.notified() => {}
        }
    }
}

impl Station {
    /// The link on which one more frame for a worker goes; a new one where that is wanted.
    fn link(&mut self, worker: usize, id: Option<u64>) -> usize {
        let (address, process) = self.desk.address(worker);
        let known = self.reach.get(&worker).into_iter().flatten();
        // What went to an earlier process of the name is not for this one; and two shots of an activation bear the
        // same id, by which their answers could not be told apart.
        let fits = |key: &&usize| {
            self.links[**key].process == process && id.is_none_or(|id| !self.links[**key].bears(id))
        };
        let fit: Vec<usize> = known.filter(fits).copied().collect();
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
        let link = Link::new(worker, process, self.room.holds(0), now);
        let wake = link.wake.clone();
        let key = self.links.insert(link);
        self.reach.entry(worker).or_default().push(key);
        if let Some(station) = self.me.upgrade() {
            spawn_local(hold_link(station, key, address, wake, self.connect));
        }
        key
    }

    fn load(&mut self, key: usize, load: Load) {
        let now = self.now();
        let link = &mut self.links[key];
        link.used = now;
        link.waiting.push_back(load);
        self.link_writes(key);
    }

    pub fn shoot(&mut self, tag: RequestId, shot: usize, worker: usize) {
        let Some(id) = self.desk.what(tag).map(|a| a.id) else { return };
        let key = self.link(worker, Some(id));
        if let Some(asker) = self.desk.what(tag) {
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
        let Some(key) = self.desk.what(tag).and_then(|a| a.at.get(shot).copied()) else { return };
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

    /// Writes what waits for a worker, as far as the socket takes it: frame by frame, so that what is withdrawn before
    /// its first byte has gone is not sent, however long the worker takes nothing.
    pub fn link_writes(&mut self, key: usize) {
        loop {
            let now = self.now();
            let Some(link) = self.links.get_mut(key) else { return };
            let Some(stream) = link.stream.clone() else { return };
            match link.out.write(&stream) {
                Ok(0) => {}
                Ok(n) => {
                    link.written += n as u64;
                    link.used = now;
                }
                Err(e) => return self.broken(key, &e.to_string()),
            }
            if link.out.left() > 0 {
                link.wake.notify_one();
                return self.take_back(key, now);
            }
            link.made_of = None;
            if link.waiting.is_empty() {
                return;
            }
            // Written into a connection that its worker has closed, a shot would count as one that may have run.
            if link.closed() {
                return self.broken(key, "it was closed");
            }
            if let Some(load) = link.waiting.pop_front()
                && !self.make(key, load, now)
            {
                return;
            }
        }
    }

    /// A frame of which no byte has gone was never begun: it waits again, to be asked about anew.
    fn take_back(&mut self, key: usize, now: f64) {
        let Some(link) = self.links.get_mut(key).filter(|l| !l.out.begun()) else { return };
        let Some(load) = link.made_of.take() else { return };
        let made = link.out.left() as u64;
        link.out.bytes.clear();
        link.made -= made;
        if load.awaits().is_some() {
            link.open.pop();
        }
        match load {
            Load::Shot(tag, shot) => {
                link.waiting.push_front(load);
                self.desk.put_back(now, tag, shot);
            }
            // It has its place in the ration: given again it would have two.
            Load::Hold(order, ..) => self.desk.order_ended(now, order, Outcome::Unsent, 0),
            Load::Unload(_) | Load::Probe(_) | Load::GiveUp(_) => link.waiting.push_front(load),
        }
    }

    /// Makes the frame of something whose turn has come, if it still may go. False where it waits for a look at what
    /// its client has said meanwhile.
    fn make(&mut self, key: usize, load: Load, now: f64) -> bool {
        let (worker, process) = (self.links[key].worker, self.links[key].process);
        if let Some(what) = load.awaits().filter(|_| self.desk.address(worker).1 != process) {
            // Another process has the worker's name by now; what was meant for that one was not meant for this.
            self.unanswered(worker, what, Outcome::Unsent);
            return true;
        }
        if let Load::Shot(tag, _) = load
            && !self.looked_at(tag, key, now)
        {
            self.links[key].waiting.push_front(load);
            return false;
        }
        let mut out = std::mem::take(&mut self.links[key].out.bytes);
        let open = match &load {
            Load::Shot(tag, shot) => self.make_shot(&mut out, *tag, *shot, now),
            Load::Hold(order, function, copies) => self.desk.begin_order(now, *order).then(|| {
                let id = self.own_id(key);
                frames::hold(&mut out, id, function, *copies);
                (id, Sent::Order(*order))
            }),
            Load::Unload(function) => {
                if let Some(id) = milletpath_platform_protocol::hex(function) {
                    frames::unload(&mut out, id);
                }
                None
            }
            Load::Probe(serial) => {
                let id = self.own_id(key);
                frames::probe(&mut out, id, self.reports);
                Some((id, Sent::Probe(*serial)))
            }
            Load::GiveUp(id) => {
                frames::give_up(&mut out, *id);
                None
            }
        };
        let Some(link) = self.links.get_mut(key) else { return false };
        link.made += out.len() as u64;
        link.made_of = (!out.is_empty()).then_some(load);
        link.out.bytes = out;
        if let Some((id, what)) = open {
            let whole = link.made;
            link.open.push(Open { id, what, whole, at: now });
        }
        true
    }

    /// The id of a frame of our own, which no client is likely to have chosen, and none has open here.
    fn own_id(&mut self, key: usize) -> u64 {
        loop {
            self.serial += 1;
            // An odd multiplier spreads them over all numbers, so that none follows from another by chance.
            let id = self.serial.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            if !self.links[key].bears(id) {
                return id;
            }
        }
    }

    fn make_shot(&mut self, out: &mut Vec<u8>, tag: RequestId, shot: usize, now: f64) -> Option<(u64, Sent)> {
        let left = self.desk.left_for(now, tag, shot)?;
        if !self.desk.begin(now, tag, shot) {
            return None;
        }
        let function = self.desk.function(tag)?;
        let asker = self.desk.what(tag)?;
        asker.begun = now;
        let Asker { id, mark, body, .. } = &*asker;
        let profile = &self.profiles[asker.profile];
        frames::shot(out, &frames::Shot { id: *id, profile, function: &function, mark, body }, left);
        Some((asker.id, Sent::Shot(tag, shot)))
    }

    pub fn link_reads(&mut self, key: usize) {
        let Some(stream) = self.links.get(key).and_then(|l| l.stream.clone()) else { return };
        self.read(&stream, |station, read| match read {
            Ok(bytes) => station.heard(key, bytes),
            Err(why) => station.broken(key, &why),
        });
        self.carry_out();
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
                Ok(Some((answer, took))) => {
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
            return self.broken(key, &wrong);
        }
        let rest = rest.to_vec();
        if let Some(link) = self.links.get_mut(key) {
            (link.used, link.heard) = (now, now);
            link.buf = rest;
            link.holds.now(link.buf.capacity());
            if link.buf.len() > KEPT && self.room.full() {
                self.broken(key, "its answer finds no memory");
            }
        }
    }

    /// One sound answer. An unknown id is passed over: a second copy, or the answer to what was given up.
    fn answered(&mut self, key: usize, answer: frames::Answer<'_>, now: f64) -> Result<(), &'static str> {
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
                    company: answer.company,
                    report: answer.report,
                    settles: false,
                };
                if self.desk.end(now, tag, shot, end) {
                    self.answer(tag, |out, number| lines::handled(out, number, answer.body));
                }
            }
            Sent::Order(order) => self.desk.order_ended(now, order, answer.outcome, answer.copies),
            Sent::Probe(serial) => self.desk.probed(now, worker, serial, answer.outcome, answer.report),
        }
        Ok(())
    }

    /// Where the time of an answer went.
    fn log_answer(&mut self, worker: usize, tag: RequestId, answer: &frames::Answer<'_>, now: f64) {
        let function = self.desk.function(tag);
        let Some(asker) = self.desk.what(tag) else { return };
        let (function, shots) = (function.as_deref().unwrap_or_default(), asker.at.len());
        let (waited, there) = (asker.begun - asker.came, now - asker.begun);
        let (company, outcome) = (answer.company, answer.outcome);
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
                self.desk.end(now, tag, shot, AttemptResult::plain(outcome));
            }
            Sent::Order(order) => self.desk.order_ended(now, order, outcome, 0),
            Sent::Probe(serial) => self.desk.probed(now, worker, serial, outcome, None),
        }
    }

    /// A connection broke or is of no more use: what was written whole may have run; the rest did not, and what
    /// waited goes on another, unless this one broke before it took anything: the next would as well.
    fn broken(&mut self, key: usize, why: &str) {
        if self.links.get(key).is_some_and(|l| l.written == 0) {
            return self.unreached(key, why, Outcome::Unreached);
        }
        let Some(link) = self.remove(key) else { return };
        tracing::debug!(worker = link.worker, why, open = link.open.len(), "a connection to a worker ended");
        for open in link.open {
            let outcome = if link.written >= open.whole { Outcome::Cut } else { Outcome::Unreached };
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
