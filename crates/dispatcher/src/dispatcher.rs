//! The desk: all that the gateway knows of calls, shots, orders, probes and workers, around the decisions and free
//! of sockets and clocks. It is told what happened, at which time, and says what to do next as [`Action`]s; a shell
//! with connections carries them out, in service on sockets, in the laboratory in simulated time. Each method may
//! leave acts behind: take them with [`Dispatcher::next_action`] until there are none.

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
    /// Get a connection to the worker, ask [`Dispatcher::begin_attempt`] whether it still goes, and send.
    SendAttempt {
        request: RequestId,
        attempt: usize,
        worker: usize,
    },
    /// The shot's end is booked: close its connection, nobody waits for it.
    CancelAttempt {
        request: RequestId,
        attempt: usize,
    },
    /// Final answer: not taken, trying again does no harm.
    Reject {
        request: RequestId,
        retry_after: Option<f64>,
    },
    /// Final answer: failed, no promise. `timed_out` where time ran out rather than a worker failed.
    Fail {
        request: RequestId,
        timed_out: bool,
    },
    /// Order instances; 0 only asks.
    LoadFunction {
        load_request: RequestId,
        worker: usize,
        function: Arc<str>,
        instances: u8,
    },
    UnloadFunction {
        worker: usize,
        function: Arc<str>,
    },
    HealthCheck {
        worker: usize,
        serial: u64,
    },
    /// Ask the registry for the list and its changes.
    WatchEndpoints,
}

/// How a shot ended, as the shell saw it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub found: Option<Found>,
    pub company: f64,
    pub report: Option<Report>,
    /// The client gets a final answer of the shell's own making, whatever the outcome.
    pub answers_client: bool,
}

impl AttemptResult {
    pub fn from_outcome(outcome: Outcome) -> Self {
        Self { outcome, found: None, company: 0.0, report: None, answers_client: false }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Connecting,
    Sent,
    Ended,
}

struct Attempt {
    worker: usize,
    dispatched_at: f64,
    deadline: f64,
    stage: Stage,
    /// The timer of its end, and that of its connection.
    deadline_timer: TimerKey,
    connect_timer: TimerKey,
}

struct Request<T> {
    serial: u64,
    function: usize,
    /// When the client gives up.
    deadline: f64,
    /// The final answer is owed.
    answer_owed: bool,
    attempts: Vec<Attempt>,
    /// A shot ended for want of time.
    timed_out: bool,
    /// A shot was sent: something of it may have run.
    may_have_run: bool,
    context: T,
}

struct LoadRequest {
    serial: u64,
    worker: usize,
    function: usize,
    deadline_timer: TimerKey,
}

enum Timer {
    Wake,
    AttemptDeadline(RequestId, usize),
    ConnectDeadline(RequestId, usize),
    LoadRequestDeadline(RequestId),
    HealthCheckDeadline(usize, u64),
}

/// Counts since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    pub accepted: u64,
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Clients that left before their answer.
    pub client_gone: u64,
    pub attempts: u64,
    pub load_requests: u64,
    pub health_checks: u64,
    /// Shots and orders that were called off when they were about to be sent, because of what the list had said.
    pub suppressed: u64,
}

/// What gateways that know of each other say: how many there likely are, and this one's part of what all share, as a
/// multiple of what it has by its charter, until then on the desk's clock, and from then on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaFraction {
    pub likely_gateways: f64,
    pub fractions: [f64; 2],
    pub until: f64,
}

pub struct Dispatcher<T> {
    router: Router,
    quota_fraction: Option<QuotaFraction>,
    /// What it was allotted beside that, of each budget; of a worker's by the worker's name.
    grants: BTreeMap<Budget, QuotaAdjustment>,
    worker_grants: BTreeMap<Arc<str>, QuotaAdjustment>,
    state: DispatcherState<T>,
    functions: FunctionConfigs,
    profiles: Vec<ProfileConfig>,
}

