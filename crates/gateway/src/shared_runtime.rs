//! State shared by all cores: the dispatcher behind a lock, a slot for each core, and the limits that apply to all
//! cores together. Each dispatcher call passes one event and the current time. The resulting messages are posted under
//! the same lock, so that each mailbox receives them in the dispatcher's order.

use crate::action_router::{ActionRouter, RoutedMessage};
use crate::connection_limit::ConnectionLimit;
use crate::core_message::{CoreMessage, RequestLocation};
use crate::core_slot::{CoreSlot, MAX_CORES};
use crate::response::LocalResponse;
use crate::response_channel::ResponseChannel;
use milletpath_config::{FunctionConfig, GatewayConfig};
use milletpath_dispatcher::dispatcher::{Counters, Dispatcher, InterruptedRequest};
use milletpath_multicore::budget::Budget;
use milletpath_process_environment::wall_clock::unix_time;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Maximum number of messages of one request in a mailbox: its attempts, their cancellations and its response.
const MESSAGES_PER_REQUEST: usize = 8;

/// Capacity of a mailbox for messages that belong to no request: connections, load requests and health checks.
const OTHER_MESSAGES: usize = 1 << 16;

/// Duration in seconds above which a dispatcher call is logged.
const SLOW_DISPATCHER_CALL: f64 = 0.02;

/// The state protected by the lock.
struct DispatcherState {
    dispatcher: Dispatcher<RequestLocation>,
    /// The endpoints as last reported, kept for restarting the dispatcher.
    endpoints: BTreeMap<String, EndpointEntry>,
    /// The time at which the supervisor wakes next.
    next_wakeup: f64,
}

/// Counters of faults, for the log.
#[derive(Default)]
pub struct FaultCounters {
    /// Number of times that the dispatcher panicked and was restarted.
    pub dispatcher_restarts: AtomicU64,
    /// Number of core threads that ended or were abandoned.
    pub cores_lost: AtomicU64,
    /// Number of responses that the supervisor sent for stalled cores.
    pub responses_for_stalled_cores: AtomicU64,
}

/// A cancelled request of a core that was lost.
pub struct CancelledRequest {
    /// The client's connection.
    pub channel: Arc<ResponseChannel>,
    /// Whether a worker may have run the request.
    pub may_have_run: bool,
}

/// State shared by the threads of one gateway.
pub struct SharedRuntime {
    started: Instant,
    /// The configuration with which the process was started.
    pub config: GatewayConfig,
    state: Mutex<DispatcherState>,
    /// The slots of the cores, followed by the supervisor's slot.
    pub core_slots: Vec<CoreSlot>,
    /// Counters of faults.
    pub faults: FaultCounters,
    /// Wakes the supervisor when the dispatcher's next deadline has moved to an earlier time.
    pub deadline_moved: Notify,
    /// Set when the gateway shuts down.
    pub stopping: AtomicBool,
    /// The budget for bytes of bodies in memory.
    pub buffered_bytes: Arc<Budget>,
    /// The limit on client connections.
    pub client_connections: Arc<ConnectionLimit>,
    next_connection_id: AtomicU64,
    /// Connection limits by worker address. Unused ones are removed by
    /// [`remove_unused_limits`](Self::remove_unused_limits).
    worker_limits: Mutex<BTreeMap<SocketAddr, Arc<ConnectionLimit>>>,
    /// A random id that distinguishes this process from other gateways and from earlier processes of this one.
    pub instance_id: u32,
}

impl SharedRuntime {
    /// Creates the state of a gateway that is not serving yet.
    pub fn new(config: GatewayConfig) -> Arc<Self> {
        let limits = &config.limits;
        let cores = limits.cores.clamp(1, MAX_CORES);
        let request_messages = limits.max_open_requests.saturating_mul(MESSAGES_PER_REQUEST);
        let mailbox_capacity = request_messages.saturating_add(OTHER_MESSAGES);
        Arc::new(Self {
            started: Instant::now(),
            state: Mutex::new(DispatcherState {
                dispatcher: Dispatcher::new(&config, unix_time()),
                endpoints: BTreeMap::new(),
                next_wakeup: f64::INFINITY,
            }),
            core_slots: (0..=cores).map(|_| CoreSlot::new(mailbox_capacity)).collect(),
            faults: FaultCounters::default(),
            deadline_moved: Notify::new(),
            stopping: AtomicBool::new(false),
            buffered_bytes: Arc::new(Budget::new(limits.max_buffered_bytes)),
            client_connections: ConnectionLimit::new(limits.max_connections),
            next_connection_id: AtomicU64::new(0),
            worker_limits: Mutex::default(),
            instance_id: RandomState::new().hash_one(std::process::id()) as u32,
            config,
        })
    }

