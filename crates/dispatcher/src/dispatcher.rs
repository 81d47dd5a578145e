//! The desk: all that the gateway knows of calls, shots, orders, probes and workers, around the decisions and free
//! of sockets and clocks. It is told what happened, at which time, and says what to do next as [`Action`]s; a shell
//! with connections carries them out, in service on sockets, in the laboratory in simulated time. Each method may
//! leave acts behind: take them with [`Dispatcher::act`] until there are none.

use crate::interner::Interner;
use crate::load_rate_limit::LoadRateLimit;
use crate::start_times::StartTimes;
use crate::timer_wheel::{TimerKey, TimerWheel};
use crate::worker_table::WorkerTable;
use milletpath_config::{
    ConfigChange, FunctionConfig, FunctionConfigs, GatewayConfig, Limits, ProfileConfig,
};
use milletpath_policy::host::{Answer, Arrival, Budget, Found, Host, Outcome, Report};
use milletpath_policy::policy::Router;
use milletpath_protocol::registry::Entry;
use milletpath_shared_budgets::{QuotaAdjustment, UsageMeter};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Names an activation: its index is used again, its serial number never.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId {
    pub index: usize,
    pub serial: u64,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Get a connection to the worker, ask [`Dispatcher::begin`] whether it still goes, and send.
    Shoot {
        tag: RequestId,
        shot: usize,
        worker: usize,
    },
    /// The shot's end is booked: close its connection, nobody waits for it.
    Drop {
        tag: RequestId,
        shot: usize,
    },
    /// Final answer: not taken, trying again does no harm.
    Bounce {
        tag: RequestId,
        come_back: Option<f64>,
    },
    /// Final answer: failed, no promise. `late` where time ran out rather than a worker failed.
    Terminate {
        tag: RequestId,
        late: bool,
    },
    /// Order instances; 0 only asks.
    Hold {
        order: RequestId,
        worker: usize,
        function: Arc<str>,
        copies: u8,
    },
    Unload {
        worker: usize,
        function: Arc<str>,
    },
    Probe {
        worker: usize,
        serial: u64,
    },
    /// Ask the registry for the list and its changes.
    Follow,
}

/// How a shot ended, as the shell saw it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub found: Option<Found>,
    pub company: f64,
    pub report: Option<Report>,
    /// The client gets a final answer of the shell's own making, whatever the outcome.
    pub settles: bool,
}

impl AttemptResult {
    pub fn plain(outcome: Outcome) -> Self {
        Self { outcome, found: None, company: 0.0, report: None, settles: false }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Connecting,
    Begun,
    Over,
}

struct Shot {
    worker: usize,
    sent: f64,
    until: f64,
    stage: Stage,
    /// The timer of its end, and that of its connection.
    ends: TimerKey,
    connects: TimerKey,
}

struct Call<T> {
    serial: u64,
    function: usize,
    /// When the client gives up.
    until: f64,
    /// The final answer is owed.
    open: bool,
    shots: Vec<Shot>,
    /// A shot ended for want of time.
    late: bool,
    /// A shot was sent: something of it may have run.
    begun: bool,
    what: T,
}

struct Order {
    serial: u64,
    worker: usize,
    function: usize,
    ends: TimerKey,
}

enum Due {
    Wake,
    Shot(RequestId, usize),
    Connect(RequestId, usize),
    Order(RequestId),
    Probe(usize, u64),
}

/// Counts since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub taken: u64,
    pub handled: u64,
    pub bounced: u64,
    pub terminated: u64,
    /// Clients that left before their answer.
    pub left: u64,
    pub shots: u64,
    pub orders: u64,
    pub probes: u64,
    /// Shots and orders that were called off when they were about to be sent, because of what the list had said.
    pub kept_back: u64,
}

/// What gateways that know of each other say: how many there likely are, and this one's part of what all share, as a
/// multiple of what it has by its charter, until then on the desk's clock, and from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaFraction {
    pub likely: f64,
    pub part: [f64; 2],
    pub until: f64,
}

pub struct Dispatcher<T> {
    router: Router,
    share: Option<QuotaFraction>,
    /// What it was allotted beside that, of each budget; of a worker's by the worker's name.
    allotted: BTreeMap<Budget, QuotaAdjustment>,
    hands: BTreeMap<Arc<str>, QuotaAdjustment>,
    books: DispatcherState<T>,
    functions: FunctionConfigs,
    profiles: Vec<ProfileConfig>,
}

