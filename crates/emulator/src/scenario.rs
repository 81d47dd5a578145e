//! Plays a day: gateways as processes of their own, workers, store and registry in this thread, clients in another,
//! troubles by the script. Traffic stays on loopback and ends with the day.

use crate::clients::{self, Front};
use crate::context::{EmulatorContext, ReportedFields};
use crate::corrupting_stream::Corruption;
use crate::gateway_process::GatewayProcess;
use crate::registry::{Registry, RegistryFault};
use crate::relay::{LinkFault, Relay};
use crate::scenario_file::{FaultKind, Scenario, ScheduledFault};
use crate::traffic;
use crate::worker::{Worker, WorkerFault};
use milletpath_history_checker::{
    self as witness, BoundReport, HistoryEvent, HistoryRecord, MembershipObservations, ServiceCounts,
    ServiceWeights, SharedBudgetBounds, Violation,
};
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{ChildStdin, Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;

/// What came of a day.
pub struct ScenarioReport {
    pub records: Vec<HistoryRecord>,
    pub violations: Vec<Violation>,
    pub counts: ServiceCounts,
    pub by_fault: BTreeMap<usize, ServiceCounts>,
    pub fetches: u64,
    /// Part of the calls done that found an instance standing.
    pub warm_fraction: f64,
    pub rejected_fetches: u64,
    /// Where the gateways know each other: bounds by name, and what that cost.
    pub bounds: BTreeMap<&'static str, BoundReport>,
    pub membership: Option<MembershipObservations>,
}

impl ScenarioReport {
    /// Whether all rules and bounds were kept.
    pub fn rules_kept(&self) -> bool {
        self.violations.is_empty() && self.bounds.values().all(|b| b.violations == 0)
    }
}

/// How a day is played.
pub struct RunOptions<'s> {
    /// The gateway's program.
    pub program: &'s Path,
    /// A folder for charters and logs.
    pub folder: &'s Path,
    pub seed: u64,
    /// Seconds by which stand-ins may lag: more on a crowded machine.
    pub tolerance: f64,
    /// A fault that all gateways are started with.
    pub injected_fault: Option<&'s str>,
}

/// Plays a day from its first call to the last answer.
pub fn play(scenario: &Scenario, stage: &RunOptions<'_>) -> io::Result<ScenarioReport> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(tokio::task::LocalSet::new().run_until(town(scenario, stage)))
}

/// One gateway process and what it takes to start it anew.
struct Process {
    charter: PathBuf,
    address: SocketAddr,
    running: RefCell<Option<GatewayProcess>>,
    /// Where mischief for its cores is told.
    stirs: RefCell<Option<ChildStdin>>,
}

struct Town {
    scenario: Scenario,
    context: Rc<EmulatorContext>,
    registry: Rc<Registry>,
    workers: RefCell<Vec<Rc<Worker>>>,
    gateways: Vec<Process>,
    /// Where the gateways know each other, the links between them.
    relay: Option<Relay>,
    /// Gateways that begin in the course of the day, by the trouble that is.
    late: BTreeMap<String, Vec<usize>>,
    front: Arc<Front>,
    program: PathBuf,
    injected_fault: Option<String>,
    chance: RefCell<ChaCha8Rng>,
}

