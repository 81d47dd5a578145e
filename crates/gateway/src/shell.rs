//! The shell around the desk: it tells the desk what happens on the true clock and carries out its acts.

use crate::desk::{Act, Desk, Tag};
use crate::pool::{self, Connection, Pool};
use crate::{follow, shot};
use bytes::Bytes;
use http::HeaderMap;
use milletpath_charter::{Bounds, House, Source};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, spawn_local};

/// The final answer of an activation, on its way to the client.
pub enum Reply {
    Handled(http::response::Parts, Bytes, Held),
    Bounced(Option<f64>),
    Terminated {
        late: bool,
    },
    /// The worker's answer is larger than may be passed on; it has run.
    TooLarge,
}

/// What the shell keeps of a call while it is in hand.
pub struct Waiting {
    pub answer: Option<oneshot::Sender<Reply>>,
    pub headers: HeaderMap,
    pub body: Bytes,
    shots: Vec<AbortHandle>,
}

impl Waiting {
    pub fn new(answer: oneshot::Sender<Reply>, headers: HeaderMap, body: Bytes) -> Self {
        Self { answer: Some(answer), headers, body, shots: Vec::new() }
    }
}

/// Bytes in hand, given back when dropped.
pub struct Held {
    bytes: usize,
    all: Rc<Cell<usize>>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.bytes);
    }
}

/// Seconds between two looks at whether this thread runs.
const PULSE: f64 = 0.05;

/// A thread not seen for so long stood still: several pulses, as a busy machine keeps one waiting now and then.
const STILL: f64 = 0.15;

pub struct Gateway {
    began: Instant,
    desk: RefCell<Desk<Waiting>>,
    pools: RefCell<Vec<Pool>>,
    pub house: House,
    held: Rc<Cell<usize>>,
    /// The time for which the clock is set.
    armed: Cell<f64>,
    earlier: Notify,
    following: RefCell<Option<AbortHandle>>,
    /// When this thread was last seen to run, and who waits for it to be so again.
    seen: Cell<f64>,
    /// The last standstill: since when, and until when.
    stood: Cell<(f64, f64)>,
    moves: Notify,
    /// Told apart in logs and ids from other gateways and earlier lives.
    pub life: u32,
}