struct DispatcherState<T> {
    now: f64,
    acts: VecDeque<Action>,
    /// Shots that the router called off; it hears of their ends once it is done with what it does.
    called_off: VecDeque<(RequestId, usize, Outcome)>,
    calls: Vec<Option<Call<T>>>,
    free_calls: Vec<usize>,
    /// Calls that the router let go of, until no act can name them any more.
    forgotten: Vec<usize>,
    open: usize,
    orders: Vec<Option<Order>>,
    free_orders: Vec<usize>,
    /// The probe that is out to each worker, by serial number; 0 for none.
    probes: Vec<(u64, Option<TimerKey>)>,
    functions: Interner,
    roll: WorkerTable,
    wheel: TimerWheel<Due>,
    serial: u64,
    bounds: Limits,
    order_wait: f64,
    ration: Option<LoadRateLimit>,
    /// What was wanted and lacked of each budget that gateways share, where they do.
    meters: Option<BTreeMap<Budget, UsageMeter>>,
    tally: Tally,
}

impl<T> DispatcherState<T> {
    /// A budget was wanted, so often.
    fn want(&mut self, what: Budget, wanted: u64, lacked: u64) {
        if let Some(meters) = &mut self.meters {
            let meter = meters.entry(what).or_default();
            meter.requested += wanted;
            meter.denied += lacked;
        }
    }

    fn tag(&self, index: usize) -> RequestId {
        RequestId { index, serial: self.calls[index].as_ref().map_or(0, |c| c.serial) }
    }

    /// Puts a call at a free index.
    fn place(&mut self, call: Call<T>) -> usize {
        let index = self.free_calls.pop().unwrap_or(self.calls.len());
        match self.calls.get_mut(index) {
            Some(slot) => *slot = Some(call),
            None => self.calls.push(Some(call)),
        }
        index
    }

    fn call(&mut self, tag: RequestId) -> Option<&mut Call<T>> {
        self.calls.get_mut(tag.index)?.as_mut().filter(|c| c.serial == tag.serial)
    }

    fn shot(&mut self, tag: RequestId, shot: usize) -> Option<&mut Shot> {
        self.call(tag)?.shots.get_mut(shot).filter(|s| s.stage != Stage::Over)
    }

    /// Books a shot's end; gives its worker and latency, unless it had ended before.
    fn end_shot(&mut self, tag: RequestId, shot: usize, outcome: Outcome) -> Option<f64> {
        let now = self.now;
        let s = self.shot(tag, shot)?;
        s.stage = Stage::Over;
        let (sent, ends, connects) = (s.sent, s.ends, s.connects);
        self.wheel.call_off(ends);
        self.wheel.call_off(connects);
        if let Some(call) = self.call(tag) {
            call.late |= outcome == Outcome::Overdue;
        }
        Some(now - sent)
    }
}

impl<T> Host for DispatcherState<T> {
    fn send(&mut self, activation: usize, worker: usize, until: f64) {
        let (tag, now) = (self.tag(activation), self.now);
        self.tally.shots += 1;
        let connect = now + self.bounds.connect;
        let Some(call) = self.calls[activation].as_mut() else { return };
        let shot = call.shots.len();
        let ends = self.wheel.set(until, Due::Shot(tag, shot));
        let connects = self.wheel.set(connect, Due::Connect(tag, shot));
        call.shots.push(Shot { worker, sent: now, until, stage: Stage::Connecting, ends, connects });
        self.acts.push_back(Action::Shoot { tag, shot, worker });
    }

    fn cancel(&mut self, activation: usize, shot: usize) {
        let tag = self.tag(activation);
        let Some(s) = self.shot(tag, shot) else { return };
        // What has no connection yet never ran.
        let outcome = if s.stage == Stage::Begun { Outcome::Withdrawn } else { Outcome::Unsent };
        self.acts.push_back(Action::Drop { tag, shot });
        self.called_off.push_back((tag, shot, outcome));
    }