struct DispatcherState<T> {
    now: f64,
    actions: VecDeque<Action>,
    /// Shots that the router called off; it hears of their ends once it is done with what it does.
    cancelled_attempts: VecDeque<(RequestId, usize, Outcome)>,
    requests: Vec<Option<Request<T>>>,
    free_requests: Vec<usize>,
    /// Calls that the router let go of, until no act can name them any more.
    released_requests: Vec<usize>,
    open_requests: usize,
    load_requests: Vec<Option<LoadRequest>>,
    free_load_requests: Vec<usize>,
    /// The probe that is out to each worker, by serial number; 0 for none.
    health_checks: Vec<(u64, Option<TimerKey>)>,
    functions: Interner,
    worker_table: WorkerTable,
    timers: TimerWheel<Timer>,
    serial: u64,
    limits: Limits,
    load_timeout: f64,
    load_rate_limit: Option<LoadRateLimit>,
    /// What was wanted and lacked of each budget that gateways share, where they do.
    usage_meters: Option<BTreeMap<Budget, UsageMeter>>,
    counters: Counters,
}

impl<T> DispatcherState<T> {
    /// A budget was wanted, so often.
    fn count_demand(&mut self, budget: Budget, wanted: u64, lacked: u64) {
        if let Some(usage_meters) = &mut self.usage_meters {
            let meter = usage_meters.entry(budget).or_default();
            meter.requested += wanted;
            meter.denied += lacked;
        }
    }

    fn request_id(&self, index: usize) -> RequestId {
        RequestId { index, serial: self.requests[index].as_ref().map_or(0, |c| c.serial) }
    }

    /// Puts a call at a free index.
    fn insert_request(&mut self, record: Request<T>) -> usize {
        let index = self.free_requests.pop().unwrap_or(self.requests.len());
        match self.requests.get_mut(index) {
            Some(slot) => *slot = Some(record),
            None => self.requests.push(Some(record)),
        }
        index
    }

    fn request_mut(&mut self, request: RequestId) -> Option<&mut Request<T>> {
        self.requests.get_mut(request.index)?.as_mut().filter(|c| c.serial == request.serial)
    }

    fn attempt_mut(&mut self, request: RequestId, attempt: usize) -> Option<&mut Attempt> {
        self.request_mut(request)?.attempts.get_mut(attempt).filter(|s| s.stage != Stage::Ended)
    }

    /// Books a shot's end; gives its worker and latency, unless it had ended before.
    fn end_attempt(&mut self, request: RequestId, attempt: usize, outcome: Outcome) -> Option<f64> {
        let now = self.now;
        let s = self.attempt_mut(request, attempt)?;
        s.stage = Stage::Ended;
        let (dispatched_at, deadline_timer, connect_timer) =
            (s.dispatched_at, s.deadline_timer, s.connect_timer);
        self.timers.cancel(deadline_timer);
        self.timers.cancel(connect_timer);
        if let Some(record) = self.request_mut(request) {
            record.timed_out |= outcome == Outcome::Overdue;
        }
        Some(now - dispatched_at)
    }
}

impl<T> Host for DispatcherState<T> {
    fn send(&mut self, activation: usize, worker: usize, deadline: f64) {
        let (request, now) = (self.request_id(activation), self.now);
        self.counters.attempts += 1;
        let connect = now + self.limits.connect;
        let Some(record) = self.requests[activation].as_mut() else { return };
        let attempt = record.attempts.len();
        let deadline_timer = self.timers.set(deadline, Timer::AttemptDeadline(request, attempt));
        let connect_timer = self.timers.set(connect, Timer::ConnectDeadline(request, attempt));
        record.attempts.push(Attempt {
            worker,
            dispatched_at: now,
            deadline,
            stage: Stage::Connecting,
            deadline_timer,
            connect_timer,
        });
        self.actions.push_back(Action::SendAttempt { request, attempt, worker });
    }

    fn cancel(&mut self, activation: usize, attempt: usize) {
        let request = self.request_id(activation);
        let Some(s) = self.attempt_mut(request, attempt) else { return };
        // What has no connection yet never ran.
        let outcome = if s.stage == Stage::Sent { Outcome::Withdrawn } else { Outcome::Unsent };
        self.actions.push_back(Action::CancelAttempt { request, attempt });
        self.cancelled_attempts.push_back((request, attempt, outcome));
    }