    /// Number of cores that serve clients, which is also the index of the supervisor's slot.
    pub fn cores(&self) -> usize {
        self.core_slots.len() - 1
    }

    /// The supervisor's slot.
    pub fn supervisor(&self) -> &CoreSlot {
        &self.core_slots[self.cores()]
    }

    /// Seconds since the process started, on the monotonic clock.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// The time that is this many seconds after the start of the process.
    pub fn instant_at(&self, seconds: f64) -> Instant {
        self.started + Duration::from_secs_f64(seconds.max(0.0))
    }

    /// Returns a new id for a client connection.
    pub fn new_connection_id(&self) -> u64 {
        self.next_connection_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Locks the dispatcher, restarting it first if it has panicked.
    fn lock(&self) -> MutexGuard<'_, DispatcherState> {
        self.state.lock().unwrap_or_else(|poisoned| {
            let mut state = poisoned.into_inner();
            self.restart_dispatcher(&mut state);
            self.state.clear_poison();
            state
        })
    }

    fn restart_dispatcher(&self, state: &mut DispatcherState) {
        let now = self.now();
        let interrupted = state.dispatcher.restart(&self.config, now);
        self.faults.dispatcher_restarts.fetch_add(1, Ordering::Relaxed);
        tracing::error!(
            requests = interrupted.len(),
            "dispatcher panicked; restarting it and answering all open requests"
        );
        let endpoints: Vec<_> = state.endpoints.values().cloned().collect();
        if !endpoints.is_empty() {
            state.dispatcher.update_endpoints(now, true, &endpoints);
        }
        for InterruptedRequest { context: location, may_have_run } in interrupted {
            let RequestLocation { core, request_slot, channel } = location;
            let response = LocalResponse::interrupted(may_have_run);
            self.post(core, CoreMessage::Respond { request_slot, response, channel });
            self.core_slots[core].wake.notify_one();
        }
        state.next_wakeup = f64::NEG_INFINITY;
        self.deadline_moved.notify_one();
    }

    /// Calls the dispatcher with the current time, posts the resulting messages, and wakes the cores that receive them.
    /// `calling_core` is not woken, because it checks its mailbox itself.
    pub fn with_dispatcher<R>(
        &self,
        calling_core: Option<usize>,
        operation: impl FnOnce(&mut Dispatcher<RequestLocation>, f64) -> R,
    ) -> R {
        let mut state = self.lock();
        // Read under the lock, so that the dispatcher's time never goes backwards between calls of different cores.
        let now = self.now();
        let result = operation(&mut state.dispatcher, now);
        let woken = self.post_actions(&mut state.dispatcher, calling_core, now);
        let deadline = state.dispatcher.next_deadline().unwrap_or(f64::INFINITY);
        if deadline < state.next_wakeup {
            state.next_wakeup = deadline;
            self.deadline_moved.notify_one();
        }
        let seconds = self.now() - now;
        if seconds > SLOW_DISPATCHER_CALL {
            let (open, functions) = (state.dispatcher.open_requests(), state.dispatcher.function_count());
            tracing::warn!(seconds, open, functions, "one call of the dispatcher took long");
        }
        drop(state);
        for (core, slot) in self.core_slots.iter().enumerate() {
            if woken >> core & 1 == 1 && calling_core != Some(core) {
                slot.wake.notify_one();
            }
        }
        result
    }

    /// Posts the dispatcher's actions as messages. Returns the cores to wake, one bit each.
    fn post_actions(
        &self,
        dispatcher: &mut Dispatcher<RequestLocation>,
        calling_core: Option<usize>,
        now: f64,
    ) -> u64 {
        let router = ActionRouter { calling_core, cores: self.cores(), now };
        let mut woken = 0;
        while let Some(action) = dispatcher.next_action() {
            if let Some(RoutedMessage { core, message }) = router.route(dispatcher, action) {
                woken |= u64::from(self.post(core, message)) << core;
            }
        }
        woken
    }