impl Gateway {
    /// Must run within a `LocalSet`; [`keep_time`](Self::keep_time) drives it.
    pub fn new(house: House) -> Rc<Self> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let gateway = Rc::new(Self {
            began: Instant::now(),
            desk: RefCell::new(Desk::new(&house, unix.as_secs_f64())),
            pools: RefCell::default(),
            held: Rc::default(),
            armed: Cell::new(f64::INFINITY),
            earlier: Notify::new(),
            following: RefCell::default(),
            seen: Cell::new(0.0),
            stood: Cell::new((0.0, 0.0)),
            moves: Notify::new(),
            life: unix.subsec_nanos() ^ std::process::id().rotate_left(16) ^ unix.as_secs() as u32,
            house,
        });
        match gateway.house.source.clone() {
            Source::List(entries) => gateway.tell(|desk, now| desk.list(now, true, &entries)),
            Source::Registry(_) => gateway.carry_out(),
        }
        gateway
    }

    pub fn bounds(&self) -> &Bounds {
        &self.house.bounds
    }

    /// Seconds on the true clock since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Since when a request that is read now may have waited unread: now, unless the process stood still lately.
    pub fn since(&self) -> f64 {
        /// What came during a standstill is read about so many times as fast as it came.
        const CATCH_UP: f64 = 4.0;
        let now = self.now();
        if now - self.seen.get() > STILL {
            return self.seen.get();
        }
        let (from, to) = self.stood.get();
        now.min(from + CATCH_UP * (now - to))
    }

    /// Waits, after the process stood still, until what came meanwhile has been read: the list may say that a
    /// worker drains, and clients may have left.
    pub async fn awake(&self) {
        while self.now() - self.seen.get() > STILL {
            self.moves.notified().await;
        }
    }

    /// Tells the desk something and carries out what follows.
    pub fn tell<R>(self: &Rc<Self>, what: impl FnOnce(&mut Desk<Waiting>, f64) -> R) -> R {
        /// Seconds past which one event's decisions are worth a line in the log.
        const SLOW: f64 = 0.02;
        let began = self.now();
        let result = what(&mut self.desk.borrow_mut(), began);
        self.carry_out();
        let took = self.now() - began;
        if took > SLOW {
            let (open, functions) = self.ask(|desk| (desk.open(), desk.functions()));
            tracing::warn!(seconds = took, open, functions, "one event took long to decide");
        }
        result
    }

    /// Looks something up at the desk.
    pub fn ask<R>(&self, what: impl FnOnce(&mut Desk<Waiting>) -> R) -> R {
        what(&mut self.desk.borrow_mut())
    }

    fn carry_out(self: &Rc<Self>) {
        loop {
            let Some(act) = self.desk.borrow_mut().act() else { break };
            match act {
                Act::Shoot { tag, shot, worker } => {
                    let task = spawn_local(shot::activation(self.clone(), tag, shot, worker));
                    if let Some(waiting) = self.desk.borrow_mut().what(tag) {
                        waiting.shots.push(task.abort_handle());
                    }
                }
                Act::Drop { tag, shot } => {
                    if let Some(waiting) = self.desk.borrow_mut().what(tag) {
                        waiting.shots[shot].abort();
                    }
                }
                Act::Bounce { tag, come_back } => self.reply(tag, Reply::Bounced(come_back)),
                Act::Terminate { tag, late } => self.reply(tag, Reply::Terminated { late }),
                Act::Hold { order, worker, function, copies } => {
                    spawn_local(shot::hold(self.clone(), order, worker, function, copies));
                }
                Act::Unload { worker, function } => {
                    spawn_local(shot::unload(self.clone(), worker, function));
                }
                Act::Probe { worker, serial } => {
                    spawn_local(shot::probe(self.clone(), worker, serial));
                }
                Act::Follow => {
                    if let Source::Registry(address) = self.house.source {
                        let task = spawn_local(follow::follow(self.clone(), address)).abort_handle();
                        if let Some(before) = self.following.replace(Some(task)) {
                            before.abort();
                        }
                    }
                }
            }
        }
        let next = self.desk.borrow().next().unwrap_or(f64::INFINITY);
        if next < self.armed.get() {
            self.armed.set(next);
            self.earlier.notify_one();
        }
    }

    /// Gives a client its final answer.
    pub fn reply(&self, tag: Tag, reply: Reply) {
        let answer = self.ask(|desk| desk.what(tag).and_then(|w| w.answer.take()));
        if let Some(answer) = answer {
            // A client that left in this very moment has nobody to take it.
            let _ = answer.send(reply);
        }
    }

    /// Counts bytes as in hand; none where the bound on all together is reached.
    pub fn hold(&self, bytes: usize) -> Option<Held> {
        let all = self.held.get() + bytes;
        (all <= self.bounds().held).then(|| {
            self.held.set(all);
            Held { bytes, all: self.held.clone() }
        })
    }

    /// Lets the desk's timers fire, and closes connections that nobody uses. Runs for as long as the gateway.
    pub async fn keep_time(self: Rc<Self>) {
        /// Seconds between two looks for idle connections: short against the time they may be idle.
        const LOOK: f64 = 1.0;
        /// Seconds after a standstill within which all that came meanwhile is read.
        const READ: Duration = Duration::from_millis(5);
        let mut look = LOOK;
        loop {
            let next = self.desk.borrow().next().unwrap_or(f64::INFINITY).min(self.now() + PULSE);
            self.armed.set(next);
            let wait = Duration::from_secs_f64((next - self.now()).max(0.0));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.earlier.notified() => {}
            }
            let still = self.now() - self.seen.get();
            if still > STILL {
                tracing::warn!(seconds = still, "the process stood still");
                self.stood.set((self.seen.get(), self.now()));
                tokio::time::sleep(READ).await;
            }
            self.seen.set(self.now());
            self.moves.notify_waiters();
            self.tell(|desk, now| desk.turn(now));
            if self.now() >= look {
                look = self.now() + LOOK;
                let since = self.now() - self.bounds().idle;
                self.pools.borrow_mut().iter_mut().for_each(|p| p.close_idle(since));
            }
        }
    }

    /// A kept connection to a worker.
    pub fn kept(&self, worker: usize) -> Option<Connection> {
        let (_, process) = self.desk.borrow().address(worker);
        self.pool(worker, |pool| pool.take(process))
    }

    /// A new connection to a worker; none where it has all that it may have.
    pub async fn connect(&self, worker: usize) -> Option<std::io::Result<Connection>> {
        let (address, process) = self.desk.borrow().address(worker);
        let place = self.pool(worker, |pool| pool.reserve(self.bounds().per_worker))?;
        Some(pool::connect(place, address, process).await)
    }

    pub fn give_back(&self, worker: usize, connection: Connection) {
        let now = self.now();
        self.pool(worker, |pool| pool.give_back(now, connection));
    }

    fn pool<R>(&self, worker: usize, f: impl FnOnce(&mut Pool) -> R) -> R {
        let mut pools = self.pools.borrow_mut();
        if pools.len() <= worker {
            pools.resize_with(worker + 1, Pool::default);
        }
        f(&mut pools[worker])
    }
}