    fn bounce(&mut self, activation: usize, retry_after: Option<f64>) {
        let request = self.request_id(activation);
        if let Some(record) = self.request_mut(request).filter(|c| c.answer_owed) {
            record.answer_owed = false;
            self.open_requests -= 1;
            self.counters.rejected += 1;
            self.actions.push_back(Action::Reject { request, retry_after });
        }
    }

    fn terminate(&mut self, activation: usize) {
        let request = self.request_id(activation);
        if let Some(record) = self.request_mut(request).filter(|c| c.answer_owed) {
            record.answer_owed = false;
            let timed_out = record.timed_out || record.attempts.iter().any(|s| s.stage != Stage::Ended);
            self.open_requests -= 1;
            self.counters.failed += 1;
            self.actions.push_back(Action::Fail { request, timed_out });
        }
    }

    fn hold(&mut self, worker: usize, function: usize, instances: u8) {
        self.serial += 1;
        self.counters.load_requests += 1;
        self.count_demand(Budget::Orders, 1, 0);
        let index = self.free_load_requests.pop().unwrap_or(self.load_requests.len());
        let load_request = RequestId { index, serial: self.serial };
        let deadline_timer =
            self.timers.set(self.now + self.load_timeout, Timer::LoadRequestDeadline(load_request));
        let entry = Some(LoadRequest { serial: self.serial, worker, function, deadline_timer });
        match self.load_requests.get_mut(index) {
            Some(slot) => *slot = entry,
            None => self.load_requests.push(entry),
        }
        self.actions.push_back(Action::LoadFunction {
            load_request,
            worker,
            function: self.functions.name(function),
            instances,
        });
    }

    fn unload(&mut self, worker: usize, function: usize) {
        self.actions.push_back(Action::UnloadFunction { worker, function: self.functions.name(function) });
    }

    fn probe(&mut self, worker: usize) {
        self.serial += 1;
        self.counters.health_checks += 1;
        let timer =
            self.timers.set(self.now + self.limits.probe, Timer::HealthCheckDeadline(worker, self.serial));
        if self.health_checks.len() <= worker {
            self.health_checks.resize(worker + 1, (0, None));
        }
        self.health_checks[worker] = (self.serial, Some(timer));
        self.actions.push_back(Action::HealthCheck { worker, serial: self.serial });
    }

    fn wake(&mut self, after: f64) {
        self.timers.set(self.now + after, Timer::Wake);
    }

    fn follow(&mut self) {
        self.actions.push_back(Action::WatchEndpoints);
    }

    fn forget(&mut self, activation: usize) {
        // An act may still name it: see `action`.
        self.released_requests.push(activation);
    }

    fn forget_function(&mut self, function: usize) {
        self.functions.release(function);
    }

    fn lacks(&mut self, budget: Budget) {
        let wanted = u64::from(!matches!(budget, Budget::Quota(_) | Budget::Ceiling(_)));
        self.count_demand(budget, wanted, 1);
    }
}

/// One call as it came through the door.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'c> {
    pub function: &'c str,
    pub profile: usize,
    pub client: usize,
    /// Seconds until the client gives up.
    pub timeout: f64,
    pub is_retry: bool,
    /// The function's figures where the call itself brings them; else those of the charter.
    pub function_config: Option<(f64, f64, Option<f64>)>,
}

impl<T> Dispatcher<T> {
    /// A desk whose clock begins at 0, when the Unix time is `epoch`; see [`Self::wall_clock_read`] for later readings.
    pub fn new(config: &GatewayConfig, epoch: f64) -> Self {
        // By then every shot, order and probe for one that is gone has ended, and is booked.
        let longest = config.profiles.iter().map(|p| p.cut_off).fold(config.policy.order_wait, f64::max);
        let forget = 2.0 * (longest + config.bounds.probe);
        let worker_table =
            WorkerTable::new(&config.kinds, config.policy.seed, StartTimes::new(epoch), 0, forget);
        Self::with_worker_table(config, worker_table, 0.0, 0)
    }

