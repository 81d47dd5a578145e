//! What all cores of the gateway share: the desk, which they enter in turn, a seat for each of them with its mailbox
//! and its pulse, and the bounds on all together. Whoever enters tells the desk one thing, on the true clock, and
//! posts what follows to the cores whose calls it is about, in the order in which the desk said it.

use crate::answer::Own;
use crate::line::Line;
use crate::pool::{Room, Way};
use milletpath_config::{FunctionConfig, GatewayConfig};
use milletpath_dispatcher::dispatcher::{
    Action, Counters, Dispatcher, InterruptedRequest, RequestId, WorkerProcess,
};
use milletpath_multicore::budget::Budget;
use milletpath_multicore::mail::Mailbox;
use milletpath_multicore::pulse::Pulse;
use milletpath_process_environment::wall_clock::unix_time;
use milletpath_protocol::registry::{Entry, Standing};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Notify;

/// Where the shell keeps the rest of a call.
pub struct Place {
    pub seat: usize,
    pub slot: usize,
    pub line: Arc<Line>,
}

/// A client connection's part of the bound on all; given back when dropped.
pub struct ConnectionPermit(pub Arc<SharedRuntime>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.guests.give_back(1);
        self.0.fewer.notify_one();
    }
}

/// What a core is to do, with all that it takes.
pub enum CoreMessage {
    /// A client's connection.
    Guest(std::net::TcpStream, ConnectionPermit),
    Shoot {
        tag: RequestId,
        slot: usize,
        shot: usize,
        worker: usize,
        way: Way,
        function: Arc<str>,
        /// Seconds that the shot has.
        left: f64,
    },
    Drop {
        tag: RequestId,
        slot: usize,
        shot: usize,
    },
    Answer {
        slot: usize,
        own: Own,
        line: Arc<Line>,
    },
    Hold {
        order: RequestId,
        worker: usize,
        way: Way,
        function: Arc<str>,
        copies: u8,
    },
    Unload {
        worker: usize,
        way: Way,
        function: Arc<str>,
    },
    Probe {
        worker: usize,
        way: Way,
        serial: u64,
    },
    Follow,
    /// Another core has need of a place among this worker's connections.
    Spare {
        worker: usize,
    },
    FaultInjection(FaultInjection),
}

/// Mischief for tests and days: what can go wrong with a core, on demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultInjection {
    /// The thread of a core does nothing for so many seconds.
    Stall(f64),
    /// The thread of a core ends by a panic.
    Panic,
    /// The decisions panic, in the hands of a core.
    Break,
}

/// One core as the others see it; on cache lines of its own, as each writes on its seat with every call.
#[repr(align(128))]
pub struct CoreSlot {
    pub mail: Mailbox<CoreMessage>,
    pub bell: Notify,
    pub pulse: Pulse,
    /// Client connections, and those of them that are open, by a number.
    pub lines: Mutex<BTreeMap<u64, Arc<Line>>>,
    pub open: AtomicUsize,
    pub calls: AtomicU64,
    /// Connections that it should send away, and the calls a second that one of them may have, as bits.
    pub away: AtomicUsize,
    pub away_most: AtomicU64,
}

impl CoreSlot {
    fn new(letters: usize) -> Self {
        Self {
            mail: Mailbox::new(letters),
            bell: Notify::new(),
            pulse: Pulse::new(0.0),
            lines: Mutex::default(),
            open: AtomicUsize::new(0),
            calls: AtomicU64::new(0),
            away: AtomicUsize::new(0),
            away_most: AtomicU64::new(0),
        }
    }