    fn bounce(&mut self, activation: usize, come_back: Option<f64>) {
        let tag = self.tag(activation);
        if let Some(call) = self.call(tag).filter(|c| c.open) {
            call.open = false;
            self.open -= 1;
            self.tally.bounced += 1;
            self.acts.push_back(Action::Bounce { tag, come_back });
        }
    }

    fn terminate(&mut self, activation: usize) {
        let tag = self.tag(activation);
        if let Some(call) = self.call(tag).filter(|c| c.open) {
            call.open = false;
            let late = call.late || call.shots.iter().any(|s| s.stage != Stage::Over);
            self.open -= 1;
            self.tally.terminated += 1;
            self.acts.push_back(Action::Terminate { tag, late });
        }
    }

    fn hold(&mut self, worker: usize, function: usize, copies: u8) {
        self.serial += 1;
        self.tally.orders += 1;
        self.want(Budget::Orders, 1, 0);
        let index = self.free_orders.pop().unwrap_or(self.orders.len());
        let order = RequestId { index, serial: self.serial };
        let ends = self.wheel.set(self.now + self.order_wait, Due::Order(order));
        let entry = Some(Order { serial: self.serial, worker, function, ends });
        match self.orders.get_mut(index) {
            Some(slot) => *slot = entry,
            None => self.orders.push(entry),
        }
        self.acts.push_back(Action::Hold { order, worker, function: self.functions.name(function), copies });
    }

    fn unload(&mut self, worker: usize, function: usize) {
        self.acts.push_back(Action::Unload { worker, function: self.functions.name(function) });
    }

    fn probe(&mut self, worker: usize) {
        self.serial += 1;
        self.tally.probes += 1;
        let ticket = self.wheel.set(self.now + self.bounds.probe, Due::Probe(worker, self.serial));
        if self.probes.len() <= worker {
            self.probes.resize(worker + 1, (0, None));
        }
        self.probes[worker] = (self.serial, Some(ticket));
        self.acts.push_back(Action::Probe { worker, serial: self.serial });
    }

    fn wake(&mut self, after: f64) {
        self.wheel.set(self.now + after, Due::Wake);
    }

    fn follow(&mut self) {
        self.acts.push_back(Action::Follow);
    }

    fn forget(&mut self, activation: usize) {
        // An act may still name it: see `act`.
        self.forgotten.push(activation);
    }

    fn forget_function(&mut self, function: usize) {
        self.functions.give_back(function);
    }

    fn lacks(&mut self, what: Budget) {
        let wanted = u64::from(!matches!(what, Budget::Quota(_) | Budget::Ceiling(_)));
        self.want(what, wanted, 1);
    }
}

/// One call as it came through the door.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'c> {
    pub function: &'c str,
    pub profile: usize,
    pub client: usize,
    /// Seconds until the client gives up.
    pub patience: f64,
    pub repeat: bool,
    /// The function's figures where the call itself brings them; else those of the charter.
    pub instance: Option<(f64, f64, Option<f64>)>,
}

impl<T> Dispatcher<T> {
    /// A desk whose clock begins at 0, when the Unix time is `epoch`; see [`Self::wall_clock_read`] for later readings.
    pub fn new(house: &GatewayConfig, epoch: f64) -> Self {
        // By then every shot, order and probe for one that is gone has ended, and is booked.
        let longest = house.profiles.iter().map(|p| p.cut_off).fold(house.policy.order_wait, f64::max);
        let forget = 2.0 * (longest + house.bounds.probe);
        let roll = WorkerTable::new(&house.kinds, house.policy.seed, StartTimes::new(epoch), 0, forget);
        Self::from(house, roll, 0.0, 0)
    }

    /// Takes the place of itself after it broke, empty of all but its counts; the clock goes on. What the
    /// other still had open is given out, and whether something of it may have run: it is owed an answer.
    ///
    /// The account of the ration goes on as well: orders that were sent still count.
    pub fn begin_anew(&mut self, house: &GatewayConfig, now: f64) -> Vec<(T, bool)> {
        let roll = self.books.roll.successor(house.policy.seed);
        // Past any number that was given out amid what broke.
        let desk = Self::from(house, roll, now, self.books.serial + 1);
        let former = std::mem::replace(self, desk);
        let Self { books, share, allotted, hands, functions, .. } = former;
        let DispatcherState { calls, mut tally, ration, meters, .. } = books;
        // With the changes that are in force.
        self.functions = functions;
        (self.books.ration, self.books.meters, self.hands) = (ration, meters, hands);
        share.into_iter().for_each(|share| self.share(share));
        // Of workers it is told by name, once a list is known again.
        let such = |what: &Budget| !matches!(what, Budget::Hand(_));
        allotted.into_iter().filter(|(what, _)| such(what)).for_each(|(what, more)| self.allot(what, more));
        let open: Vec<_> =
            calls.into_iter().flatten().filter(|c| c.open).map(|c| (c.what, c.begun)).collect();
        let begun = open.iter().filter(|(_, begun)| *begun).count() as u64;
        tally.terminated += begun;
        tally.bounced += open.len() as u64 - begun;
        self.books.tally = tally;
        open
    }