    /// Takes the place of itself after it broke, empty of all but its counts; the clock goes on. What the
    /// other still had open is given out, and whether something of it may have run: it is owed an answer.
    ///
    /// The account of the ration goes on as well: orders that were sent still count.
    pub fn restart(&mut self, config: &GatewayConfig, now: f64) -> Vec<(T, bool)> {
        let worker_table = self.state.worker_table.successor(config.policy.seed);
        // Past any number that was given out amid what broke.
        let dispatcher = Self::with_worker_table(config, worker_table, now, self.state.serial + 1);
        let former = std::mem::replace(self, dispatcher);
        let Self { state, quota_fraction, grants, worker_grants, functions, .. } = former;
        let DispatcherState { requests, mut counters, load_rate_limit, usage_meters, .. } = state;
        // With the changes that are in force.
        self.functions = functions;
        (self.state.load_rate_limit, self.state.usage_meters, self.worker_grants) =
            (load_rate_limit, usage_meters, worker_grants);
        quota_fraction.into_iter().for_each(|fraction| self.set_quota_fraction(fraction));
        // Of workers it is told by name, once a list is known again.
        let matches = |budget: &Budget| !matches!(budget, Budget::Hand(_));
        grants
            .into_iter()
            .filter(|(budget, _)| matches(budget))
            .for_each(|(budget, more)| self.grant_quota(budget, more));
        let open: Vec<_> = requests
            .into_iter()
            .flatten()
            .filter(|c| c.answer_owed)
            .map(|c| (c.context, c.may_have_run))
            .collect();
        let may_have_run = open.iter().filter(|(_, may_have_run)| *may_have_run).count() as u64;
        counters.failed += may_have_run;
        counters.rejected += open.len() as u64 - may_have_run;
        self.state.counters = counters;
        open
    }

    fn with_worker_table(config: &GatewayConfig, worker_table: WorkerTable, now: f64, serial: u64) -> Self {
        let mut state = DispatcherState {
            now,
            actions: VecDeque::new(),
            cancelled_attempts: VecDeque::new(),
            requests: Vec::new(),
            free_requests: Vec::new(),
            released_requests: Vec::new(),
            open_requests: 0,
            load_requests: Vec::new(),
            free_load_requests: Vec::new(),
            health_checks: Vec::new(),
            functions: Interner::new(config.policy.seed),
            worker_table,
            timers: TimerWheel::default(),
            serial,
            limits: config.bounds.clone(),
            load_timeout: config.policy.order_wait,
            load_rate_limit: config.policy.ration.map(LoadRateLimit::new),
            usage_meters: None,
            counters: Counters::default(),
        };
        let router = Router::new(config.policy.clone(), now, &mut state);
        let (functions, profiles) = (config.functions.clone(), config.profiles.clone());
        let (grants, worker_grants) = (BTreeMap::new(), BTreeMap::new());
        Self { router, quota_fraction: None, grants, worker_grants, state, functions, profiles }
    }

    /// Goes by other figures of functions from here on: what is in hand keeps those that it came with. `charter`
    /// has what holds where no change does.
    pub fn apply_config_change(&mut self, amendment: &ConfigChange, charter: &FunctionConfigs) {
        self.functions.amend(amendment, charter);
    }

    /// The figures of a function, as they are in force.
    pub fn function_config(&self, function: &str) -> FunctionConfig {
        self.functions.of(function)
    }

    /// Goes by what gateways that know of each other say, until they say otherwise.
    pub fn set_quota_fraction(&mut self, fraction: QuotaFraction) {
        let QuotaFraction { likely_gateways, fractions, until } = fraction;
        self.quota_fraction = Some(fraction);
        self.router.share(likely_gateways, fractions, until);
        self.state.load_rate_limit.iter_mut().for_each(|r| r.set_quota_fraction(fractions, until));
    }