async fn town(scenario: &Scenario, stage: &RunOptions<'_>) -> io::Result<ScenarioReport> {
    let began = Instant::now();
    let tells = ReportedFields { found: true, concurrent_requests: true, load: true };
    let receipts = scenario.rules.idempotency_window;
    let context = EmulatorContext::new(
        began,
        stage.seed,
        scenario.store_spec,
        scenario.function_model,
        tells,
        receipts,
    );
    let registry = Registry::start(context.clone(), scenario.gateways).await?;
    let mut workers = Vec::new();
    for number in 0..scenario.workers {
        let long_ago = context.now() - scenario.worker_spec.warm_up - 1.0;
        workers.push(
            Worker::start(context.clone(), number, 0, scenario.worker_spec, long_ago, scenario.gateways)
                .await?,
        );
    }
    registry.put_all(
        workers.iter().map(|w| (w.number, worker_entry(w.number, None), w.addresses.clone())).collect(),
    );
    let relay = scenario.sharing.then(|| Relay::start(scenario.gateways, began, stage.seed)).transpose()?;
    if relay.is_some() {
        let secret = format!("the secret of a day on loopback, with the seed {}", stage.seed);
        std::fs::write(stage.folder.join("peers.key"), secret)?;
    }
    let mut dice = ChaCha8Rng::seed_from_u64(stage.seed ^ 0x10_7a7e);
    let late = late(scenario, &mut dice);
    let mut gateways = Vec::new();
    for gateway in 0..scenario.gateways {
        let charter = stage.folder.join(format!("gateway-{gateway}.hcl"));
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let write = |listen| {
            let links = relay.as_ref().map(Relay::addresses);
            let text =
                gateway_config(scenario, gateway, listen, registry.address(gateway), links, stage.seed);
            std::fs::write(&charter, text)
        };
        write(any)?;
        let mut running = start(stage.program, &charter, stage.injected_fault).await?;
        let address = running.address;
        // Started anew it comes back where clients know it.
        write(address)?;
        let stirs = RefCell::new(running.child.stdin.take());
        let begun = !late.values().flatten().any(|g| *g == gateway);
        if let (Some(relay), Some(link), true) = (&relay, running.link, begun) {
            relay.set_address(gateway, link);
        }
        // One that begins later has told its address, and nobody has heard of it.
        let running = RefCell::new(begun.then_some(running));
        if !begun {
            context.note(HistoryEvent::GatewayKilled { gateway });
        }
        gateways.push(Process { charter, address, running, stirs });
    }
    let front = Arc::new(Front {
        gateways: gateways.iter().map(|g| g.address).collect(),
        alive: gateways.iter().map(|g| AtomicBool::new(g.running.borrow().is_some())).collect(),
        weights: clients::gateway_weights(scenario.gateways, scenario.uneven),
    });
    let chance = RefCell::new(ChaCha8Rng::seed_from_u64(stage.seed ^ 0x7011));
    let town = Rc::new(Town {
        scenario: scenario.clone(),
        context: context.clone(),
        registry,
        workers: RefCell::new(workers),
        gateways,
        relay,
        late,
        front: front.clone(),
        program: stage.program.to_owned(),
        injected_fault: stage.injected_fault.map(str::to_owned),
        chance,
    });
    // Lists and connections settle before the first call.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let plan = traffic::plan(scenario, stage.seed);
    let (theirs, seed, lag) = (scenario.clone(), stage.seed, stage.tolerance);
    let asking = std::thread::Builder::new().name("clients".into()).spawn(
        move || -> io::Result<Vec<HistoryRecord>> {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let context =
                EmulatorContext::new(began, seed, theirs.store_spec, theirs.function_model, tells, receipts);
            let plays = clients::play(context.clone(), front, &theirs, plan, seed, lag);
            runtime.block_on(tokio::task::LocalSet::new().run_until(plays));
            Ok(context.notes())
        },
    )?;
    let dawn = context.now();
    for fault in &scenario.faults {
        spawn_local(town.clone().befall(dawn, fault.clone()));
    }
    while !asking.is_finished() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // What is sent after the last answer is seen as well.
    tokio::time::sleep(Duration::from_secs_f64(0.3 + lag)).await;
    let mut records = asking.join().map_err(|_| io::Error::other("the clients panicked"))??;
    for gateway in &town.gateways {
        gateway.running.take();
    }
    records.extend(context.notes());
    records.extend(town.relay.iter().flat_map(Relay::notes));
    records.sort_by(|a, b| a.at.total_cmp(&b.at));
    let parameters = rule_parameters(scenario, stage.tolerance);
    let shared = SharedBudgetBounds {
        gateways: scenario.gateways,
        load_rate_limit: scenario.rules.load_rate_limit,
        retry_limit: scenario.rules.retries,
        rate_ceilings: scenario.groups.iter().map(|g| g.ceiling).collect(),
        in_flight: scenario.rules.in_flight,
        rules: parameters,
        tolerance: stage.tolerance,
    };
    let witness::Service { all: whole, by_fault } =
        witness::count_service(&records, &service_weights(scenario));
    let broken = witness::check(&records, &parameters);
    let (fetches, refusals) = (context.store.borrow().fetches, context.store.borrow().rejected_fetches);
    let (warm, done) = context.warm.get();
    let warm = warm as f64 / done.max(1) as f64;
    let bounds = if scenario.sharing { witness::bounds(&records, &shared) } else { BTreeMap::new() };
    let known = scenario.sharing.then(|| witness::membership_observations(&records, scenario.gateways));
    Ok(ScenarioReport {
        records,
        violations: broken,
        counts: whole,
        by_fault,
        fetches,
        warm_fraction: warm,
        rejected_fetches: refusals,
        bounds,
        membership: known,
    })
}