    fn from(house: &GatewayConfig, roll: WorkerTable, now: f64, serial: u64) -> Self {
        let mut books = DispatcherState {
            now,
            acts: VecDeque::new(),
            called_off: VecDeque::new(),
            calls: Vec::new(),
            free_calls: Vec::new(),
            forgotten: Vec::new(),
            open: 0,
            orders: Vec::new(),
            free_orders: Vec::new(),
            probes: Vec::new(),
            functions: Interner::new(house.policy.seed),
            roll,
            wheel: TimerWheel::default(),
            serial,
            bounds: house.bounds.clone(),
            order_wait: house.policy.order_wait,
            ration: house.policy.ration.map(LoadRateLimit::new),
            meters: None,
            tally: Tally::default(),
        };
        let router = Router::new(house.policy.clone(), now, &mut books);
        let (functions, profiles) = (house.functions.clone(), house.profiles.clone());
        let (allotted, hands) = (BTreeMap::new(), BTreeMap::new());
        Self { router, share: None, allotted, hands, books, functions, profiles }
    }

    /// Goes by other figures of functions from here on: what is in hand keeps those that it came with. `charter`
    /// has what holds where no change does.
    pub fn amend(&mut self, amendment: &ConfigChange, charter: &FunctionConfigs) {
        self.functions.amend(amendment, charter);
    }

    /// The figures of a function, as they are in force.
    pub fn figures(&self, function: &str) -> FunctionConfig {
        self.functions.of(function)
    }

    /// Goes by what gateways that know of each other say, until they say otherwise.
    pub fn share(&mut self, share: QuotaFraction) {
        let QuotaFraction { likely, part, until } = share;
        self.share = Some(share);
        self.router.share(likely, part, until);
        self.books.ration.iter_mut().for_each(|r| r.share(part, until));
    }

    /// What there is of a budget beside the part by the count, as gateways that share it say.
    pub fn allot(&mut self, what: Budget, more: QuotaAdjustment) {
        let (figures, until) = ([more.amount, more.amount_after_expiry], more.valid_until);
        self.allotted.insert(what, more);
        if let Budget::Hand(worker) = what {
            self.hands.insert(self.books.roll.name(worker), more);
        }
        self.router.allot(what, figures, until);
        if what == Budget::Orders {
            self.books.ration.iter_mut().for_each(|r| r.allot(figures, until));
        }
    }

    /// What a budget was wanted for so far, and what is in use of it. Counted from the first time on that this is asked.
    pub fn meter(&mut self, now: f64, what: Budget) -> UsageMeter {
        let meters = self.books.meters.get_or_insert_default();
        let meter = meters.get(&what).copied().unwrap_or_default();
        let used = match what {
            Budget::Orders => self.books.ration.as_mut().map_or(0.0, |r| r.used(now)),
            other => self.router.in_use(now, other),
        };
        UsageMeter { in_use: used, ..meter }
    }

    /// Changes with the worker list, and with each desk that takes the place of another.
    pub fn list_edition(&self) -> (u64, u64) {
        (self.books.roll.life(), self.books.roll.edition())
    }

    /// Workers that are listed, by their names.
    pub fn workers(&self) -> Vec<(usize, Arc<str>)> {
        self.books.roll.listed()
    }

    /// What functions keep busy here, in lanes by the hash of their names; and what they do at other gateways.
    pub fn busy(&self, now: f64) -> Vec<(u64, f64)> {
        self.router.busy(now).collect()
    }

    pub fn elsewhere(&mut self, now: f64, busy: &BTreeMap<u64, f64>) {
        self.router.elsewhere(now, busy);
    }

