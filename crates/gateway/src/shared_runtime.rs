//! What all cores of the gateway share: the desk, which they enter in turn, a seat for each of them with its mailbox
//! and its pulse, and the bounds on all together. Whoever enters tells the desk one thing, on the true clock, and
//! posts what follows to the cores whose calls it is about, in the order in which the desk said it.

use crate::connection_pool::{ConnectionLimit, Endpoint};
use crate::response::LocalResponse;
use crate::response_channel::ResponseChannel;
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
pub struct RequestLocation {
    pub core: usize,
    pub request_slot: usize,
    pub channel: Arc<ResponseChannel>,
}

/// A client connection's part of the bound on all; given back when dropped.
pub struct ConnectionPermit(pub Arc<SharedRuntime>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.client_connections.give_back(1);
        self.0.connection_closed.notify_one();
    }
}

/// What a core is to do, with all that it takes.
pub enum CoreMessage {
    /// A client's connection.
    AcceptConnection(std::net::TcpStream, ConnectionPermit),
    SendAttempt {
        request: RequestId,
        request_slot: usize,
        attempt: usize,
        worker: usize,
        endpoint: Endpoint,
        function: Arc<str>,
        /// Seconds that the shot has.
        time_left: f64,
    },
    CancelAttempt {
        request: RequestId,
        request_slot: usize,
        attempt: usize,
    },
    Respond {
        request_slot: usize,
        local: LocalResponse,
        channel: Arc<ResponseChannel>,
    },
    LoadFunction {
        load_request: RequestId,
        worker: usize,
        endpoint: Endpoint,
        function: Arc<str>,
        instances: u8,
    },
    UnloadFunction {
        worker: usize,
        endpoint: Endpoint,
        function: Arc<str>,
    },
    HealthCheck {
        worker: usize,
        endpoint: Endpoint,
        serial: u64,
    },
    WatchEndpoints,
    /// Another core has need of a place among this worker's connections.
    CloseIdleConnection {
        worker: usize,
    },
    InjectFault(FaultInjection),
}

/// Mischief for tests and days: what can go wrong with a core, on demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultInjection {
    /// The thread of a core does nothing for so many seconds.
    Stall(f64),
    /// The thread of a core ends by a panic.
    Panic,
    /// The decisions panic, in the hands of a core.
    DispatcherPanic,
}

/// One core as the others see it; on cache lines of its local, as each writes on its seat with every call.
#[repr(align(128))]
pub struct CoreSlot {
    pub mail: Mailbox<CoreMessage>,
    pub wake: Notify,
    pub pulse: Pulse,
    /// Client connections, and those of them that are open, by a number.
    pub channels: Mutex<BTreeMap<u64, Arc<ResponseChannel>>>,
    pub open: AtomicUsize,
    pub requests: AtomicU64,
    /// Connections that it should send away, and the calls a second that one of them may have, as bits.
    pub connections_to_close: AtomicUsize,
    pub max_rate_to_close: AtomicU64,
}

impl CoreSlot {
    fn new(mailbox_capacity: usize) -> Self {
        Self {
            mail: Mailbox::new(mailbox_capacity),
            wake: Notify::new(),
            pulse: Pulse::new(0.0),
            channels: Mutex::default(),
            open: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
            connections_to_close: AtomicUsize::new(0),
            max_rate_to_close: AtomicU64::new(0),
        }
    }

    /// Whether a connection that brings so many calls a second is one to send away now.
    pub fn should_close_connection(&self, rate: f64) -> bool {
        let decrement = |n: usize| n.checked_sub(1);
        self.connections_to_close.load(Ordering::Relaxed) > 0
            && rate <= f64::from_bits(self.max_rate_to_close.load(Ordering::Relaxed))
            && self.connections_to_close.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok()
    }

