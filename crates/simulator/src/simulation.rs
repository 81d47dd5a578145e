//! A day in simulated time. What happens next is taken from one queue, by time and then by order of coming in: the same
//! seed gives the same history.

use crate::clients::Call;
use crate::clocks::Variation;
use crate::links::Links;
use crate::workers::Worker;
use milletpath_config::GatewayConfig;
use milletpath_dispatcher::dispatcher::{
    Action, AttemptResult, Counters, Dispatcher, IncomingRequest, RequestId,
};
use milletpath_emulator::clients::gateway_weights;
use milletpath_emulator::scenario::{self, GatewayConfigFile};
use milletpath_emulator::scenario_file::Scenario;
use milletpath_emulator::store::Store;
use milletpath_emulator::traffic;
use milletpath_emulator::worker_model::{LoadFigures, WorkerModel};
use milletpath_history_checker::{
    self as witness, AttemptOutcome, HistoryEvent, HistoryRecord, Idempotency, ServiceCounts, Violation,
};
use milletpath_policy::{LoadReport, Outcome};
use milletpath_protocol::registry::EndpointEntry;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

/// Seconds that a message takes from one process to another: what loopback and a busy machine add.
pub(crate) const NETWORK_DELAY: f64 = 0.0003;

/// Seconds by which the stand-ins may be late, for the witness.
pub(crate) const CHECKER_TOLERANCE: f64 = 0.01;

/// What came of a day.
pub struct SimulationReport {
    pub records: Vec<HistoryRecord>,
    pub broken: Vec<Violation>,
    pub whole: ServiceCounts,
    pub fetches: u64,
    pub refusals: u64,
    /// Part of the calls done that found an instance standing.
    pub warm: f64,
    /// What the gateways did, all together.
    pub counters: Counters,
    /// Bytes of notes that a gateway sent to others, a second.
    pub bytes: f64,
}

/// What happens at a time.
pub(crate) enum Event {
    /// A client's try goes out, comes in at its gateway, ends.
    Try(usize, u32),
    Arrive(usize, u32, usize),
    Answered(usize, u32, usize, AttemptOutcome),
    Leaves(usize, u32, usize),
    /// A timer of a dispatcher is due; at an engine, of that process.
    DispatcherTimer(usize),
    WorkerModel(usize, u64),
    Fetched(usize, u64, u64, bool),
    /// A shot, an order, a probe comes in at a worker's process.
    Attempt {
        gateway: usize,
        tag: RequestId,
        shot: usize,
        worker: usize,
        process: u64,
    },
    LoadRequest {
        gateway: usize,
        order: RequestId,
        worker: usize,
        process: u64,
        function: u32,
        copies: u8,
    },
    HealthCheck {
        gateway: usize,
        worker: usize,
        process: u64,
        serial: u64,
    },
    /// What comes back of them.
    Ended {
        gateway: usize,
        tag: RequestId,
        shot: usize,
        end: AttemptResult,
    },
    LoadRequestEnded {
        gateway: usize,
        order: RequestId,
        outcome: Outcome,
        copies: u8,
    },
    HealthCheckEnded {
        gateway: usize,
        worker: usize,
        serial: u64,
        outcome: Outcome,
        report: Option<LoadReport>,
    },
    /// Something is due of what a gateway shares; a note of another comes.
    ShareBudgets(usize),
    Note(usize, u64, Vec<u8>),
    List(Vec<EndpointEntry>),
    /// The list says that it is as it was.
    Heartbeat,
    /// A trouble begins, goes on to its next step, ends.
    Begins(usize),
    Step(usize, usize),
    Ends(usize),
    Look,
}

struct Due(f64, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// What a desk keeps of a call: which, and which try.
pub(crate) type Kept = (usize, u32);

/// Called ten times a second with all desks and what the workers hold, by whoever plays: to tell the desks things.
pub type Look<'l> = Box<dyn FnMut(f64, &mut [Dispatcher<(usize, u32)>], &[LoadFigures]) + 'l>;

pub struct Simulation<'l> {
    pub(crate) scenario: Scenario,
    pub(crate) now: f64,
    queue: BinaryHeap<Due>,
    count: u64,
    pub(crate) dispatchers: Vec<Dispatcher<Kept>>,
    armed: Vec<f64>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) entries: Vec<EndpointEntry>,
    pub(crate) store: Store,
    pub(crate) functions: BTreeMap<String, u32>,
    pub(crate) calls: Vec<Call>,
    pub(crate) weights: Vec<f64>,
    records: Vec<HistoryRecord>,
    pub(crate) chance: ChaCha8Rng,
    /// The workers that each trouble strikes.
    pub(crate) struck: BTreeMap<usize, Vec<usize>>,
    pub(crate) warm: (u64, u64),
    look: Option<Look<'l>>,
    pub(crate) links: Option<Links>,
    pub(crate) variation: Variation,
}