    /// Puts a message into a mailbox. Returns whether its core must be woken.
    fn post(&self, core: usize, message: CoreMessage) -> bool {
        self.core_slots[core].mailbox.push(message).unwrap_or_else(|_| {
            tracing::error!(core, "mailbox full; message dropped, the affected operation will time out");
            false
        })
    }

    /// Sends a core a message that does not result from a dispatcher action.
    pub fn send(&self, core: usize, message: CoreMessage) {
        if self.post(core, message) {
            self.core_slots[core].wake.notify_one();
        }
    }

    /// Queries the dispatcher without posting messages.
    pub fn query_dispatcher<R>(&self, query: impl FnOnce(&mut Dispatcher<RequestLocation>) -> R) -> R {
        query(&mut self.lock().dispatcher)
    }

    /// Returns the current configuration of a function. Without a configuration log it can't change, and the dispatcher
    /// is not locked.
    pub fn function_config(&self, function: &str) -> FunctionConfig {
        match &self.config.config_log {
            None => self.config.functions.resolve(function),
            Some(_) => self.query_dispatcher(|dispatcher| dispatcher.function_config(function)),
        }
    }

    /// Passes one revision of the endpoint list to the dispatcher. If `complete`, it replaces the whole list.
    pub fn update_endpoints(&self, calling_core: Option<usize>, complete: bool, entries: &[EndpointEntry]) {
        self.store_endpoints(complete, entries);
        self.with_dispatcher(calling_core, |dispatcher, now| {
            dispatcher.wall_clock_read(now, unix_time());
            dispatcher.update_endpoints(now, complete, entries);
        });
    }

    fn store_endpoints(&self, complete: bool, entries: &[EndpointEntry]) {
        let mut state = self.lock();
        if complete {
            state.endpoints.clear();
        }
        for entry in entries {
            if entry.state == EndpointStatus::Gone {
                state.endpoints.remove(&entry.name);
            } else {
                state.endpoints.insert(entry.name.clone(), entry.clone());
            }
        }
    }

    /// Cancels all open requests of a lost core.
    pub fn cancel_requests_of_core(&self, core: usize) -> Vec<CancelledRequest> {
        self.with_dispatcher(None, |dispatcher, now| {
            let requests = dispatcher.requests(|location| location.core == core);
            let cancel = |request| {
                let channel = dispatcher.context(request)?.channel.clone();
                let may_have_run = dispatcher.client_gone(now, request);
                Some(CancelledRequest { channel, may_have_run })
            };
            requests.into_iter().filter_map(cancel).collect()
        })
    }

    /// Sets the supervisor's next wakeup to the dispatcher's next deadline, but not later than `latest`, and returns
    /// it.
    pub fn schedule_wakeup(&self, latest: f64) -> f64 {
        let mut state = self.lock();
        state.next_wakeup = state.dispatcher.next_deadline().unwrap_or(f64::INFINITY).min(latest);
        state.next_wakeup
    }

    /// Whether a deadline passed more than `seconds` ago, in which case the supervisor must be stalled.
    pub fn is_overdue(&self, seconds: f64) -> bool {
        let now = self.now();
        let deadline = self.query_dispatcher(|dispatcher| dispatcher.next_deadline());
        deadline.is_some_and(|deadline| deadline < now - seconds)
    }

    /// Request counters since the start.
    pub fn counters(&self) -> Counters {
        self.query_dispatcher(|dispatcher| dispatcher.counters())
    }

    /// Returns the limit on connections to a worker, shared by all cores.
    pub fn worker_connection_limit(&self, address: SocketAddr) -> Arc<ConnectionLimit> {
        let max_connections = self.config.limits.max_connections_per_worker;
        let new_limit = || ConnectionLimit::new(max_connections);
        self.worker_limits().entry(address).or_insert_with(new_limit).clone()
    }

    /// Removes the limits of workers to which no connection is open.
    pub fn remove_unused_limits(&self) {
        self.worker_limits().retain(|_, limit| Arc::strong_count(limit) > 1);
    }

    fn worker_limits(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<ConnectionLimit>>> {
        self.worker_limits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
