//! The shell of one core: its calls, its connections to workers, and the errands that the desk has for it.

use crate::answer::{Held, Reply};
use crate::line::Line;
use crate::pool::{self, Connection, Pool, Way};
use crate::shared_runtime::{CoreMessage, Place, SharedRuntime};
use bytes::Bytes;
use http::HeaderMap;
use milletpath_config::{GatewayConfig, Limits};
use milletpath_dispatcher::dispatcher::{Dispatcher, RequestId};
use milletpath_multicore::watch::STILL;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::AbortHandle;

/// What the shell keeps of a call while it is in hand.
pub struct Waiting {
    answer: Option<oneshot::Sender<Reply>>,
    line: Arc<Line>,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub shots: Vec<AbortHandle>,
    /// Nobody waits for what is out when the call is let go of.
    cancels: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.cancels {
            self.shots.iter().for_each(AbortHandle::abort);
        }
    }
}

/// Seconds between two looks at whether this thread runs.
pub const PULSE: f64 = 0.05;

/// Carries out what the desk has for a core.
pub type Carry = fn(&Rc<Gateway>, CoreMessage);

pub struct Gateway {
    pub shared_runtime: Arc<SharedRuntime>,
    carry: Carry,
    pub seat: usize,
    /// Which of the lives of its seat this is.
    life: u32,
    slots: RefCell<Slab<Waiting>>,
    pools: RefCell<Vec<Pool>>,
    following: RefCell<Option<AbortHandle>>,
    /// When this thread was last seen to run, and who waits for it to be so again.
    seen: Cell<f64>,
    /// The last standstill: since when, and until when.
    stood: Cell<(f64, f64)>,
    moves: Notify,
    /// Told to the client connections of this core.
    stopping: watch::Sender<bool>,
}

impl Gateway {
    /// Must run within a `LocalSet`.
    pub fn new(shared_runtime: Arc<SharedRuntime>, seat: usize, life: u32, carry: Carry) -> Rc<Self> {
        Rc::new(Self {
            carry,
            seen: Cell::new(shared_runtime.now()),
            shared_runtime,
            seat,
            life,
            slots: RefCell::default(),
            pools: RefCell::default(),
            following: RefCell::default(),
            stood: Cell::new((0.0, 0.0)),
            moves: Notify::new(),
            stopping: watch::Sender::new(false),
        })
    }

    pub fn house(&self) -> &GatewayConfig {
        &self.shared_runtime.config
    }

    pub fn bounds(&self) -> &Limits {
        &self.shared_runtime.config.limits
    }

    /// Seconds on the true clock since the start.
    pub fn now(&self) -> f64 {
        self.shared_runtime.now()
    }

    /// Since when a request that is read now may have waited unread: now, unless this thread stood still lately.
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

    /// Waits, after this thread or the keeper stood still, until what came meanwhile has been read: the list may
    /// say that a worker drains, and clients may have left.
    pub async fn awake(&self) {
        let still = |since: f64| self.now() - since > STILL;
        while still(self.seen.get()) || still(self.shared_runtime.keeper().pulse.seen()) {
            self.moves.notified().await;
        }
    }

    /// Tells the desk something and carries out what follows.
    pub fn tell<R>(self: &Rc<Self>, what: impl FnOnce(&mut Dispatcher<Place>, f64) -> R) -> R {
        let result = self.shared_runtime.with_dispatcher(Some(self.seat), what);
        self.collect();
        result
    }

    /// Carries out what lies in the mailbox, unless that is another's by now.
    pub fn collect(self: &Rc<Self>) {
        if self.shared_runtime.core_slots[self.seat].pulse.life() != self.life {
            return;
        }
        for errand in self.shared_runtime.core_slots[self.seat].mail.take() {
            self.carry_out(errand);
        }
    }

    pub fn carry_out(self: &Rc<Self>, errand: CoreMessage) {
        (self.carry)(self, errand);
    }

    /// What is kept of the call in a slot, unless it was let go of meanwhile: the desk has booked the ends of its shots
    /// with its own then.
    pub fn waiting<R>(&self, tag: RequestId, slot: usize, what: impl FnOnce(&mut Waiting) -> R) -> Option<R> {
        self.slots.borrow_mut().get_mut(slot).filter(|w| w.line.owes(tag)).map(what)
    }

    /// The worker list is followed by this task, and no longer by the one before.
    pub fn follows(&self, task: AbortHandle) {
        if let Some(before) = self.following.replace(Some(task)) {
            before.abort();
        }
    }