/// What a day's rules are judged by, where the stand-ins may be so late.
pub fn rule_parameters(scenario: &Scenario, lag: f64) -> witness::RuleParameters {
    witness::RuleParameters {
        drain_grace: scenario.rules.grace,
        initial_capacity: scenario.worker_spec.initial_capacity,
        warm_up: scenario.worker_spec.warm_up,
        overload_multiple: scenario.worker_spec.overload_multiple,
        overload_window: scenario.worker_spec.overload_window,
        // Where gateways know each other the ration is the fleet's.
        load_rate_limit: scenario.rules.load_rate_limit.filter(|_| !scenario.sharing),
        tolerance: lag,
    }
}

/// What a day's service is counted by.
pub fn service_weights(scenario: &Scenario) -> ServiceWeights {
    let quotas = scenario.groups.iter().map(|g| g.quota).collect();
    ServiceWeights { late: scenario.rules.late, quotas, over_quota: scenario.rules.over_share }
}

/// Gateways that begin in the course of the day, by the trouble that is; one at least is there from the beginning.
fn late(scenario: &Scenario, dice: &mut ChaCha8Rng) -> BTreeMap<String, Vec<usize>> {
    let mut left: Vec<usize> = (0..scenario.gateways).collect();
    left.shuffle(dice);
    let mut late = BTreeMap::new();
    for fault in scenario.faults.iter().filter(|t| t.kind == FaultKind::LateGatewayStart) {
        let wanted = ((scenario.gateways as f64 * fault.fraction).round() as usize).max(1);
        let taken = left.split_off(left.len() - wanted.min(left.len() - 1));
        late.insert(fault.name.clone(), taken);
    }
    late
}

/// What a process that starts now states as its start: Unix seconds by the wall clock of its machine.
#[expect(clippy::disallowed_methods, reason = "plays a worker, whose stamp is made by a wall clock")]
fn start_stamp() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