/// Plays a day.
pub fn play(scenario: &Scenario, seed: u64, look: Option<Look<'_>>) -> SimulationReport {
    let mut town = Simulation::new(scenario, seed);
    town.look = look;
    town.run()
}

/// Plays a day with something beside its script.
pub fn play_varied(scenario: &Scenario, seed: u64, variation: Variation) -> SimulationReport {
    let mut town = Simulation::new(scenario, seed);
    town.variation = variation;
    town.run()
}

/// Where a worker's process is: another one is elsewhere.
pub(crate) fn place(worker: usize, process: u64) -> SocketAddr {
    SocketAddr::from(([10, (process % 250) as u8, (worker / 250) as u8, (worker % 250) as u8], 80))
}

impl Simulation<'_> {
    fn new(scenario: &Scenario, seed: u64) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let house = |gateway: usize| -> GatewayConfig {
            let registry = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
            let file = GatewayConfigFile { scenario, gateway, listen: any, registry, links: None, seed };
            milletpath_config::read(&file.to_string()).unwrap_or_else(|m| panic!("a day's charter: {m:?}"))
        };
        let houses: Vec<GatewayConfig> = (0..scenario.gateways).map(house).collect();
        let dispatchers: Vec<Dispatcher<Kept>> =
            houses.iter().map(|house| Dispatcher::new(house, 0.0)).collect();
        let links = scenario.sharing.then(|| Links::new(&houses, seed));
        let entries: Vec<EndpointEntry> = (0..scenario.workers)
            .map(|w| EndpointEntry { address: place(w, 0), ..scenario::worker_entry(w, None) })
            .collect();
        let mut town = Self {
            scenario: scenario.clone(),
            now: 0.0,
            queue: BinaryHeap::new(),
            count: 0,
            armed: vec![f64::INFINITY; dispatchers.len()],
            dispatchers,
            workers: (0..scenario.workers).map(|_| Worker::warm(scenario.worker_spec)).collect(),
            entries,
            store: Store::new(scenario.store_spec),
            functions: BTreeMap::new(),
            calls: Vec::new(),
            weights: gateway_weights(scenario.gateways, scenario.uneven),
            records: Vec::new(),
            chance: ChaCha8Rng::seed_from_u64(seed ^ 0x7011),
            struck: BTreeMap::new(),
            warm: (0, 0),
            look: None,
            links,
            variation: Variation::default(),
        };
        for worker in 0..scenario.workers {
            town.note(HistoryEvent::WorkerStarted {
                worker,
                capacity: scenario.worker_spec.capacity(),
                warm: true,
            });
        }
        let list = town.entries.clone();
        for gateway in 0..town.dispatchers.len() {
            town.dispatchers[gateway].update_endpoints(0.0, true, &list);
            town.after(gateway);
        }
        for (number, planned) in traffic::plan(scenario, seed).into_iter().enumerate() {
            town.put(planned.at, Event::Try(number, 0));
            let receipted = scenario.profiles[planned.profile].idempotency == Idempotency::IdempotentWithKey;
            town.calls.push(Call::new(planned, receipted));
        }
        for (number, fault) in scenario.faults.iter().enumerate() {
            town.put(fault.at, Event::Begins(number));
        }
        for gateway in (0..scenario.gateways).filter(|_| scenario.sharing) {
            town.put(0.0, Event::ShareBudgets(gateway));
        }
        town.put(0.0, Event::Look);
        town.put(0.0, Event::Heartbeat);
        town
    }

    pub(crate) fn note(&mut self, event: HistoryEvent) {
        self.records.push(HistoryRecord { at: self.now, event });
    }

    pub(crate) fn put(&mut self, at: f64, next: Event) {
        self.count += 1;
        self.queue.push(Due(at, self.count, next));
    }

    pub(crate) fn function(&mut self, name: &str) -> u32 {
        let next = self.functions.len() as u32;
        *self.functions.entry(name.to_owned()).or_insert(next)
    }

    fn run(mut self) -> SimulationReport {
        /// Seconds after the last call by which all has ended.
        const REST: f64 = 5.0;
        let end = self.scenario.seconds + REST;
        while let Some(Due(at, _, next)) = self.queue.pop().filter(|due| due.0 <= end) {
            self.now = at;
            self.befall(next);
        }
        let scenario = &self.scenario;
        let mut counters = Counters::default();
        for t in self.dispatchers.iter().map(Dispatcher::counters) {
            counters.attempts += t.attempts;
            counters.load_requests += t.load_requests;
            counters.health_checks += t.health_checks;
        }
        SimulationReport {
            broken: witness::check(&self.records, &scenario::rule_parameters(scenario, CHECKER_TOLERANCE)),
            whole: witness::count_service(&self.records, &scenario::service_weights(scenario)).0,
            fetches: self.store.fetches,
            refusals: self.store.rejected_fetches,
            warm: self.warm.0 as f64 / self.warm.1.max(1) as f64,
            counters,
            bytes: self.links.as_ref().map_or(0.0, Links::bytes) / end / scenario.gateways as f64,
            records: self.records,
        }
    }

    fn befall(&mut self, next: Event) {
        let now = self.now;
        match next {
            Event::Try(call, attempt) => self.ask(call, attempt),
            Event::Arrive(call, attempt, gateway) => self.arrive(call, attempt, gateway),
            Event::Answered(call, attempt, gateway, how) => self.answered(call, attempt, gateway, how),
            Event::Leaves(call, attempt, gateway) => self.leaves(call, attempt, gateway),
            Event::DispatcherTimer(gateway) if self.armed[gateway] <= now => {
                self.armed[gateway] = f64::INFINITY;
                self.at_dispatcher(gateway, |_, _| ());
            }
            Event::DispatcherTimer(_) => {}
            Event::WorkerModel(worker, process) if self.workers[worker].armed <= now => {
                self.at_engine(worker, process, WorkerModel::advance);
            }
            Event::WorkerModel(..) => {}
            Event::Fetched(worker, process, load, ok) => {
                if ok {
                    self.store.fetch_ended();
                }
                self.at_engine(worker, process, |engine, now| engine.fetch_ended(now, load, ok));
            }
            Event::Attempt { gateway, tag, shot, worker, process } => {
                self.shot(gateway, tag, shot, worker, process);
            }
            Event::LoadRequest { gateway, order, worker, process, function, copies } => {
                self.order(gateway, order, worker, process, function, copies);
            }
            Event::HealthCheck { gateway, worker, process, serial } => {
                self.probe(gateway, worker, process, serial);
            }
            Event::Ended { gateway, tag, shot, end } => {
                let kept = self.dispatchers[gateway].context(tag).copied();
                let settles = self
                    .at_dispatcher(gateway, |dispatcher, now| dispatcher.attempt_ended(now, tag, shot, end));
                if let Some((call, attempt)) = kept.filter(|_| settles) {
                    self.put(
                        now + NETWORK_DELAY,
                        Event::Answered(call, attempt, gateway, AttemptOutcome::Succeeded),
                    );
                }
            }
            Event::LoadRequestEnded { gateway, order, outcome, copies } => {
                self.at_dispatcher(gateway, |dispatcher, now| {
                    dispatcher.load_request_ended(now, order, outcome, copies);
                });
            }
            Event::HealthCheckEnded { gateway, worker, serial, outcome, report } => {
                self.at_dispatcher(gateway, |dispatcher, now| {
                    dispatcher.health_check_ended(now, worker, serial, outcome, report);
                });
            }
            Event::ShareBudgets(gateway) => self.share(gateway),
            Event::Note(gateway, life, note) => self.noted(gateway, life, &note),
            Event::List(entries) => {
                let unix_time = self.variation.gateway_time(now);
                for gateway in 0..self.dispatchers.len() {
                    self.at_dispatcher(gateway, |dispatcher, now| {
                        dispatcher.wall_clock_read(now, unix_time);
                        dispatcher.update_endpoints(now, false, &entries);
                    });
                }
            }
            Event::Heartbeat => {
                /// Seconds between two heartbeats of the list.
                const HEARTBEAT: f64 = 1.0;
                self.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.endpoint_list_confirmed(now));
                self.put(now + HEARTBEAT, Event::Heartbeat);
            }
            Event::Begins(fault) => self.begins(fault),
            Event::Step(fault, step) => self.step(fault, step),
            Event::Ends(fault) => self.ends(fault),
            Event::Look => {
                /// Seconds between two looks.
                const LOOK: f64 = 0.1;
                if let Some(mut look) = self.look.take() {
                    let figures: Vec<_> = self.workers.iter().map(|w| w.engine.load_figures()).collect();
                    look(now, &mut self.dispatchers, &figures);
                    self.look = Some(look);
                }
                (0..self.dispatchers.len()).for_each(|g| self.after(g));
                self.put(now + LOOK, Event::Look);
            }
        }
    }

    /// Tells a desk something, after all that is due there, and does what follows.
    pub(crate) fn at_dispatcher<R>(
        &mut self,
        gateway: usize,
        what: impl FnOnce(&mut Dispatcher<Kept>, f64) -> R,
    ) -> R {
        let now = self.now;
        if self.dispatchers[gateway].next_deadline().is_some_and(|due| due <= now) {
            self.dispatchers[gateway].advance(now);
        }
        let result = what(&mut self.dispatchers[gateway], now);
        self.after(gateway);
        result
    }

    /// Does what a desk says, and sets its clock.
    pub(crate) fn after(&mut self, gateway: usize) {
        let now = self.now;
        while let Some(act) = self.dispatchers[gateway].next_action() {
            match act {
                Action::SendAttempt { request: tag, attempt: shot, worker } => {
                    let process = self.workers[worker].process;
                    if self.dispatchers[gateway].begin_attempt(now, tag, shot) {
                        self.put(now + NETWORK_DELAY, Event::Attempt { gateway, tag, shot, worker, process });
                    }
                }
                Action::Reject { request: tag, .. } => {
                    self.own_answer(gateway, tag, AttemptOutcome::Rejected);
                }
                Action::Fail { request: tag, .. } => self.own_answer(gateway, tag, AttemptOutcome::Failed),
                Action::LoadFunction { load_request: order, worker, function, instances: copies } => {
                    let process = self.workers[worker].process;
                    let function = self.function(&function);
                    if self.dispatchers[gateway].begin_load_request(now, order) {
                        let next = Event::LoadRequest { gateway, order, worker, process, function, copies };
                        self.put(now + NETWORK_DELAY, next);
                    }
                }
                Action::HealthCheck { worker, serial } => {
                    let process = self.workers[worker].process;
                    self.put(now + NETWORK_DELAY, Event::HealthCheck { gateway, worker, process, serial });
                }
                Action::UnloadFunction { .. } | Action::CancelAttempt { .. } | Action::WatchEndpoints => {}
            }
        }
        if let Some(next) =
            self.dispatchers[gateway].next_deadline().filter(|next| *next < self.armed[gateway])
        {
            self.armed[gateway] = next;
            self.put(next.max(now), Event::DispatcherTimer(gateway));
        }
    }

    fn own_answer(&mut self, gateway: usize, tag: RequestId, how: AttemptOutcome) {
        if let Some((call, attempt)) = self.dispatchers[gateway].context(tag).copied() {
            self.put(self.now + NETWORK_DELAY, Event::Answered(call, attempt, gateway, how));
        }
    }

    fn arrive(&mut self, call: usize, attempt: u32, gateway: usize) {
        let patience = self.patience(call, attempt);
        let planned = self.calls[call].planned.clone();
        let come = IncomingRequest {
            function: &planned.function,
            profile: planned.profile,
            client: planned.group,
            timeout: patience,
            is_retry: attempt > 0,
            resources: None,
        };
        let taken =
            self.at_dispatcher(gateway, |dispatcher, now| dispatcher.submit(now, come, (call, attempt)));
        if taken.is_none() {
            self.put(
                self.now + NETWORK_DELAY,
                Event::Answered(call, attempt, gateway, AttemptOutcome::Rejected),
            );
        }
    }
}
