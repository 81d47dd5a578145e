//! What all emulated parts of one place share: the clock, the history, the store, the functions, the idempotency keys and
//! the random numbers.

use crate::store::{Store, StoreSpec};
use crate::worker_model::FunctionModel;
use milletpath_history_checker::{HistoryEvent, HistoryRecord};
use milletpath_protocol::worker::InstanceState;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// Which optional fields workers report with a response.
#[derive(Clone, Copy, Debug)]
pub struct ReportedFields {
    /// Whether an instance was loaded.
    pub instance_state: bool,
    /// Requests of the same function at the same time.
    pub concurrent_requests: bool,
    /// A load report, beside those of health checks.
    pub load: bool,
}

impl ReportedFields {
    /// All of them.
    pub const ALL: Self = Self { instance_state: true, concurrent_requests: true, load: true };
}

/// What a context begins with.
#[derive(Clone, Copy, Debug)]
pub struct ContextOptions {
    /// The seed of the random numbers.
    pub seed: u64,
    /// The store that all workers load from.
    pub store: StoreSpec,
    /// The figures of every function.
    pub function_model: FunctionModel,
    /// What workers report.
    pub reported_fields: ReportedFields,
    /// Seconds for which an idempotency key is known.
    pub idempotency_window: f64,
}

/// How many completed requests found an instance that was loaded already.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmRequests {
    warm: u64,
    completed: u64,
}

impl WarmRequests {
    /// Counts a completed request.
    pub fn record(&mut self, instance_state: InstanceState) {
        self.warm += u64::from(instance_state == InstanceState::Loaded);
        self.completed += 1;
    }

    /// The fraction that found one, 0 if none was completed.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.warm as f64 / self.completed.max(1) as f64
    }
}

/// A function by its number.
#[derive(Clone, Copy, Debug)]
pub struct KnownFunction {
    /// The number by which worker models know it.
    pub number: u32,
    /// Its figures.
    pub model: FunctionModel,
}

/// An idempotency key, as a group of workers shares it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdempotencyKey {
    group: u32,
    key: String,
}

/// Shared by the emulated workers and the registry of one thread.
pub struct EmulatorContext {
    started: Instant,
    history: RefCell<Vec<HistoryRecord>>,
    /// The store that all workers load from.
    pub store: RefCell<Store>,
    /// Completed requests.
    pub warm_requests: Cell<WarmRequests>,
    functions: RefCell<BTreeMap<String, KnownFunction>>,
    function_model: FunctionModel,
    /// What workers report.
    pub reported_fields: ReportedFields,
    /// When each key was used first.
    executed_keys: RefCell<BTreeMap<IdempotencyKey, f64>>,
    idempotency_window: f64,
    rng: RefCell<ChaCha8Rng>,
}

impl EmulatorContext {
    /// A context whose clock is at 0 at `started`.
    #[must_use]
    pub fn new(started: Instant, options: ContextOptions) -> Rc<Self> {
        Rc::new(Self {
            started,
            history: RefCell::default(),
            store: RefCell::new(Store::new(options.store)),
            warm_requests: Cell::default(),
            functions: RefCell::default(),
            function_model: options.function_model,
            reported_fields: options.reported_fields,
            executed_keys: RefCell::default(),
            idempotency_window: options.idempotency_window,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(options.seed)),
        })
    }

    /// Seconds since the start.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds what happened just now to the history.
    pub fn record(&self, event: HistoryEvent) {
        let at = self.now();
        self.history.borrow_mut().push(HistoryRecord { at, event });
    }

    /// Takes the history so far.
    #[must_use]
    pub fn take_history(&self) -> Vec<HistoryRecord> {
        self.history.take()
    }

    /// Counts a completed request by what it found.
    pub fn count_completed_request(&self, instance_state: InstanceState) {
        let mut warm_requests = self.warm_requests.get();
        warm_requests.record(instance_state);
        self.warm_requests.set(warm_requests);
    }

    /// A function by its name; a new name gets the next number.
    #[must_use]
    pub fn function(&self, name: &str) -> KnownFunction {
        let mut functions = self.functions.borrow_mut();
        if let Some(known) = functions.get(name) {
            return *known;
        }
        let new = KnownFunction { number: functions.len() as u32, model: self.function_model };
        functions.insert(name.to_owned(), new);
        new
    }

    /// Functions that were named so far.
    #[must_use]
    pub fn function_count(&self) -> usize {
        self.functions.borrow().len()
    }

    /// Whether an idempotency key is new to a group of workers; it is known from now on.
    #[must_use]
    pub fn register_key(&self, group: u32, key: &str) -> bool {
        let now = self.now();
        let key = IdempotencyKey { group, key: key.to_owned() };
        let mut executed_keys = self.executed_keys.borrow_mut();
        if executed_keys.get(&key).is_some_and(|first_use| now - first_use < self.idempotency_window) {
            return false;
        }
        executed_keys.insert(key, now);
        true
    }

    /// Whether something of this probability happens now.
    #[must_use]
    pub fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().random_bool(probability.min(1.0))
    }
}