    /// Whether a connection that brings so many calls a second is one to send away now.
    pub fn sends_away(&self, rate: f64) -> bool {
        let fewer = |n: usize| n.checked_sub(1);
        self.away.load(Ordering::Relaxed) > 0
            && rate <= f64::from_bits(self.away_most.load(Ordering::Relaxed))
            && self.away.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fewer).is_ok()
    }

    pub fn lines(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Line>>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Inside {
    desk: Dispatcher<Place>,
    /// The list as it stands, for a desk that must begin anew.
    list: BTreeMap<String, Entry>,
    /// The time for which the keeper's clock is set.
    armed: f64,
}

pub struct SharedRuntime {
    began: Instant,
    pub config: GatewayConfig,
    inside: Mutex<Inside>,
    /// One for each core, and the last for the keeper.
    pub core_slots: Vec<CoreSlot>,
    /// Desks that broke, cores that were lost, and calls answered for cores that stood still.
    pub broken: AtomicU64,
    pub lost: AtomicU64,
    pub stood_in: AtomicU64,
    pub earlier: Notify,
    pub stopping: AtomicBool,
    /// Bytes in hand, and client connections.
    pub held: Arc<Budget>,
    pub guests: Budget,
    pub fewer: Notify,
    numbers: AtomicU64,
    rooms: Mutex<BTreeMap<SocketAddr, Arc<Room>>>,
    /// Told apart in logs and ids from other gateways and earlier lives.
    pub life: u32,
}

/// Seats at most: one bit each in the set of those to be woken.
pub const MOST_CORES: usize = 63;

impl SharedRuntime {
    pub fn new(config: GatewayConfig) -> Arc<Self> {
        let cores = config.limits.cores.clamp(1, MOST_CORES);
        // A call has few letters at a time: its shots, their ends and its answer; the rest is for orders and probes.
        let letters = config.limits.max_open_requests.saturating_mul(8).saturating_add(1 << 16);
        Arc::new(Self {
            began: Instant::now(),
            inside: Mutex::new(Inside {
                desk: Dispatcher::new(&config, unix_time()),
                list: BTreeMap::new(),
                armed: f64::INFINITY,
            }),
            core_slots: (0..=cores).map(|_| CoreSlot::new(letters)).collect(),
            broken: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            stood_in: AtomicU64::new(0),
            earlier: Notify::new(),
            stopping: AtomicBool::new(false),
            held: Arc::new(Budget::new(config.limits.max_buffered_bytes)),
            guests: Budget::new(config.limits.max_connections),
            fewer: Notify::new(),
            numbers: AtomicU64::new(0),
            rooms: Mutex::default(),
            life: RandomState::new().hash_one(std::process::id()) as u32,
            config,
        })
    }

    /// Cores; also the keeper's seat.
    pub fn cores(&self) -> usize {
        self.core_slots.len() - 1
    }

    pub fn keeper(&self) -> &CoreSlot {
        &self.core_slots[self.cores()]
    }

    /// Seconds on the true clock since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Enters the desk. One whose decisions broke is replaced by an empty one first.
    fn enter(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(|poisoned| {
            let mut inside = poisoned.into_inner();
            self.begin_anew(&mut inside);
            self.inside.clear_poison();
            inside
        })
    }

    fn begin_anew(&self, inside: &mut Inside) {
        let now = self.now();
        let open = inside.desk.restart(&self.config, now);
        self.broken.fetch_add(1, Ordering::Relaxed);
        tracing::error!(
            calls = open.len(),
            "the decisions broke; they begin anew, and open calls are answered"
        );
        let list: Vec<_> = inside.list.values().cloned().collect();
        if !list.is_empty() {
            inside.desk.update_endpoints(now, true, &list);
        }
        for InterruptedRequest { context: place, may_have_run: begun } in open {
            let own = Own::lost(begun);
            self.post(place.seat, CoreMessage::Answer { slot: place.slot, own, line: place.line });
            self.core_slots[place.seat].bell.notify_one();
        }
        inside.armed = f64::NEG_INFINITY;
        self.earlier.notify_one();
    }

    /// Tells the desk something at the present time; `seat` is the core that does. What follows is posted, and the
    /// other cores are woken for theirs.
    pub fn with_dispatcher<R>(
        &self,
        seat: Option<usize>,
        what: impl FnOnce(&mut Dispatcher<Place>, f64) -> R,
    ) -> R {
        /// Seconds past which one event's decisions are worth a line in the log.
        const SLOW: f64 = 0.02;
        let mut inside = self.enter();
        // Read inside: the desk's time never goes back, whichever core comes next.
        let now = self.now();
        let result = what(&mut inside.desk, now);
        let mut wake = 0u64;
        while let Some(act) = inside.desk.next_action() {
            if let Some((to, errand)) = self.errand(&mut inside.desk, seat, now, act) {
                wake |= u64::from(self.post(to, errand)) << to;
            }
        }
        let next = inside.desk.next_deadline().unwrap_or(f64::INFINITY);
        if next < inside.armed {
            inside.armed = next;
            self.earlier.notify_one();
        }
        let took = self.now() - now;
        if took > SLOW {
            let (open, functions) = (inside.desk.open_requests(), inside.desk.function_count());
            tracing::warn!(seconds = took, open, functions, "one event took long to decide");
        }
        drop(inside);
        for (n, other) in self.core_slots.iter().enumerate() {
            if wake >> n & 1 == 1 && seat != Some(n) {
                other.bell.notify_one();
            }
        }
        result
    }

    /// Posts an errand; true where its core must be woken. Called inside the desk, so that letters lie in the order
    /// of the desk's acts.
    fn post(&self, seat: usize, errand: CoreMessage) -> bool {
        self.core_slots[seat].mail.put(errand).unwrap_or_else(|_| {
            tracing::error!(seat, "a core's mailbox is full; what it was to do is left to its time limits");
            false
        })
    }

    /// Posts an errand that no event led to.
    pub fn send(&self, seat: usize, errand: CoreMessage) {
        if self.post(seat, errand) {
            self.core_slots[seat].bell.notify_one();
        }
    }

    /// Makes an act into an errand for a core: a call's own, and for the rest the one at the desk, or that to
    /// which the worker falls where the keeper is.
    fn errand(
        &self,
        desk: &mut Dispatcher<Place>,
        seat: Option<usize>,
        now: f64,
        act: Action,
    ) -> Option<(usize, CoreMessage)> {
        let here = |worker: usize| seat.filter(|s| *s < self.cores()).unwrap_or(worker % self.cores());
        let way = |desk: &Dispatcher<Place>, worker| {
            let WorkerProcess { address, process } = desk.worker_process(worker);
            Way { address, process }
        };
        let answer = |desk: &mut Dispatcher<Place>, tag, own| {
            let place = desk.context(tag)?;
            Some((place.seat, CoreMessage::Answer { slot: place.slot, own, line: place.line.clone() }))
        };
        match act {
            Action::SendAttempt { request: tag, attempt: shot, worker } => {
                let way = way(desk, worker);
                // None where it was called off in the same breath.
                let left = desk.time_left(now, tag, shot)?;
                let function = desk.function(tag)?;
                let place = desk.context(tag)?;
                let (seat, slot) = (place.seat, place.slot);
                Some((seat, CoreMessage::Shoot { tag, slot, shot, worker, way, function, left }))
            }
            Action::CancelAttempt { request: tag, attempt: shot } => {
                let place = desk.context(tag)?;
                Some((place.seat, CoreMessage::Drop { tag, slot: place.slot, shot }))
            }
            Action::Reject { request: tag, retry_after: come_back } => {
                answer(desk, tag, Own::Bounced(come_back))
            }
            Action::Fail { request: tag, timed_out: late } => answer(desk, tag, Own::Terminated { late }),
            Action::LoadFunction { load_request: order, worker, function, instances: copies } => Some((
                here(worker),
                CoreMessage::Hold { order, worker, way: way(desk, worker), function, copies },
            )),
            Action::UnloadFunction { worker, function } => {
                Some((here(worker), CoreMessage::Unload { worker, way: way(desk, worker), function }))
            }
            Action::HealthCheck { worker, serial } => {
                Some((here(worker), CoreMessage::Probe { worker, way: way(desk, worker), serial }))
            }
            Action::WatchEndpoints => Some((self.cores(), CoreMessage::Follow)),
        }
    }

    /// Looks something up at the desk.
    pub fn query_dispatcher<R>(&self, what: impl FnOnce(&mut Dispatcher<Place>) -> R) -> R {
        what(&mut self.enter().desk)
    }

    /// The figures of a function, as they are in force. Where no change can come the desk is not entered.
    pub fn figures(&self, function: &str) -> FunctionConfig {
        match &self.config.config_log {
            None => self.config.functions.resolve(function),
            Some(_) => self.query_dispatcher(|desk| desk.function_config(function)),
        }
    }

    /// Passes on one edition of the worker list, and keeps what it says.
    pub fn update_endpoints(&self, seat: Option<usize>, whole: bool, entries: &[Entry]) {
        {
            let mut inside = self.enter();
            if whole {
                inside.list.clear();
            }
            for entry in entries {
                if entry.state == Standing::Gone {
                    inside.list.remove(&entry.name);
                } else {
                    inside.list.insert(entry.name.clone(), entry.clone());
                }
            }
        }
        self.with_dispatcher(seat, |desk, now| {
            desk.wall_clock_read(now, unix_time());
            desk.update_endpoints(now, whole, entries);
        });
    }

    /// Ends the calls of a core that is lost; gives their lines, and whether something of them may have run.
    pub fn abandon(&self, seat: usize) -> Vec<(Arc<Line>, bool)> {
        self.with_dispatcher(None, |desk, now| {
            let tags = desk.requests(|place| place.seat == seat);
            let end = |tag| {
                let line = desk.context(tag)?.line.clone();
                Some((line, desk.client_gone(now, tag)))
            };
            tags.into_iter().filter_map(end).collect()
        })
    }

    /// Sets the keeper's clock for what is due next, at most `most`.
    pub fn arm(&self, most: f64) -> f64 {
        let mut inside = self.enter();
        inside.armed = inside.desk.next_deadline().unwrap_or(f64::INFINITY).min(most);
        inside.armed
    }

    /// Whether something is due for so long that the keeper must be standing still.
    pub fn overdue(&self, by: f64) -> bool {
        let now = self.now();
        self.query_dispatcher(|desk| desk.next_deadline()).is_some_and(|next| next < now - by)
    }

    pub fn counters(&self) -> Counters {
        self.query_dispatcher(|desk| desk.counters())
    }

    /// The connections of a worker, over all cores.
    pub fn room(&self, address: SocketAddr) -> Arc<Room> {
        let mut rooms = self.rooms.lock().unwrap_or_else(PoisonError::into_inner);
        rooms
            .entry(address)
            .or_insert_with(|| Arc::new(Room::new(self.config.limits.max_connections_per_worker)))
            .clone()
    }

    /// Forgets the rooms that no connection is in.
    pub fn clear_rooms(&self) {
        let mut rooms = self.rooms.lock().unwrap_or_else(PoisonError::into_inner);
        rooms.retain(|_, room| Arc::strong_count(room) > 1);
    }
}