pub fn worker_entry(number: usize, started: Option<f64>) -> EndpointEntry {
    EndpointEntry {
        name: format!("worker-{number}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        started,
        size: 1.0,
        kind: "std".into(),
        zone: "room".into(),
        cell: String::new(),
        state: EndpointStatus::Ready,
    }
}

/// The charter that a gateway of the day goes by; `links` is where others reach each of them.
pub fn gateway_config(
    scenario: &Scenario,
    gateway: usize,
    listen: SocketAddr,
    registry: SocketAddr,
    links: Option<&[SocketAddr]>,
    seed: u64,
) -> String {
    /// One in so many gateways is named as a place where others may be found.
    const SEEDS: usize = 4;
    use std::fmt::Write;
    let mut text = String::new();
    let mut line = |l: String| {
        let _ = writeln!(text, "{l}");
    };
    line(format!(
        "listen   = \"{listen}\"\ngateways = {}\nseed     = {}",
        scenario.gateways,
        seed + gateway as u64
    ));
    if let Some(cores) = scenario.cores {
        line(format!("cores = {cores}"));
    }
    for p in &scenario.profiles {
        line(format!(
            "profile \"{}\" {{\n  due = {}\n  cut_off = {}",
            p.name, p.latency_objective, p.deadline
        ));
        line(format!("  importance = {}", p.importance));
        line(match p.idempotency {
            witness::Idempotency::Idempotent => "  effect = \"pure\"\n}".into(),
            witness::Idempotency::NonIdempotent => "  effect = \"effectful\"\n}".into(),
            witness::Idempotency::IdempotentWithKey => {
                format!(
                    "  effect = \"receipted\"\n  group = \"all\"\n  memory = {}\n}}",
                    scenario.rules.idempotency_window
                )
            }
        });
    }
    for group in &scenario.groups {
        let quota = group.quota.map_or(String::new(), |q| format!("  quota = {q}\n"));
        let ceiling = group.ceiling.map_or(String::new(), |c| format!("  ceiling = {c}\n"));
        line(format!("client \"{}\" {{\n{quota}{ceiling}}}", group.name));
    }
    let Scenario { function_model, worker_spec, rules, .. } = scenario;
    let load = function_model.fetch + function_model.start;
    line(format!(
        "functions {{\n  lanes = {}\n  memory = {}\n  load = {load}\n}}",
        function_model.concurrency, function_model.memory
    ));
    line(format!(
        "workers {{\n  registry = \"{registry}\"\n  kind \"std\" {{ memory = {} }}",
        worker_spec.memory
    ));
    line(format!(
        "  misses = {}\n  keep = {}\n  drain_grace = {}",
        worker_spec.rejects_unloaded, worker_spec.idle_timeout, rules.grace
    ));
    line(format!("  cold_share = {}\n  warm_up = {}", worker_spec.initial_capacity, worker_spec.warm_up));
    line(format!(
        "  tip_multiple = {}\n  tip_window = {}\n}}",
        worker_spec.overload_multiple, worker_spec.overload_window
    ));
    line(format!("limits {{\n  over_share = {}", rules.over_share));
    rules.in_flight.into_iter().for_each(|most| line(format!("  in_flight = {most}")));
    for (name, rationed) in [("ration", rules.load_rate_limit), ("retries", rules.retries)] {
        if let Some(witness::WindowLimit { window, free, per_request }) = rationed {
            line(format!(
                "  {name} {{\n    window = {window}\n    free = {free}\n    share = {per_request}\n  }}"
            ));
        }
    }
    line("}".into());
    if let Some(links) = links {
        let seeds: Vec<_> =
            links.iter().take(links.len().div_ceil(SEEDS).max(2)).map(|at| format!("\"{at}\"")).collect();
        line(format!("peers {{\n  listen = \"127.0.0.1:0\"\n  advertise = \"{}\"", links[gateway]));
        line(format!("  name = \"gateway-{gateway}\"\n  seeds = [{}]", seeds.join(", ")));
        line("  key = \"peers.key\"\n}".into());
    }
    text
}

/// Starts a gateway process; comes back once it tells where it listens.
async fn start(program: &Path, charter: &Path, injected_fault: Option<&str>) -> io::Result<GatewayProcess> {
    let path = charter.with_extension("log");
    let log = std::fs::OpenOptions::new().create(true).append(true).open(&path)?;
    let mut command = Command::new(program);
    command.arg("serve").arg("--charter").arg(charter).arg("--stir").stdin(Stdio::piped()).stderr(log);
    injected_fault.into_iter().for_each(|injected_fault| {
        command.arg("--plant").arg(injected_fault);
    });
    // On a thread of its own: the stand-ins of the others go on meanwhile.
    let running = tokio::task::spawn_blocking(|| GatewayProcess::start(command)).await?;
    running.map_err(|e| io::Error::other(format!("the gateway did not start: {e}; see {}", path.display())))
}

async fn sleep(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds.max(0.0))).await;
}

impl Town {
    /// Some of `all`, as many as the part says, at least one.
    fn some(&self, all: usize, part: f64) -> Vec<usize> {
        let mut numbers: Vec<_> = (0..all).collect();
        numbers.shuffle(&mut *self.chance.borrow_mut());
        numbers.truncate(((all as f64 * part).round() as usize).max(1));
        numbers
    }

    fn struck(&self, fault: &ScheduledFault) -> Vec<Rc<Worker>> {
        let workers = self.workers.borrow();
        self.some(workers.len(), fault.fraction).into_iter().map(|n| workers[n].clone()).collect()
    }