    /// The next thing to do.
    pub fn act(&mut self) -> Option<Action> {
        let act = self.books.acts.pop_front();
        if act.is_none() {
            // No act names them any more.
            while let Some(index) = self.books.forgotten.pop() {
                self.books.calls[index] = None;
                self.books.free_calls.push(index);
            }
        }
        act
    }

    /// When [`turn`](Self::turn) is wanted next.
    pub fn next(&self) -> Option<f64> {
        self.books.wheel.next()
    }

    /// Activations in hand that are owed an answer.
    pub fn open(&self) -> usize {
        self.books.open
    }

    pub fn tally(&self) -> Tally {
        self.books.tally
    }

    /// Whether a worker list is known.
    pub fn listed(&self) -> bool {
        self.books.roll.edition() > 0
    }

    /// Functions known now.
    pub fn functions(&self) -> usize {
        self.books.functions.len()
    }

    /// The address of a worker, and a number that changes when another process takes its name.
    pub fn address(&self, worker: usize) -> (SocketAddr, u64) {
        self.books.roll.address(worker)
    }

    /// When the process of a worker started, on the desk's clock; none means long ago.
    pub fn started(&self, worker: usize) -> Option<f64> {
        self.books.roll.started(worker)
    }

    /// The wall clock was read. It may have been stepped since the last time; it counts for nothing but stamps of
    /// processes that are first reported from here on.
    pub fn wall_clock_read(&mut self, now: f64, unix_time: f64) {
        self.books.roll.start_times.wall_clock_read(now, unix_time);
    }

    /// Every change of the worker list until now has been passed on: what is reported later was not listed before.
    pub fn list_confirmed(&mut self, now: f64) {
        self.books.roll.start_times.list_confirmed(now);
    }

    /// Passes on one edition of the worker list.
    pub fn list(&mut self, now: f64, whole: bool, entries: &[Entry]) {
        self.books.now = now;
        if whole {
            self.router.list_renewed();
        }
        self.books.roll.take(now, whole, entries, |listing| self.router.listed(listing));
        let listed = self.books.roll.listed();
        if self.hands.len() > 2 * listed.len() + 64 {
            self.hands.retain(|name, _| listed.iter().any(|(_, known)| known == name));
        }
        for (worker, name) in listed {
            // What it was before this desk, or before another index was its own.
            if let Some(more) = self.hands.get(&name).copied() {
                self.router.allot(
                    Budget::Hand(worker),
                    [more.amount, more.amount_after_expiry],
                    more.valid_until,
                );
            }
        }
        self.router.list_complete(now, &mut self.books);
        self.settle();
    }

    /// The registry did not answer, or dropped the stream.
    pub fn list_failed(&mut self, now: f64) {
        self.books.now = now;
        self.router.list_failed(now, &mut self.books);
        self.settle();
    }

    /// An activation arrives. None where the table is full: it is not taken and must be bounced at the door.
    pub fn arrive(&mut self, now: f64, come: IncomingRequest<'_>, what: T) -> Option<RequestId> {
        let books = &mut self.books;
        if books.open >= books.bounds.open {
            return None;
        }
        books.now = now;
        books.serial += 1;
        books.open += 1;
        books.tally.taken += 1;
        if let Some(ration) = &mut books.ration {
            ration.take(now);
        }
        books.want(Budget::Ceiling(come.client), 1, 0);
        books.want(Budget::Quota(come.client), u64::from(!come.repeat), 0);
        let patience = come.patience.min(self.profiles[come.profile].cut_off);
        let function = books.functions.take(come.function);
        let call = Call {
            serial: books.serial,
            function,
            until: now + patience,
            open: true,
            shots: Vec::new(),
            late: false,
            begun: false,
            what,
        };
        let index = books.place(call);
        let (lanes, memory, load) = come.instance.unwrap_or_else(|| {
            let of = self.functions.of(come.function);
            (of.lanes, of.memory, of.load)
        });
        let arrival = Arrival {
            function,
            name: xxh3_64(come.function.as_bytes()),
            profile: come.profile,
            client: come.client,
            patience,
            repeat: come.repeat,
            lanes,
            memory,
            load,
        };
        let tag = RequestId { index, serial: books.serial };
        self.router.arrived(now, index, arrival, &mut self.books);
        self.settle();
        Some(tag)
    }