    /// What there is of a budget beside the part by the count, as gateways that share it say.
    pub fn grant_quota(&mut self, budget: Budget, more: QuotaAdjustment) {
        let (figures, until) = ([more.amount, more.amount_after_expiry], more.valid_until);
        self.grants.insert(budget, more);
        if let Budget::Hand(worker) = budget {
            self.worker_grants.insert(self.state.worker_table.name(worker), more);
        }
        self.router.allot(budget, figures, until);
        if budget == Budget::Orders {
            self.state.load_rate_limit.iter_mut().for_each(|r| r.set_adjustment(figures, until));
        }
    }

    /// What a budget was wanted for so far, and what is in use of it. Counted from the first time on that this is asked.
    pub fn usage(&mut self, now: f64, budget: Budget) -> UsageMeter {
        let usage_meters = self.state.usage_meters.get_or_insert_default();
        let meter = usage_meters.get(&budget).copied().unwrap_or_default();
        let used = match budget {
            Budget::Orders => self.state.load_rate_limit.as_mut().map_or(0.0, |r| r.in_use(now)),
            other => self.router.in_use(now, other),
        };
        UsageMeter { in_use: used, ..meter }
    }

    /// Changes with the worker list, and with each desk that takes the place of another.
    pub fn endpoint_revision(&self) -> (u64, u64) {
        (self.state.worker_table.generation(), self.state.worker_table.revision())
    }

    /// Workers that are listed, by their names.
    pub fn workers(&self) -> Vec<(usize, Arc<str>)> {
        self.state.worker_table.workers()
    }

    /// What functions keep busy here, in lanes by the hash of their names; and what they do at other gateways.
    pub fn local_concurrency(&self, now: f64) -> Vec<(u64, f64)> {
        self.router.busy(now).collect()
    }

    pub fn set_remote_concurrency(&mut self, now: f64, busy: &BTreeMap<u64, f64>) {
        self.router.elsewhere(now, busy);
    }

    /// The next thing to do.
    pub fn next_action(&mut self) -> Option<Action> {
        let action = self.state.actions.pop_front();
        if action.is_none() {
            // No act names them any more.
            while let Some(index) = self.state.released_requests.pop() {
                self.state.requests[index] = None;
                self.state.free_requests.push(index);
            }
        }
        action
    }

    /// When [`advance`](Self::advance) is wanted next.
    pub fn next_deadline(&self) -> Option<f64> {
        self.state.timers.next_due()
    }

    /// Activations in hand that are owed an answer.
    pub fn open_requests(&self) -> usize {
        self.state.open_requests
    }

    pub fn counters(&self) -> Counters {
        self.state.counters
    }

    /// Whether a worker list is known.
    pub fn has_endpoints(&self) -> bool {
        self.state.worker_table.revision() > 0
    }

    /// Functions known now.
    pub fn function_count(&self) -> usize {
        self.state.functions.len()
    }

    /// The address of a worker, and a number that changes when another process takes its name.
    pub fn address(&self, worker: usize) -> (SocketAddr, u64) {
        self.state.worker_table.address(worker)
    }

    /// When the process of a worker started, on the desk's clock; none means long ago.
    pub fn started(&self, worker: usize) -> Option<f64> {
        self.state.worker_table.started(worker)
    }

    /// The wall clock was read. It may have been stepped since the last time; it counts for nothing but stamps of
    /// processes that are first reported from here on.
    pub fn wall_clock_read(&mut self, now: f64, unix_time: f64) {
        self.state.worker_table.start_times.wall_clock_read(now, unix_time);
    }

    /// Every change of the worker list until now has been passed on: what is reported later was not listed before.
    pub fn endpoint_list_confirmed(&mut self, now: f64) {
        self.state.worker_table.start_times.list_confirmed(now);
    }