    async fn befall(self: Rc<Self>, dawn: f64, fault: ScheduledFault) {
        sleep(dawn + fault.at - self.context.now()).await;
        tracing::info!(fault = fault.name, "begins");
        let (lasts, size) = (fault.duration, fault.magnitude);
        match fault.kind {
            FaultKind::WorkerCrash => self.die(&fault).await,
            FaultKind::RollingReplacement => self.roll(&fault).await,
            FaultKind::Drain => self.drain(&fault).await,
            FaultKind::RequestFailures => self.ail(&fault, |mood| mood.fails = size).await,
            FaultKind::Unresponsiveness => self.ail(&fault, |mood| mood.silent = true).await,
            FaultKind::LostResponses => self.ail(&fault, |mood| mood.loses = size).await,
            FaultKind::TruncatedResponses | FaultKind::GarbageResponses | FaultKind::ConnectionResets => {
                let spoil = match fault.kind {
                    FaultKind::TruncatedResponses => Corruption::Half,
                    FaultKind::GarbageResponses => Corruption::Garbage,
                    _ => Corruption::Reset,
                };
                self.ail(&fault, |mood| (mood.spoils, mood.spoil) = (size, spoil)).await;
            }
            FaultKind::FalseRejections => {
                let group = self.chance.borrow_mut().random_range(0..self.scenario.groups.len());
                self.ail(&fault, |mood| mood.wrong_full = Some((group, size))).await;
            }
            FaultKind::Slowness => {
                let struck = self.struck(&fault);
                struck.iter().for_each(|w| w.tell(|engine, _| engine.slowness = size));
                sleep(lasts).await;
                struck.iter().for_each(|w| w.tell(|engine, _| engine.slowness = 1.0));
            }
            FaultKind::FunctionRelease => {
                let functions = self.some(self.context.functions(), fault.fraction);
                for worker in self.workers.borrow().iter() {
                    worker.tell(|engine, _| functions.iter().for_each(|f| engine.release_version(*f as u32)));
                }
            }
            FaultKind::StoreSlowness => {
                self.context.store.borrow_mut().slowness = size;
                sleep(lasts).await;
                self.context.store.borrow_mut().slowness = 1.0;
            }
            FaultKind::StoreRejections => {
                self.context.store.borrow_mut().rejecting = true;
                sleep(lasts).await;
                self.context.store.borrow_mut().rejecting = false;
            }
            FaultKind::StoreOutage => self.context.store.borrow_mut().begin_outage(self.context.now(), lasts),
            FaultKind::GatewayPause => self.stall(&fault).await,
            FaultKind::GatewayCrash => self.kill(&fault).await,
            FaultKind::CorePause => {
                let end = self.context.now() + lasts;
                while self.context.now() < end {
                    self.stir(&fault, &format!("stall {size}")).await;
                    sleep(size).await;
                    self.stirred();
                    sleep(size).await;
                }
            }
            FaultKind::CorePanic | FaultKind::DispatcherPanic => {
                let word = if fault.kind == FaultKind::CorePanic { "panic" } else { "break" };
                self.stir(&fault, word).await;
                sleep(lasts).await;
                self.stirred();
            }
            FaultKind::RegistryDelay => {
                self.mislead(lasts, RegistryFault { late: size, ..RegistryFault::default() }).await;
            }
            FaultKind::RegistryStall => {
                self.mislead(lasts, RegistryFault { stalled: true, ..RegistryFault::default() }).await;
            }
            FaultKind::RegistryLoss => {
                self.mislead(lasts, RegistryFault { loses: true, ..RegistryFault::default() }).await;
            }
            FaultKind::RegistryDuplication => {
                self.mislead(lasts, RegistryFault { repeats: true, ..RegistryFault::default() }).await;
            }
            FaultKind::RegistryEmptied => {
                self.registry.empty(true);
                sleep(lasts).await;
                self.registry.empty(false);
            }
            FaultKind::LateGatewayStart => {
                self.begin_all(self.late.get(&fault.name).cloned().unwrap_or_default()).await;
            }
            FaultKind::LinkPartition
            | FaultKind::LinkInboundLoss
            | FaultKind::LinkLoss
            | FaultKind::LinkDelay
            | FaultKind::LinkDuplication
            | FaultKind::LinkCorruption => self.strike(&fault).await,
            // In the plan of the clients' calls.
            FaultKind::TrafficBurst
            | FaultKind::OneTimeFunctions
            | FaultKind::HotFunctions
            | FaultKind::HeavyRequests
            | FaultKind::ImpatientClients => {}
        }
    }