    pub fn channels(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ResponseChannel>>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct State {
    dispatcher: Dispatcher<RequestLocation>,
    /// The list as it stands, for a desk that must begin anew.
    endpoints: BTreeMap<String, Entry>,
    /// The time for which the keeper's clock is set.
    next_wakeup: f64,
}

pub struct SharedRuntime {
    began: Instant,
    pub config: GatewayConfig,
    state: Mutex<State>,
    /// One for each core, and the last for the keeper.
    pub core_slots: Vec<CoreSlot>,
    /// Desks that broke, cores that were lost, and calls answered for cores that stood still.
    pub dispatcher_restarts: AtomicU64,
    pub cores_lost: AtomicU64,
    pub responses_for_stalled_cores: AtomicU64,
    pub deadline_moved: Notify,
    pub stopping: AtomicBool,
    /// Bytes in hand, and client connections.
    pub buffered_bytes: Arc<Budget>,
    pub client_connections: Budget,
    pub connection_closed: Notify,
    next_connection_id: AtomicU64,
    connection_limits: Mutex<BTreeMap<SocketAddr, Arc<ConnectionLimit>>>,
    /// Told apart in logs and ids from other gateways and earlier lives.
    pub instance_id: u32,
}

/// Seats at latest: one bit each in the set of those to be woken.
pub const MAX_CORES: usize = 63;

impl SharedRuntime {
    pub fn new(config: GatewayConfig) -> Arc<Self> {
        let cores = config.limits.cores.clamp(1, MAX_CORES);
        // A call has few mailbox_capacity at a time: its shots, their ends and its answer; the rest is for orders and probes.
        let mailbox_capacity = config.limits.max_open_requests.saturating_mul(8).saturating_add(1 << 16);
        Arc::new(Self {
            began: Instant::now(),
            state: Mutex::new(State {
                dispatcher: Dispatcher::new(&config, unix_time()),
                endpoints: BTreeMap::new(),
                next_wakeup: f64::INFINITY,
            }),
            core_slots: (0..=cores).map(|_| CoreSlot::new(mailbox_capacity)).collect(),
            dispatcher_restarts: AtomicU64::new(0),
            cores_lost: AtomicU64::new(0),
            responses_for_stalled_cores: AtomicU64::new(0),
            deadline_moved: Notify::new(),
            stopping: AtomicBool::new(false),
            buffered_bytes: Arc::new(Budget::new(config.limits.max_buffered_bytes)),
            client_connections: Budget::new(config.limits.max_connections),
            connection_closed: Notify::new(),
            next_connection_id: AtomicU64::new(0),
            connection_limits: Mutex::default(),
            instance_id: RandomState::new().hash_one(std::process::id()) as u32,
            config,
        })
    }

    /// Cores; also the keeper's seat.
    pub fn cores(&self) -> usize {
        self.core_slots.len() - 1
    }

    pub fn supervisor(&self) -> &CoreSlot {
        &self.core_slots[self.cores()]
    }

    /// Seconds on the true clock since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn new_connection_id(&self) -> u64 {
        self.next_connection_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Enters the desk. One whose decisions broke is replaced by an empty one first.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| {
            let mut state = poisoned.into_inner();
            self.restart_dispatcher(&mut state);
            self.state.clear_poison();
            state
        })
    }

    fn restart_dispatcher(&self, state: &mut State) {
        let now = self.now();
        let open = state.dispatcher.restart(&self.config, now);
        self.dispatcher_restarts.fetch_add(1, Ordering::Relaxed);
        tracing::error!(
            calls = open.len(),
            "the decisions broke; they begin anew, and open calls are answered"
        );
        let endpoints: Vec<_> = state.endpoints.values().cloned().collect();
        if !endpoints.is_empty() {
            state.dispatcher.update_endpoints(now, true, &endpoints);
        }
        for InterruptedRequest { context: location, may_have_run } in open {
            let local = LocalResponse::interrupted(may_have_run);
            self.post(
                location.core,
                CoreMessage::Respond {
                    request_slot: location.request_slot,
                    local,
                    channel: location.channel,
                },
            );
            self.core_slots[location.core].wake.notify_one();
        }
        state.next_wakeup = f64::NEG_INFINITY;
        self.deadline_moved.notify_one();
    }