    /// Passes on one edition of the worker list.
    pub fn update_endpoints(&mut self, now: f64, whole: bool, entries: &[Entry]) {
        self.state.now = now;
        if whole {
            self.router.list_renewed();
        }
        self.state.worker_table.update(now, whole, entries, |listing| self.router.listed(listing));
        let listed = self.state.worker_table.workers();
        if self.worker_grants.len() > 2 * listed.len() + 64 {
            self.worker_grants.retain(|name, _| listed.iter().any(|(_, known)| known == name));
        }
        for (worker, name) in listed {
            // What it was before this desk, or before another index was its own.
            if let Some(more) = self.worker_grants.get(&name).copied() {
                self.router.allot(
                    Budget::Hand(worker),
                    [more.amount, more.amount_after_expiry],
                    more.valid_until,
                );
            }
        }
        self.router.list_complete(now, &mut self.state);
        self.report_cancelled_attempts();
    }

    /// The registry did not answer, or dropped the stream.
    pub fn endpoint_list_failed(&mut self, now: f64) {
        self.state.now = now;
        self.router.list_failed(now, &mut self.state);
        self.report_cancelled_attempts();
    }

    /// An activation arrives. None where the table is full: it is not taken and must be bounced at the door.
    pub fn submit(&mut self, now: f64, incoming: IncomingRequest<'_>, context: T) -> Option<RequestId> {
        let state = &mut self.state;
        if state.open_requests >= state.limits.open {
            return None;
        }
        state.now = now;
        state.serial += 1;
        state.open_requests += 1;
        state.counters.accepted += 1;
        if let Some(load_rate_limit) = &mut state.load_rate_limit {
            load_rate_limit.request_arrived(now);
        }
        state.count_demand(Budget::Ceiling(incoming.client), 1, 0);
        state.count_demand(Budget::Quota(incoming.client), u64::from(!incoming.is_retry), 0);
        let timeout = incoming.timeout.min(self.profiles[incoming.profile].cut_off);
        let function = state.functions.intern(incoming.function);
        let record = Request {
            serial: state.serial,
            function,
            deadline: now + timeout,
            answer_owed: true,
            attempts: Vec::new(),
            timed_out: false,
            may_have_run: false,
            context,
        };
        let index = state.insert_request(record);
        let (lanes, memory, load) = incoming.function_config.unwrap_or_else(|| {
            let of = self.functions.of(incoming.function);
            (of.lanes, of.memory, of.load)
        });
        let arrival = Arrival {
            function,
            name: xxh3_64(incoming.function.as_bytes()),
            profile: incoming.profile,
            client: incoming.client,
            patience: timeout,
            repeat: incoming.is_retry,
            lanes,
            memory,
            load,
        };
        let request = RequestId { index, serial: state.serial };
        self.router.arrived(now, index, arrival, &mut self.state);
        self.report_cancelled_attempts();
        Some(request)
    }

    /// The open calls of which the shell keeps such things.
    pub fn requests(&self, matches: impl Fn(&T) -> bool) -> Vec<RequestId> {
        let open = self.state.requests.iter().enumerate();
        let open = open.filter_map(|(index, c)| c.as_ref().map(|c| (index, c)));
        open.filter(|(_, c)| c.answer_owed && matches(&c.context))
            .map(|(index, c)| RequestId { index, serial: c.serial })
            .collect()
    }

    /// What the shell keeps of a call.
    pub fn context(&mut self, request: RequestId) -> Option<&mut T> {
        self.state.request_mut(request).map(|c| &mut c.context)
    }

    pub fn function(&mut self, request: RequestId) -> Option<Arc<str>> {
        let function = self.state.request_mut(request)?.function;
        Some(self.state.functions.name(function))
    }

    /// Seconds until a shot is given up.
    pub fn time_left(&mut self, now: f64, request: RequestId, attempt: usize) -> Option<f64> {
        self.state.attempt_mut(request, attempt).map(|s| s.deadline - now)
    }

    /// The client has left; whatever is out is called off. Tells whether something of the call may have run.
    pub fn client_gone(&mut self, now: f64, request: RequestId) -> bool {
        self.state.now = now;
        let Some(record) = self.state.request_mut(request) else { return false };
        let may_have_run = record.may_have_run;
        if std::mem::replace(&mut record.answer_owed, false) {
            self.state.open_requests -= 1;
            self.state.counters.client_gone += 1;
            self.router.close(request.index, None, &mut self.state);
            self.report_cancelled_attempts();
        }
        may_have_run
    }