    async fn mislead(&self, lasts: f64, manner: RegistryFault) {
        self.registry.manner(manner);
        sleep(lasts).await;
        self.registry.manner(RegistryFault::default());
    }

    async fn ail(&self, fault: &ScheduledFault, falls_ill: impl Fn(&mut WorkerFault)) {
        let struck = self.struck(fault);
        for worker in &struck {
            let mut mood = worker.mood.get();
            falls_ill(&mut mood);
            worker.mood.set(mood);
        }
        sleep(fault.duration).await;
        struck.iter().for_each(|w| w.mood.set(WorkerFault::default()));
    }

    /// A worker's process starts anew: cold, empty, at another address, told of in the list.
    async fn come_back(&self, number: usize) {
        let (worker_spec, gateways) = (self.scenario.worker_spec, self.scenario.gateways);
        match Worker::start(self.context.clone(), number, 0, worker_spec, self.context.now(), gateways).await
        {
            Ok(worker) => {
                self.registry.put(
                    number,
                    worker_entry(number, Some(start_stamp())),
                    worker.addresses.clone(),
                );
                self.workers.borrow_mut()[number] = worker;
            }
            Err(e) => tracing::error!(number, "a worker can't come back: {e}"),
        }
    }

    async fn die(self: &Rc<Self>, fault: &ScheduledFault) {
        let struck = self.struck(fault);
        struck.iter().for_each(|w| w.kill());
        let notice = self.scenario.rules.notification_delay.min(fault.duration);
        sleep(notice).await;
        struck.iter().for_each(|w| self.registry.stand(w.number, EndpointStatus::Gone));
        sleep(fault.duration - notice).await;
        for worker in struck {
            self.come_back(worker.number).await;
        }
    }

    async fn roll(self: &Rc<Self>, fault: &ScheduledFault) {
        let struck = self.struck(fault);
        let turn = fault.duration / struck.len() as f64;
        let mut turns = Vec::new();
        for worker in struck {
            let town = self.clone();
            turns.push(spawn_local(async move {
                town.registry.stand(worker.number, EndpointStatus::Draining);
                sleep(town.scenario.rules.grace + town.scenario.rules.notification_delay).await;
                worker.tell(|engine, _| engine.draining = true);
                sleep(0.5).await;
                worker.kill();
                town.come_back(worker.number).await;
            }));
            sleep(turn).await;
        }
        for turn in turns {
            let _ = turn.await;
        }
    }

    async fn drain(self: &Rc<Self>, fault: &ScheduledFault) {
        let struck = self.struck(fault);
        struck.iter().for_each(|w| self.registry.stand(w.number, EndpointStatus::Draining));
        sleep(fault.duration).await;
        struck.iter().for_each(|w| self.registry.stand(w.number, EndpointStatus::Ready));
    }

    fn signal(&self, gateway: usize, signal: Signal) {
        let running = self.gateways[gateway].running.borrow();
        if let Some(running) = running.as_ref()
            && let Err(e) = kill(Pid::from_raw(running.child.id() as i32), signal)
        {
            tracing::error!(gateway, "{signal} can't be sent: {e}");
        }
    }