    /// The open calls of which the shell keeps such things.
    pub fn tags(&self, such: impl Fn(&T) -> bool) -> Vec<RequestId> {
        let open = self.books.calls.iter().enumerate();
        let open = open.filter_map(|(index, c)| c.as_ref().map(|c| (index, c)));
        open.filter(|(_, c)| c.open && such(&c.what))
            .map(|(index, c)| RequestId { index, serial: c.serial })
            .collect()
    }

    /// What the shell keeps of a call.
    pub fn what(&mut self, tag: RequestId) -> Option<&mut T> {
        self.books.call(tag).map(|c| &mut c.what)
    }

    pub fn function(&mut self, tag: RequestId) -> Option<Arc<str>> {
        let function = self.books.call(tag)?.function;
        Some(self.books.functions.name(function))
    }

    /// Seconds until a shot is given up.
    pub fn left_for(&mut self, now: f64, tag: RequestId, shot: usize) -> Option<f64> {
        self.books.shot(tag, shot).map(|s| s.until - now)
    }

    /// The client has left; whatever is out is called off. Tells whether something of the call may have run.
    pub fn left(&mut self, now: f64, tag: RequestId) -> bool {
        self.books.now = now;
        let Some(call) = self.books.call(tag) else { return false };
        let begun = call.begun;
        if std::mem::replace(&mut call.open, false) {
            self.books.open -= 1;
            self.books.tally.left += 1;
            self.router.close(tag.index, None, &mut self.books);
            self.settle();
        }
        begun
    }

    /// Whether a shot that has its connection may be sent now: its answer is still owed, there is time, and the
    /// worker takes work as far as the list says at this moment. If not, it ends here as never sent.
    pub fn begin(&mut self, now: f64, tag: RequestId, shot: usize) -> bool {
        self.books.now = now;
        let open = self.books.call(tag).is_some_and(|c| c.open && now < c.until);
        let Some(s) = self.books.shot(tag, shot) else { return false };
        let (worker, connects) = (s.worker, s.connects);
        let ready = self.books.roll.ready(worker) && self.router.may_begin(now, tag.index, worker);
        let s = self.books.shot(tag, shot).filter(|s| open && ready && now < s.until);
        if let Some(s) = s {
            s.stage = Stage::Begun;
            self.books.wheel.call_off(connects);
            if let Some(call) = self.books.call(tag) {
                call.begun = true;
            }
            return true;
        }
        self.books.tally.kept_back += u64::from(!ready);
        self.end(now, tag, shot, AttemptResult::plain(Outcome::Unsent));
        false
    }

    /// A shot that [`begin`](Self::begin) let go was not begun after all: no byte of it was taken. It waits as for its
    /// connection, and is asked about anew.
    pub fn put_back(&mut self, now: f64, tag: RequestId, shot: usize) {
        self.books.now = now;
        let connect = now + self.books.bounds.connect;
        if self.books.shot(tag, shot).is_none_or(|s| s.stage != Stage::Begun) {
            return;
        }
        let connects = self.books.wheel.set(connect, Due::Connect(tag, shot));
        if let Some(s) = self.books.shot(tag, shot) {
            (s.stage, s.connects) = (Stage::Connecting, connects);
        }
    }

    /// A shot ended. Tells whether what it brought is the client's final answer, which the shell then gives.
    pub fn end(&mut self, now: f64, tag: RequestId, shot: usize, end: AttemptResult) -> bool {
        self.books.now = now;
        let Some(call) = self.books.call(tag) else { return false };
        let in_time = call.open && now < call.until;
        // What comes when the client has given up is nobody's answer.
        let outcome = match end.outcome {
            Outcome::Handled if call.open && !in_time => Outcome::Overdue,
            other => other,
        };
        let Some(latency) = self.books.end_shot(tag, shot, outcome) else { return false };
        let settles = in_time && (end.settles || outcome == Outcome::Handled);
        if settles && let Some(call) = self.books.call(tag) {
            call.open = false;
            self.books.open -= 1;
            if outcome == Outcome::Handled {
                self.books.tally.handled += 1;
            } else {
                self.books.tally.terminated += 1;
            }
        }
        self.tell(tag, shot, outcome, latency, settles, end);
        self.settle();
        settles
    }