    /// Whether a shot that has its connection may be sent now: its answer is still owed, there is time, and the
    /// worker takes work as far as the list says at this moment. If not, it ends here as never sent.
    pub fn begin_attempt(&mut self, now: f64, request: RequestId, attempt: usize) -> bool {
        self.state.now = now;
        let open = self.state.request_mut(request).is_some_and(|c| c.answer_owed && now < c.deadline);
        let Some(s) = self.state.attempt_mut(request, attempt) else { return false };
        let (worker, connect_timer) = (s.worker, s.connect_timer);
        let ready =
            self.state.worker_table.ready(worker) && self.router.may_begin(now, request.index, worker);
        let s = self.state.attempt_mut(request, attempt).filter(|s| open && ready && now < s.deadline);
        if let Some(s) = s {
            s.stage = Stage::Sent;
            self.state.timers.cancel(connect_timer);
            if let Some(record) = self.state.request_mut(request) {
                record.may_have_run = true;
            }
            return true;
        }
        self.state.counters.suppressed += u64::from(!ready);
        self.attempt_ended(now, request, attempt, AttemptResult::from_outcome(Outcome::Unsent));
        false
    }

    /// A shot that [`begin_attempt`](Self::begin) let go was not begun after all: no byte of it was taken. It waits as for its
    /// connection, and is asked about anew.
    pub fn attempt_not_written(&mut self, now: f64, request: RequestId, attempt: usize) {
        self.state.now = now;
        let connect = now + self.state.limits.connect;
        if self.state.attempt_mut(request, attempt).is_none_or(|s| s.stage != Stage::Sent) {
            return;
        }
        let connect_timer = self.state.timers.set(connect, Timer::ConnectDeadline(request, attempt));
        if let Some(s) = self.state.attempt_mut(request, attempt) {
            (s.stage, s.connect_timer) = (Stage::Connecting, connect_timer);
        }
    }