    /// Closes an idle connection to a worker, for another core that has need of its place.
    pub fn spare(&self, worker: usize) {
        self.pool(worker, Pool::spare);
    }

    /// Keeps what the shell has of a call; gives its slot.
    pub fn keep(
        &self,
        line: Arc<Line>,
        headers: HeaderMap,
        body: Bytes,
    ) -> (usize, oneshot::Receiver<Reply>) {
        let (sender, receiver) = oneshot::channel();
        let cancels = self.house().policy.cancels;
        let waiting = Waiting { answer: Some(sender), line, headers, body, shots: Vec::new(), cancels };
        (self.slots.borrow_mut().insert(waiting), receiver)
    }

    pub fn let_go(&self, slot: usize) {
        // Borrowed where a panic unwinds through it: then the whole shell goes.
        let waiting = self.slots.try_borrow_mut().ok().and_then(|mut slots| slots.try_remove(slot));
        drop(waiting);
    }

    /// Nothing new is taken from here on.
    pub fn stop(&self) {
        self.stopping.send_if_modified(|stopping| !std::mem::replace(stopping, true));
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Gives a client its final answer. A slot that went to another call meanwhile has another line.
    pub fn reply(&self, slot: usize, line: &Arc<Line>, reply: Reply) {
        let mut slots = self.slots.borrow_mut();
        let waiting = slots.get_mut(slot).filter(|w| Arc::ptr_eq(&w.line, line));
        if let Some(answer) = waiting.and_then(|w| w.answer.take()) {
            // A client that left in this very moment has nobody to take it.
            let _ = answer.send(reply);
        }
    }

    /// The same by the number of the call.
    pub fn reply_to(&self, tag: RequestId, slot: usize, reply: Reply) {
        let line = self.slots.borrow().get(slot).filter(|w| w.line.owes(tag)).map(|w| w.line.clone());
        if let Some(line) = line {
            self.reply(slot, &line, reply);
        }
    }

    /// Counts bytes as in hand; none where the bound on all together is reached.
    pub fn hold(&self, bytes: usize) -> Option<Held> {
        Held::take(&self.shared_runtime.held, bytes)
    }

    /// This thread runs; false where another has taken its seat.
    pub async fn beat(&self) -> bool {
        /// After a standstill, within which all that came meanwhile is read.
        const READ: Duration = Duration::from_millis(5);
        let still = self.now() - self.seen.get();
        if still > STILL {
            tracing::warn!(seconds = still, seat = self.seat, "this thread stood still");
            self.stood.set((self.seen.get(), self.now()));
            // Where another core has answered meanwhile, nobody waits any more.
            self.slots
                .borrow_mut()
                .iter_mut()
                .filter(|(_, w)| w.line.claim.spoken())
                .for_each(|(_, w)| w.answer = None);
            tokio::time::sleep(READ).await;
        }
        self.seen.set(self.now());
        let lives = self.shared_runtime.core_slots[self.seat].pulse.beat(self.life, self.now());
        self.moves.notify_waiters();
        lives
    }

    /// When this thread was last seen to run.
    pub fn seen(&self) -> f64 {
        self.seen.get()
    }

    /// How long this thread stood still when it last did, and until when.
    pub fn stood(&self) -> (f64, f64) {
        self.stood.get()
    }

    pub fn close_idle(&self) {
        let since = self.now() - self.bounds().idle_timeout;
        self.pools.borrow_mut().iter_mut().for_each(|p| p.close_idle(since));
    }

    /// A kept connection to a worker.
    pub fn kept(&self, worker: usize, way: Way) -> Option<Connection> {
        self.pool(worker, |pool| pool.take(way.process))
    }

    /// A new connection to a worker; none where it has all that it may have, and no core has one to spare.
    pub async fn connect(&self, worker: usize, way: Way) -> Option<std::io::Result<Connection>> {
        /// What another core takes to close an idle connection, with room for a busy one.
        const SPARE: Duration = Duration::from_millis(20);
        let room = self.shared_runtime.room(way.address);
        let place = match room.reserve() {
            Some(place) => place,
            None => {
                for seat in (0..self.shared_runtime.core_slots.len()).filter(|s| *s != self.seat) {
                    self.shared_runtime.send(seat, CoreMessage::Spare { worker });
                }
                let _ = tokio::time::timeout(SPARE, room.freed.notified()).await;
                room.reserve()?
            }
        };
        // Well before the connection counts as one that the worker did not give.
        let patience = Duration::from_secs_f64(self.bounds().connect_timeout / 2.0);
        Some(pool::connect(place, way, patience).await)
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