    /// Tells the desk something at the present time; `seat` is the core that does. What follows is posted, and the
    /// other cores are woken for theirs.
    pub fn with_dispatcher<R>(
        &self,
        core: Option<usize>,
        operation: impl FnOnce(&mut Dispatcher<RequestLocation>, f64) -> R,
    ) -> R {
        /// Seconds past which one event's decisions are worth a line in the log.
        const SLOW_DECISION: f64 = 0.02;
        let mut state = self.lock();
        // Read under the lock: the desk's time never goes back, whichever core comes next.
        let now = self.now();
        let result = operation(&mut state.dispatcher, now);
        let mut wake = 0u64;
        while let Some(action) = state.dispatcher.next_action() {
            if let Some((to, message)) = self.message_for(&mut state.dispatcher, core, now, action) {
                wake |= u64::from(self.post(to, message)) << to;
            }
        }
        let next = state.dispatcher.next_deadline().unwrap_or(f64::INFINITY);
        if next < state.next_wakeup {
            state.next_wakeup = next;
            self.deadline_moved.notify_one();
        }
        let elapsed = self.now() - now;
        if elapsed > SLOW_DECISION {
            let (open, functions) = (state.dispatcher.open_requests(), state.dispatcher.function_count());
            tracing::warn!(seconds = elapsed, open, functions, "one event took long to decide");
        }
        drop(state);
        for (n, other) in self.core_slots.iter().enumerate() {
            if wake >> n & 1 == 1 && core != Some(n) {
                other.wake.notify_one();
            }
        }
        result
    }

    /// Posts an errand; true where its core must be woken. Called state the desk, so that mailbox_capacity lie in the order
    /// of the desk's acts.
    fn post(&self, core: usize, message: CoreMessage) -> bool {
        self.core_slots[core].mail.put(message).unwrap_or_else(|_| {
            tracing::error!(core, "a core's mailbox is full; what it was to do is left to its time limits");
            false
        })
    }

    /// Posts an errand that no event led to.
    pub fn send(&self, core: usize, message: CoreMessage) {
        if self.post(core, message) {
            self.core_slots[core].wake.notify_one();
        }
    }

    /// Makes an act into an errand for a core: a call's local, and for the rest the one at the desk, or that to
    /// which the worker falls where the keeper is.
    fn message_for(
        &self,
        dispatcher: &mut Dispatcher<RequestLocation>,
        core: Option<usize>,
        now: f64,
        action: Action,
    ) -> Option<(usize, CoreMessage)> {
        let executing_core =
            |worker: usize| core.filter(|s| *s < self.cores()).unwrap_or(worker % self.cores());
        let endpoint_of = |dispatcher: &Dispatcher<RequestLocation>, worker| {
            let WorkerProcess { address, process } = dispatcher.worker_process(worker);
            Endpoint { address, process }
        };
        let respond = |dispatcher: &mut Dispatcher<RequestLocation>, request, local| {
            let location = dispatcher.context(request)?;
            Some((
                location.core,
                CoreMessage::Respond {
                    request_slot: location.request_slot,
                    local,
                    channel: location.channel.clone(),
                },
            ))
        };
        match action {
            Action::SendAttempt { request, attempt, worker } => {
                let endpoint = endpoint_of(dispatcher, worker);
                // None where it was called off in the same breath.
                let time_left = dispatcher.time_left(now, request, attempt)?;
                let function = dispatcher.function(request)?;
                let location = dispatcher.context(request)?;
                let (core, request_slot) = (location.core, location.request_slot);
                Some((
                    core,
                    CoreMessage::SendAttempt {
                        request,
                        request_slot,
                        attempt,
                        worker,
                        endpoint,
                        function,
                        time_left,
                    },
                ))
            }
            Action::CancelAttempt { request, attempt } => {
                let location = dispatcher.context(request)?;
                Some((
                    location.core,
                    CoreMessage::CancelAttempt { request, request_slot: location.request_slot, attempt },
                ))
            }
            Action::Reject { request, retry_after } => {
                respond(dispatcher, request, LocalResponse::Rejected(retry_after))
            }
            Action::Fail { request, timed_out } => {
                respond(dispatcher, request, LocalResponse::Failed { timed_out })
            }
            Action::LoadFunction { load_request, worker, function, instances } => Some((
                executing_core(worker),
                CoreMessage::LoadFunction {
                    load_request,
                    worker,
                    endpoint: endpoint_of(dispatcher, worker),
                    function,
                    instances,
                },
            )),
            Action::UnloadFunction { worker, function } => Some((
                executing_core(worker),
                CoreMessage::UnloadFunction { worker, endpoint: endpoint_of(dispatcher, worker), function },
            )),
            Action::HealthCheck { worker, serial } => Some((
                executing_core(worker),
                CoreMessage::HealthCheck { worker, endpoint: endpoint_of(dispatcher, worker), serial },
            )),
            Action::WatchEndpoints => Some((self.cores(), CoreMessage::WatchEndpoints)),
        }
    }