    /// Whether an order may be sent now, by what the list and the ration say at this moment. If not, it ends here.
    pub fn begin_order(&mut self, now: f64, order: RequestId) -> bool {
        self.books.now = now;
        let known = self.books.orders.get(order.index).and_then(Option::as_ref);
        let Some(worker) = known.filter(|o| o.serial == order.serial).map(|o| o.worker) else { return false };
        let ration = self.books.ration.as_mut();
        let ready = self.books.roll.ready(worker) && ration.is_none_or(|r| r.send(now));
        if !ready {
            self.books.tally.kept_back += 1;
            self.order_ended(now, order, Outcome::Unsent, 0);
        }
        ready
    }

    /// An order to hold was answered, with the instances that stand.
    pub fn order_ended(&mut self, now: f64, order: RequestId, outcome: Outcome, copies: u8) {
        self.books.now = now;
        let Some(slot) = self.books.orders.get_mut(order.index) else { return };
        if slot.as_ref().is_none_or(|o| o.serial != order.serial) {
            return;
        }
        let Some(Order { worker, function, ends, .. }) = slot.take() else { return };
        self.books.free_orders.push(order.index);
        self.books.wheel.call_off(ends);
        self.router.held(now, worker, function, outcome, copies, &mut self.books);
        self.settle();
    }

    /// A probe was answered, or not.
    pub fn probed(&mut self, now: f64, worker: usize, serial: u64, outcome: Outcome, report: Option<Report>) {
        self.books.now = now;
        match self.books.probes.get_mut(worker) {
            Some(probe) if probe.0 == serial => {
                if let (_, Some(ticket)) = std::mem::take(probe) {
                    self.books.wheel.call_off(ticket);
                }
                self.router.probed(now, worker, outcome, report, &mut self.books);
                self.settle();
            }
            _ => {}
        }
    }

    /// Time has passed: does what is due.
    pub fn turn(&mut self, now: f64) {
        self.books.now = now;
        while let Some(due) = self.books.wheel.fire(now) {
            match due {
                Due::Wake => {
                    self.router.woken(now, &mut self.books);
                    self.settle();
                }
                Due::Shot(tag, shot) => self.give_up_on(tag, shot, Outcome::Overdue),
                Due::Connect(tag, shot) => {
                    if self.books.shot(tag, shot).is_some_and(|s| s.stage == Stage::Connecting) {
                        self.give_up_on(tag, shot, Outcome::Unreached);
                    }
                }
                Due::Order(order) => self.order_ended(now, order, Outcome::Overdue, 0),
                Due::Probe(worker, serial) => self.probed(now, worker, serial, Outcome::Overdue, None),
            }
        }
    }

    /// Ends a shot that took too long, for the module and for the shell.
    fn give_up_on(&mut self, tag: RequestId, shot: usize, outcome: Outcome) {
        let Some(stage) = self.books.shot(tag, shot).map(|s| s.stage) else { return };
        // Without a connection nothing can have run, whatever ended it.
        let outcome = if stage == Stage::Connecting { Outcome::Unreached } else { outcome };
        let Some(latency) = self.books.end_shot(tag, shot, outcome) else { return };
        self.books.acts.push_back(Action::Drop { tag, shot });
        self.tell(tag, shot, outcome, latency, false, AttemptResult::plain(outcome));
        self.settle();
    }

    fn tell(
        &mut self,
        tag: RequestId,
        shot: usize,
        outcome: Outcome,
        latency: f64,
        settled: bool,
        end: AttemptResult,
    ) {
        let AttemptResult { found, company, report, .. } = end;
        let settled = settled || self.books.call(tag).is_some_and(|c| !c.open);
        let answer = Answer { shot, outcome, settled, latency, found, company, report };
        let now = self.books.now;
        self.router.answered(now, tag.index, answer, &mut self.books);
    }

    /// Tells the router how the shots that it called off ended, until it calls off no more.
    fn settle(&mut self) {
        while let Some((tag, shot, outcome)) = self.books.called_off.pop_front() {
            if let Some(latency) = self.books.end_shot(tag, shot, outcome) {
                self.tell(tag, shot, outcome, latency, true, AttemptResult::plain(outcome));
            }
        }
    }
}
