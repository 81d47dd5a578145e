//! State that all emulated components of one thread share: clock, history, store, functions, idempotency keys and
//! random numbers.

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

/// The optional fields that workers report with a response.
#[derive(Clone, Copy, Debug)]
pub struct ReportedFields {
    /// The state of the instance: loaded already, or how its load went.
    pub instance_state: bool,
    /// The number of concurrent requests for the same function.
    pub concurrent_requests: bool,
    /// A load report, in addition to those of health checks.
    pub load: bool,
}

impl ReportedFields {
    /// All optional fields.
    pub const ALL: Self = Self { instance_state: true, concurrent_requests: true, load: true };
}

/// Initial values of an [`EmulatorContext`].
#[derive(Clone, Copy, Debug)]
pub struct ContextOptions {
    /// Seed for random numbers.
    pub seed: u64,
    /// The store from which all workers load functions.
    pub store: StoreSpec,
    /// The resource needs of every function.
    pub function_model: FunctionModel,
    /// The optional fields that workers report.
    pub reported_fields: ReportedFields,
    /// Seconds for which an idempotency key is remembered.
    pub idempotency_window: f64,
}

/// Counts of completed requests, and of those among them that found a loaded instance.
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

    /// The fraction of the completed requests that found a loaded instance; 0 if none was completed.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.warm as f64 / self.completed.max(1) as f64
    }
}

/// A function that a request has named.
#[derive(Clone, Copy, Debug)]
pub struct KnownFunction {
    /// The number that identifies it in worker models.
    pub number: u32,
    /// Its resource needs.
    pub model: FunctionModel,
}

/// An idempotency key; a group of workers shares its keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdempotencyKey {
    group: u32,
    key: String,
}

/// State shared by the emulated components of one thread, such as the workers and the registry.
pub struct EmulatorContext {
    started: Instant,
    history: RefCell<Vec<HistoryRecord>>,
    /// The store from which all workers load functions.
    pub store: RefCell<Store>,
    /// Counts of completed and of warm requests.
    pub warm_requests: Cell<WarmRequests>,
    functions: RefCell<BTreeMap<String, KnownFunction>>,
    function_model: FunctionModel,
    /// The optional fields that workers report.
    pub reported_fields: ReportedFields,
    /// When each idempotency key was first used.
    executed_keys: RefCell<BTreeMap<IdempotencyKey, f64>>,
    idempotency_window: f64,
    rng: RefCell<ChaCha8Rng>,
}

impl EmulatorContext {
    /// Creates a context whose clock reads 0 at `started`.
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

    /// Seconds on the context's clock.
    #[must_use]
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Appends an event to the history, at the current time.
    pub fn record(&self, event: HistoryEvent) {
        let at = self.now();
        self.history.borrow_mut().push(HistoryRecord { at, event });
    }

    /// Takes the history recorded so far.
    #[must_use]
    pub fn take_history(&self) -> Vec<HistoryRecord> {
        self.history.take()
    }

    /// Counts a completed request by the instance state that it found.
    pub fn count_completed_request(&self, instance_state: InstanceState) {
        let mut warm_requests = self.warm_requests.get();
        warm_requests.record(instance_state);
        self.warm_requests.set(warm_requests);
    }

    /// Returns the function of this name; a new name is assigned the next number.
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

    /// The number of functions named so far.
    #[must_use]
    pub fn function_count(&self) -> usize {
        self.functions.borrow().len()
    }

    /// Registers the use of an idempotency key by a group of workers. Returns false if the key was already used within
    /// the idempotency window.
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

    /// Returns true with the given probability. If that is 0, no random number is drawn.
    #[must_use]
    pub fn random_bool(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().random_bool(probability.min(1.0))
    }
}