    /// Tells each gateway of some mischief for one of its cores.
    async fn stir(&self, fault: &ScheduledFault, what: &str) {
        let cores = self
            .scenario
            .cores
            .unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()));
        for gateway in 0..self.gateways.len() {
            let core = self.chance.borrow_mut().random_range(0..cores);
            let stirs = self.gateways[gateway].stirs.take();
            let Some(mut stirs) = stirs else { continue };
            // What its other cores do is judged by service; of this one's calls none can say whether it was read.
            self.context.note(HistoryEvent::GatewayPaused { gateway });
            // A few bytes: the pipe takes them also from one that stands still.
            if let Err(e) = stirs.write_all(format!("{core} {what}\n").as_bytes()) {
                tracing::error!(gateway, fault = fault.name, "can't be stirred: {e}");
            }
            self.gateways[gateway].stirs.replace(Some(stirs));
        }
    }

    fn stirred(&self) {
        (0..self.gateways.len())
            .for_each(|gateway| self.context.note(HistoryEvent::GatewayResumed { gateway }));
    }

    async fn stall(self: &Rc<Self>, fault: &ScheduledFault) {
        let struck = self.some(self.gateways.len(), fault.fraction);
        let end = self.context.now() + fault.duration;
        while self.context.now() < end {
            for &gateway in &struck {
                self.signal(gateway, Signal::SIGSTOP);
                self.context.note(HistoryEvent::GatewayPaused { gateway });
            }
            sleep(fault.magnitude).await;
            for &gateway in &struck {
                self.signal(gateway, Signal::SIGCONT);
                self.context.note(HistoryEvent::GatewayResumed { gateway });
            }
            sleep(2.0 * fault.magnitude).await;
        }
    }

    async fn kill(self: &Rc<Self>, fault: &ScheduledFault) {
        let struck = self.some(self.gateways.len(), fault.fraction);
        for &gateway in &struck {
            self.context.note(HistoryEvent::GatewayKilled { gateway });
            self.gateways[gateway].running.take();
        }
        // The front layer goes on sending there until it notices.
        let notice = self.scenario.rules.notification_delay.min(fault.duration);
        sleep(notice).await;
        struck.iter().for_each(|g| self.front.alive[*g].store(false, Ordering::Relaxed));
        sleep(fault.duration - notice).await;
        self.begin_all(struck).await;
    }

    /// A gateway's process starts, for the first time or anew.
    async fn begin(&self, gateway: usize) {
        let process = &self.gateways[gateway];
        match start(&self.program, &process.charter, self.injected_fault.as_deref()).await {
            Ok(mut running) => {
                process.stirs.replace(running.child.stdin.take());
                if let (Some(relay), Some(link)) = (&self.relay, running.link) {
                    relay.set_address(gateway, link);
                }
                process.running.replace(Some(running));
                self.context.note(HistoryEvent::GatewayRestarted { gateway });
                self.front.alive[gateway].store(true, Ordering::Relaxed);
            }
            Err(e) => tracing::error!(gateway, "a gateway can't start: {e}"),
        }
    }

    /// Several at once.
    async fn begin_all(self: &Rc<Self>, gateways: Vec<usize>) {
        let begins = |gateway: usize| {
            let town = self.clone();
            spawn_local(async move { town.begin(gateway).await })
        };
        let begun: Vec<_> = gateways.into_iter().map(begins).collect();
        for begun in begun {
            let _ = begun.await;
        }
    }

    /// Something is wrong with the links for a while.
    async fn strike(&self, fault: &ScheduledFault) {
        let Some(relay) = &self.relay else { return };
        let gateways = || self.some(self.gateways.len(), fault.fraction);
        let links = || {
            let all = relay.links();
            self.some(all.len(), fault.fraction).into_iter().map(|n| all[n]).collect()
        };
        let part = fault.magnitude.min(1.0);
        let link_fault = match fault.kind {
            FaultKind::LinkPartition => LinkFault::Partition(gateways()),
            FaultKind::LinkInboundLoss => LinkFault::InboundLoss(gateways()),
            FaultKind::LinkLoss => LinkFault::Loss(links(), part),
            FaultKind::LinkDelay => LinkFault::Delay(links(), fault.magnitude),
            FaultKind::LinkDuplication => LinkFault::Duplication(links(), part),
            _ => LinkFault::Corruption(links(), part),
        };
        tracing::info!(fault = fault.name, ?link_fault, "on the links");
        let number = relay.inject(link_fault);
        sleep(fault.duration).await;
        relay.clear(number);
    }
}

#[cfg(test)]
mod tests;