    /// A shot ended. Tells whether what it brought is the client's final answer, which the shell then gives.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        request: RequestId,
        attempt: usize,
        result: AttemptResult,
    ) -> bool {
        self.state.now = now;
        let Some(record) = self.state.request_mut(request) else { return false };
        let in_time = record.answer_owed && now < record.deadline;
        // What comes when the client has given up is nobody's answer.
        let outcome = match result.outcome {
            Outcome::Handled if record.answer_owed && !in_time => Outcome::Overdue,
            other => other,
        };
        let Some(latency) = self.state.end_attempt(request, attempt, outcome) else { return false };
        let answers_client = in_time && (result.answers_client || outcome == Outcome::Handled);
        if answers_client && let Some(record) = self.state.request_mut(request) {
            record.answer_owed = false;
            self.state.open_requests -= 1;
            if outcome == Outcome::Handled {
                self.state.counters.succeeded += 1;
            } else {
                self.state.counters.failed += 1;
            }
        }
        self.report_to_router(request, attempt, outcome, latency, answers_client, result);
        self.report_cancelled_attempts();
        answers_client
    }

    /// Whether an order may be sent now, by what the list and the ration say at this moment. If not, it ends here.
    pub fn begin_load_request(&mut self, now: f64, load_request: RequestId) -> bool {
        self.state.now = now;
        let known = self.state.load_requests.get(load_request.index).and_then(Option::as_ref);
        let Some(worker) = known.filter(|o| o.serial == load_request.serial).map(|o| o.worker) else {
            return false;
        };
        let load_rate_limit = self.state.load_rate_limit.as_mut();
        let ready = self.state.worker_table.ready(worker) && load_rate_limit.is_none_or(|r| r.try_send(now));
        if !ready {
            self.state.counters.suppressed += 1;
            self.load_request_ended(now, load_request, Outcome::Unsent, 0);
        }
        ready
    }

    /// An order to hold was answered, with the instances that stand.
    pub fn load_request_ended(&mut self, now: f64, load_request: RequestId, outcome: Outcome, instances: u8) {
        self.state.now = now;
        let Some(slot) = self.state.load_requests.get_mut(load_request.index) else { return };
        if slot.as_ref().is_none_or(|o| o.serial != load_request.serial) {
            return;
        }
        let Some(LoadRequest { worker, function, deadline_timer, .. }) = slot.take() else { return };
        self.state.free_load_requests.push(load_request.index);
        self.state.timers.cancel(deadline_timer);
        self.router.held(now, worker, function, outcome, instances, &mut self.state);
        self.report_cancelled_attempts();
    }

    /// A probe was answered, or not.
    pub fn health_check_ended(
        &mut self,
        now: f64,
        worker: usize,
        serial: u64,
        outcome: Outcome,
        report: Option<Report>,
    ) {
        self.state.now = now;
        match self.state.health_checks.get_mut(worker) {
            Some(probe) if probe.0 == serial => {
                if let (_, Some(timer)) = std::mem::take(probe) {
                    self.state.timers.cancel(timer);
                }
                self.router.probed(now, worker, outcome, report, &mut self.state);
                self.report_cancelled_attempts();
            }
            _ => {}
        }
    }

    /// Time has passed: does what is due.
    pub fn advance(&mut self, now: f64) {
        self.state.now = now;
        while let Some(due) = self.state.timers.fire(now) {
            match due {
                Timer::Wake => {
                    self.router.woken(now, &mut self.state);
                    self.report_cancelled_attempts();
                }
                Timer::AttemptDeadline(request, attempt) => {
                    self.attempt_timed_out(request, attempt, Outcome::Overdue)
                }
                Timer::ConnectDeadline(request, attempt) => {
                    if self.state.attempt_mut(request, attempt).is_some_and(|s| s.stage == Stage::Connecting)
                    {
                        self.attempt_timed_out(request, attempt, Outcome::Unreached);
                    }
                }
                Timer::LoadRequestDeadline(load_request) => {
                    self.load_request_ended(now, load_request, Outcome::Overdue, 0)
                }
                Timer::HealthCheckDeadline(worker, serial) => {
                    self.health_check_ended(now, worker, serial, Outcome::Overdue, None)
                }
            }
        }
    }

    /// Ends a shot that took too long, for the module and for the shell.
    fn attempt_timed_out(&mut self, request: RequestId, attempt: usize, outcome: Outcome) {
        let Some(stage) = self.state.attempt_mut(request, attempt).map(|s| s.stage) else { return };
        // Without a connection nothing can have run, whatever ended it.
        let outcome = if stage == Stage::Connecting { Outcome::Unreached } else { outcome };
        let Some(latency) = self.state.end_attempt(request, attempt, outcome) else { return };
        self.state.actions.push_back(Action::CancelAttempt { request, attempt });
        self.report_to_router(
            request,
            attempt,
            outcome,
            latency,
            false,
            AttemptResult::from_outcome(outcome),
        );
        self.report_cancelled_attempts();
    }

    fn report_to_router(
        &mut self,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        latency: f64,
        settled: bool,
        result: AttemptResult,
    ) {
        let AttemptResult { found, company, report, .. } = result;
        let settled = settled || self.state.request_mut(request).is_some_and(|c| !c.answer_owed);
        let answer = Answer { shot: attempt, outcome, settled, latency, found, company, report };
        let now = self.state.now;
        self.router.answered(now, request.index, answer, &mut self.state);
    }

    /// Tells the router how the shots that it called off ended, until it calls off no more.
    fn report_cancelled_attempts(&mut self) {
        while let Some((request, attempt, outcome)) = self.state.cancelled_attempts.pop_front() {
            if let Some(latency) = self.state.end_attempt(request, attempt, outcome) {
                self.report_to_router(
                    request,
                    attempt,
                    outcome,
                    latency,
                    true,
                    AttemptResult::from_outcome(outcome),
                );
            }
        }
    }
}
