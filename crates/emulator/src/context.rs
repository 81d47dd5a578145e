//! What all stand-ins of one place share: the clock, the notebook, the store, the functions, the receipts, chance.

use crate::store::{Store, StoreSpec};
use crate::worker_model::FunctionModel;
use milletpath_history_checker::{HistoryEvent, HistoryRecord};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

/// What workers tell of themselves.
#[derive(Clone, Copy, Debug)]
pub struct ReportedFields {
    /// Whether an instance stood, on answers.
    pub found: bool,
    /// Activations of the same function, on answers.
    pub concurrent_requests: bool,
    /// Load reports on answers, beside those on probes.
    pub load: bool,
}

pub struct EmulatorContext {
    began: Instant,
    notes: RefCell<Vec<HistoryRecord>>,
    pub store: RefCell<Store>,
    /// Calls done by an instance that stood there when they came, and all that were done.
    pub warm: Cell<(u64, u64)>,
    packs: RefCell<BTreeMap<String, (u32, FunctionModel)>>,
    usual: FunctionModel,
    pub tells: ReportedFields,
    /// Receipts by group of workers and mark, with when they were noted.
    receipts: RefCell<BTreeMap<(u32, String), f64>>,
    /// Seconds for which a receipt is known.
    memory: f64,
    chance: RefCell<ChaCha8Rng>,
}

impl EmulatorContext {
    pub fn new(
        began: Instant,
        seed: u64,
        store_spec: StoreSpec,
        usual: FunctionModel,
        tells: ReportedFields,
        memory: f64,
    ) -> Rc<Self> {
        Rc::new(Self {
            began,
            notes: RefCell::default(),
            store: RefCell::new(Store::new(store_spec)),
            warm: Cell::default(),
            packs: RefCell::default(),
            usual,
            tells,
            receipts: RefCell::default(),
            memory,
            chance: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        })
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Notes what passed just now.
    pub fn note(&self, event: HistoryEvent) {
        let at = self.now();
        self.notes.borrow_mut().push(HistoryRecord { at, event });
    }

    pub fn notes(&self) -> Vec<HistoryRecord> {
        std::mem::take(&mut self.notes.borrow_mut())
    }

    /// States the figures of a function; others have the usual ones.
    pub fn state(&self, function: &str, function_model: FunctionModel) {
        let (number, _) = self.function_model(function);
        self.packs.borrow_mut().insert(function.to_owned(), (number, function_model));
    }

    /// The number and figures of a function.
    pub fn function_model(&self, function: &str) -> (u32, FunctionModel) {
        let mut packs = self.packs.borrow_mut();
        if let Some(known) = packs.get(function) {
            return *known;
        }
        let known = (packs.len() as u32, self.usual);
        packs.insert(function.to_owned(), known);
        known
    }

    /// Functions that were named so far.
    pub fn functions(&self) -> usize {
        self.packs.borrow().len()
    }

    /// Whether a mark is known to a group as of now; it is from now on.
    pub fn known(&self, group: u32, mark: &str) -> bool {
        let now = self.now();
        let mut receipts = self.receipts.borrow_mut();
        let before = receipts.insert((group, mark.to_owned()), now);
        if let Some(at) = before.filter(|at| now - at < self.memory) {
            // Known since the first time.
            receipts.insert((group, mark.to_owned()), at);
            return true;
        }
        false
    }

    /// Whether something that happens with such a chance happens now.
    pub fn happens(&self, chance: f64) -> bool {
        chance > 0.0 && self.chance.borrow_mut().random_bool(chance.min(1.0))
    }
}