    /// Looks something up at the desk.
    pub fn query_dispatcher<R>(&self, operation: impl FnOnce(&mut Dispatcher<RequestLocation>) -> R) -> R {
        operation(&mut self.lock().dispatcher)
    }

    /// The figures of a function, as they are in force. Where no change can come the desk is not entered.
    pub fn function_config(&self, function: &str) -> FunctionConfig {
        match &self.config.config_log {
            None => self.config.functions.resolve(function),
            Some(_) => self.query_dispatcher(|dispatcher| dispatcher.function_config(function)),
        }
    }

    /// Passes on one edition of the worker list, and keeps what it says.
    pub fn update_endpoints(&self, core: Option<usize>, complete: bool, entries: &[Entry]) {
        {
            let mut state = self.lock();
            if complete {
                state.endpoints.clear();
            }
            for entry in entries {
                if entry.state == Standing::Gone {
                    state.endpoints.remove(&entry.name);
                } else {
                    state.endpoints.insert(entry.name.clone(), entry.clone());
                }
            }
        }
        self.with_dispatcher(core, |dispatcher, now| {
            dispatcher.wall_clock_read(now, unix_time());
            dispatcher.update_endpoints(now, complete, entries);
        });
    }

    /// Ends the calls of a core that is lost; gives their lines, and whether something of them may have run.
    pub fn cancel_requests_of_core(&self, core: usize) -> Vec<(Arc<ResponseChannel>, bool)> {
        self.with_dispatcher(None, |dispatcher, now| {
            let requests = dispatcher.requests(|location| location.core == core);
            let cancel = |request| {
                let channel = dispatcher.context(request)?.channel.clone();
                Some((channel, dispatcher.client_gone(now, request)))
            };
            requests.into_iter().filter_map(cancel).collect()
        })
    }

    /// Sets the keeper's clock for what is due next, at latest `latest`.
    pub fn schedule_wakeup(&self, latest: f64) -> f64 {
        let mut state = self.lock();
        state.next_wakeup = state.dispatcher.next_deadline().unwrap_or(f64::INFINITY).min(latest);
        state.next_wakeup
    }

    /// Whether something is due for so long that the keeper must be standing still.
    pub fn is_overdue(&self, by: f64) -> bool {
        let now = self.now();
        self.query_dispatcher(|dispatcher| dispatcher.next_deadline()).is_some_and(|next| next < now - by)
    }

    pub fn counters(&self) -> Counters {
        self.query_dispatcher(|dispatcher| dispatcher.counters())
    }

    /// The connections of a worker, over all cores.
    pub fn connection_limit(&self, address: SocketAddr) -> Arc<ConnectionLimit> {
        let mut connection_limits = self.connection_limits.lock().unwrap_or_else(PoisonError::into_inner);
        connection_limits
            .entry(address)
            .or_insert_with(|| Arc::new(ConnectionLimit::new(self.config.limits.max_connections_per_worker)))
            .clone()
    }

    /// Forgets the rooms that no connection is in.
    pub fn remove_unused_limits(&self) {
        let mut connection_limits = self.connection_limits.lock().unwrap_or_else(PoisonError::into_inner);
        connection_limits.retain(|_, limit| Arc::strong_count(limit) > 1);
    }
}
