//! Plays a day: gateways as processes of their own, workers, store and registry in this thread, clients in another,
//! troubles by the script. Traffic stays on loopback and ends with the day.

use crate::clients::{self, Front};
use crate::hall::{Hall, Tells};
use crate::registry::{Manner, Registry};
use crate::relay::{Fault, Relay};
use crate::running::Running;
use crate::script::{Day, Trouble, What};
use crate::spoilt::Spoil;
use crate::traffic;
use crate::worker::{Mood, Worker};
use milletpath_history_checker::{
    self as witness, Account, Bound, Broken, Counts, Known, Record, Saw, Shared,
};
use milletpath_protocol::registry::{EndpointStatus, Entry};
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
pub struct Played {
    pub records: Vec<Record>,
    pub broken: Vec<Broken>,
    pub whole: Counts,
    pub by_trouble: BTreeMap<usize, Counts>,
    pub fetches: u64,
    /// Part of the calls done that found an instance standing.
    pub warm: f64,
    pub refusals: u64,
    /// Where the gateways know each other: bounds by name, and what that cost.
    pub bounds: BTreeMap<&'static str, Bound>,
    pub known: Option<Known>,
}

impl Played {
    /// Whether all rules and bounds were kept.
    pub fn kept(&self) -> bool {
        self.broken.is_empty() && self.bounds.values().all(|b| b.broken == 0)
    }
}

/// How a day is played.
pub struct Stage<'s> {
    /// The gateway's program.
    pub program: &'s Path,
    /// A folder for charters and logs.
    pub folder: &'s Path,
    pub seed: u64,
    /// Seconds by which stand-ins may lag: more on a crowded machine.
    pub lag: f64,
    /// A fault that all gateways are started with.
    pub plant: Option<&'s str>,
}

/// Plays a day from its first call to the last answer.
pub fn play(day: &Day, stage: &Stage<'_>) -> io::Result<Played> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(tokio::task::LocalSet::new().run_until(town(day, stage)))
}

/// One gateway process and what it takes to start it anew.
struct Process {
    charter: PathBuf,
    address: SocketAddr,
    running: RefCell<Option<Running>>,
    /// Where mischief for its cores is told.
    stirs: RefCell<Option<ChildStdin>>,
}

struct Town {
    day: Day,
    hall: Rc<Hall>,
    registry: Rc<Registry>,
    workers: RefCell<Vec<Rc<Worker>>>,
    gateways: Vec<Process>,
    /// Where the gateways know each other, the links between them.
    relay: Option<Relay>,
    /// Gateways that begin in the course of the day, by the trouble that is.
    late: BTreeMap<String, Vec<usize>>,
    front: Arc<Front>,
    program: PathBuf,
    plant: Option<String>,
    chance: RefCell<ChaCha8Rng>,
}

async fn town(day: &Day, stage: &Stage<'_>) -> io::Result<Played> {
    let began = Instant::now();
    let tells = Tells { found: true, company: true, load: true };
    let receipts = day.terms.receipts;
    let hall = Hall::new(began, stage.seed, day.shelf, day.pack, tells, receipts);
    let registry = Registry::start(hall.clone(), day.gateways).await?;
    let mut workers = Vec::new();
    for number in 0..day.workers {
        let long_ago = hall.now() - day.make.warm_up - 1.0;
        workers.push(Worker::start(hall.clone(), number, 0, day.make, long_ago, day.gateways).await?);
    }
    registry
        .put_all(workers.iter().map(|w| (w.number, entry(w.number, None), w.addresses.clone())).collect());
    let relay = day.sharing.then(|| Relay::start(day.gateways, began, stage.seed)).transpose()?;
    if relay.is_some() {
        let secret = format!("the secret of a day on loopback, with the seed {}", stage.seed);
        std::fs::write(stage.folder.join("peers.key"), secret)?;
    }
    let mut dice = ChaCha8Rng::seed_from_u64(stage.seed ^ 0x10_7a7e);
    let late = late(day, &mut dice);
    let mut gateways = Vec::new();
    for gateway in 0..day.gateways {
        let charter = stage.folder.join(format!("gateway-{gateway}.hcl"));
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let write = |listen| {
            let links = relay.as_ref().map(Relay::addresses);
            let text = self::charter(day, gateway, listen, registry.address(gateway), links, stage.seed);
            std::fs::write(&charter, text)
        };
        write(any)?;
        let mut running = start(stage.program, &charter, stage.plant).await?;
        let address = running.address;
        // Started anew it comes back where clients know it.
        write(address)?;
        let stirs = RefCell::new(running.child.stdin.take());
        let begun = !late.values().flatten().any(|g| *g == gateway);
        if let (Some(relay), Some(link), true) = (&relay, running.link, begun) {
            relay.is_at(gateway, link);
        }
        // One that begins later has told its address, and nobody has heard of it.
        let running = RefCell::new(begun.then_some(running));
        if !begun {
            hall.note(Saw::Killed { gateway });
        }
        gateways.push(Process { charter, address, running, stirs });
    }
    let front = Arc::new(Front {
        gateways: gateways.iter().map(|g| g.address).collect(),
        alive: gateways.iter().map(|g| AtomicBool::new(g.running.borrow().is_some())).collect(),
        weights: clients::weights(day.gateways, day.uneven),
    });
    let chance = RefCell::new(ChaCha8Rng::seed_from_u64(stage.seed ^ 0x7011));
    let town = Rc::new(Town {
        day: day.clone(),
        hall: hall.clone(),
        registry,
        workers: RefCell::new(workers),
        gateways,
        relay,
        late,
        front: front.clone(),
        program: stage.program.to_owned(),
        plant: stage.plant.map(str::to_owned),
        chance,
    });
    // Lists and connections settle before the first call.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let plan = traffic::plan(day, stage.seed);
    let (theirs, seed, lag) = (day.clone(), stage.seed, stage.lag);
    let asking =
        std::thread::Builder::new().name("clients".into()).spawn(move || -> io::Result<Vec<Record>> {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            let hall = Hall::new(began, seed, theirs.shelf, theirs.pack, tells, receipts);
            let plays = clients::play(hall.clone(), front, &theirs, plan, seed, lag);
            runtime.block_on(tokio::task::LocalSet::new().run_until(plays));
            Ok(hall.notes())
        })?;
    let dawn = hall.now();
    for trouble in &day.troubles {
        spawn_local(town.clone().befall(dawn, trouble.clone()));
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
    records.extend(hall.notes());
    records.extend(town.relay.iter().flat_map(Relay::notes));
    records.sort_by(|a, b| a.at.total_cmp(&b.at));
    let terms = terms(day, stage.lag);
    let shared = Shared {
        gateways: day.gateways,
        ration: day.terms.ration,
        retries: day.terms.retries,
        ceilings: day.groups.iter().map(|g| g.ceiling).collect(),
        in_flight: day.terms.in_flight,
        terms,
        lag: stage.lag,
    };
    let (whole, by_trouble) = witness::count(&records, &account(day));
    let broken = witness::check(&records, &terms);
    let (fetches, refusals) = (hall.store.borrow().fetches, hall.store.borrow().refusals);
    let (warm, done) = hall.warm.get();
    let warm = warm as f64 / done.max(1) as f64;
    let bounds = if day.sharing { witness::bounds(&records, &shared) } else { BTreeMap::new() };
    let known = day.sharing.then(|| witness::known(&records, day.gateways));
    Ok(Played { records, broken, whole, by_trouble, fetches, warm, refusals, bounds, known })
}

/// What a day's rules are judged by, where the stand-ins may be so late.
pub fn terms(day: &Day, lag: f64) -> witness::Terms {
    witness::Terms {
        grace: day.terms.grace,
        cold_share: day.make.cold_share,
        warm_up: day.make.warm_up,
        tip_multiple: day.make.tip_multiple,
        tip_window: day.make.tip_window,
        // Where gateways know each other the ration is the fleet's.
        ration: day.terms.ration.filter(|_| !day.sharing),
        lag,
    }
}

/// What a day's service is counted by.
pub fn account(day: &Day) -> Account {
    let quotas = day.groups.iter().map(|g| g.quota).collect();
    Account { late: day.terms.late, quotas, over_share: day.terms.over_share }
}

/// Gateways that begin in the course of the day, by the trouble that is; one at least is there from the beginning.
fn late(day: &Day, dice: &mut ChaCha8Rng) -> BTreeMap<String, Vec<usize>> {
    let mut left: Vec<usize> = (0..day.gateways).collect();
    left.shuffle(dice);
    let mut late = BTreeMap::new();
    for trouble in day.troubles.iter().filter(|t| t.what == What::GatewayJoin) {
        let wanted = ((day.gateways as f64 * trouble.part).round() as usize).max(1);
        let taken = left.split_off(left.len() - wanted.min(left.len() - 1));
        late.insert(trouble.name.clone(), taken);
    }
    late
}

/// What a process that starts now states as its start: Unix seconds by the wall clock of its machine.
#[expect(clippy::disallowed_methods, reason = "plays a worker, whose stamp is made by a wall clock")]
fn start_stamp() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

pub fn entry(number: usize, started: Option<f64>) -> Entry {
    Entry {
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
pub fn charter(
    day: &Day,
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
        day.gateways,
        seed + gateway as u64
    ));
    if let Some(cores) = day.cores {
        line(format!("cores = {cores}"));
    }
    for p in &day.profiles {
        line(format!("profile \"{}\" {{\n  due = {}\n  cut_off = {}", p.name, p.due, p.cut_off));
        line(format!("  importance = {}", p.importance));
        line(match p.effect {
            witness::Effect::Pure => "  effect = \"pure\"\n}".into(),
            witness::Effect::Effectful => "  effect = \"effectful\"\n}".into(),
            witness::Effect::Receipted => {
                format!("  effect = \"receipted\"\n  group = \"all\"\n  memory = {}\n}}", day.terms.receipts)
            }
        });
    }
    for group in &day.groups {
        let quota = group.quota.map_or(String::new(), |q| format!("  quota = {q}\n"));
        let ceiling = group.ceiling.map_or(String::new(), |c| format!("  ceiling = {c}\n"));
        line(format!("client \"{}\" {{\n{quota}{ceiling}}}", group.name));
    }
    let Day { pack, make, terms, .. } = day;
    let load = pack.fetch + pack.start;
    line(format!("functions {{\n  lanes = {}\n  memory = {}\n  load = {load}\n}}", pack.lanes, pack.memory));
    line(format!("workers {{\n  registry = \"{registry}\"\n  kind \"std\" {{ memory = {} }}", make.memory));
    line(format!("  misses = {}\n  keep = {}\n  drain_grace = {}", make.misses, make.keep, terms.grace));
    line(format!("  cold_share = {}\n  warm_up = {}", make.cold_share, make.warm_up));
    line(format!("  tip_multiple = {}\n  tip_window = {}\n}}", make.tip_multiple, make.tip_window));
    line(format!("limits {{\n  over_share = {}", terms.over_share));
    terms.in_flight.into_iter().for_each(|most| line(format!("  in_flight = {most}")));
    for (name, rationed) in [("ration", terms.ration), ("retries", terms.retries)] {
        if let Some((window, free, share)) = rationed {
            line(format!("  {name} {{\n    window = {window}\n    free = {free}\n    share = {share}\n  }}"));
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
async fn start(program: &Path, charter: &Path, plant: Option<&str>) -> io::Result<Running> {
    let path = charter.with_extension("log");
    let log = std::fs::OpenOptions::new().create(true).append(true).open(&path)?;
    let mut command = Command::new(program);
    command.arg("serve").arg("--charter").arg(charter).arg("--stir").stdin(Stdio::piped()).stderr(log);
    plant.into_iter().for_each(|plant| {
        command.arg("--plant").arg(plant);
    });
    // On a thread of its own: the stand-ins of the others go on meanwhile.
    let running = tokio::task::spawn_blocking(|| Running::start(command)).await?;
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

    fn struck(&self, trouble: &Trouble) -> Vec<Rc<Worker>> {
        let workers = self.workers.borrow();
        self.some(workers.len(), trouble.part).into_iter().map(|n| workers[n].clone()).collect()
    }

    async fn befall(self: Rc<Self>, dawn: f64, trouble: Trouble) {
        sleep(dawn + trouble.at - self.hall.now()).await;
        tracing::info!(trouble = trouble.name, "begins");
        let (lasts, size) = (trouble.lasts, trouble.size);
        match trouble.what {
            What::Death => self.die(&trouble).await,
            What::Rolling => self.roll(&trouble).await,
            What::Drain => self.drain(&trouble).await,
            What::Failures => self.ail(&trouble, |mood| mood.fails = size).await,
            What::Silence => self.ail(&trouble, |mood| mood.silent = true).await,
            What::LostAnswers => self.ail(&trouble, |mood| mood.loses = size).await,
            What::HalfAnswers | What::Garbage | What::Resets => {
                let spoil = match trouble.what {
                    What::HalfAnswers => Spoil::Half,
                    What::Garbage => Spoil::Garbage,
                    _ => Spoil::Reset,
                };
                self.ail(&trouble, |mood| (mood.spoils, mood.spoil) = (size, spoil)).await;
            }
            What::WrongFull => {
                let group = self.chance.borrow_mut().random_range(0..self.day.groups.len());
                self.ail(&trouble, |mood| mood.wrong_full = Some((group, size))).await;
            }
            What::Slowness => {
                let struck = self.struck(&trouble);
                struck.iter().for_each(|w| w.tell(|engine, _| engine.slowness = size));
                sleep(lasts).await;
                struck.iter().for_each(|w| w.tell(|engine, _| engine.slowness = 1.0));
            }
            What::Release => {
                let functions = self.some(self.hall.functions(), trouble.part);
                for worker in self.workers.borrow().iter() {
                    worker.tell(|engine, _| functions.iter().for_each(|f| engine.release(*f as u32)));
                }
            }
            What::StoreSlow => {
                self.hall.store.borrow_mut().slowness = size;
                sleep(lasts).await;
                self.hall.store.borrow_mut().slowness = 1.0;
            }
            What::StoreRefuses => {
                self.hall.store.borrow_mut().refuses = true;
                sleep(lasts).await;
                self.hall.store.borrow_mut().refuses = false;
            }
            What::StoreStops => self.hall.store.borrow_mut().stop(self.hall.now(), lasts),
            What::GatewayStall => self.stall(&trouble).await,
            What::GatewayKill => self.kill(&trouble).await,
            What::CoreStall => {
                let end = self.hall.now() + lasts;
                while self.hall.now() < end {
                    self.stir(&trouble, &format!("stall {size}")).await;
                    sleep(size).await;
                    self.stirred();
                    sleep(size).await;
                }
            }
            What::CorePanic | What::DeskBreak => {
                let word = if trouble.what == What::CorePanic { "panic" } else { "break" };
                self.stir(&trouble, word).await;
                sleep(lasts).await;
                self.stirred();
            }
            What::ListLate => self.mislead(lasts, Manner { late: size, ..Manner::default() }).await,
            What::ListStalled => self.mislead(lasts, Manner { stalled: true, ..Manner::default() }).await,
            What::ListLost => self.mislead(lasts, Manner { loses: true, ..Manner::default() }).await,
            What::ListRepeated => self.mislead(lasts, Manner { repeats: true, ..Manner::default() }).await,
            What::ListEmptied => {
                self.registry.empty(true);
                sleep(lasts).await;
                self.registry.empty(false);
            }
            What::GatewayJoin => {
                self.begin_all(self.late.get(&trouble.name).cloned().unwrap_or_default()).await;
            }
            What::LinkCut
            | What::LinkDeaf
            | What::LinkLost
            | What::LinkLate
            | What::LinkRepeat
            | What::LinkGarbage => self.strike(&trouble).await,
            // In the plan of the clients' calls.
            What::Burst | What::OneOffs | What::Hot | What::Heavy | What::Impatience => {}
        }
    }

    async fn mislead(&self, lasts: f64, manner: Manner) {
        self.registry.manner(manner);
        sleep(lasts).await;
        self.registry.manner(Manner::default());
    }

    async fn ail(&self, trouble: &Trouble, falls_ill: impl Fn(&mut Mood)) {
        let struck = self.struck(trouble);
        for worker in &struck {
            let mut mood = worker.mood.get();
            falls_ill(&mut mood);
            worker.mood.set(mood);
        }
        sleep(trouble.lasts).await;
        struck.iter().for_each(|w| w.mood.set(Mood::default()));
    }

    /// A worker's process starts anew: cold, empty, at another address, told of in the list.
    async fn come_back(&self, number: usize) {
        let (make, gateways) = (self.day.make, self.day.gateways);
        match Worker::start(self.hall.clone(), number, 0, make, self.hall.now(), gateways).await {
            Ok(worker) => {
                self.registry.put(number, entry(number, Some(start_stamp())), worker.addresses.clone());
                self.workers.borrow_mut()[number] = worker;
            }
            Err(e) => tracing::error!(number, "a worker can't come back: {e}"),
        }
    }

    async fn die(self: &Rc<Self>, trouble: &Trouble) {
        let struck = self.struck(trouble);
        struck.iter().for_each(|w| w.kill());
        let notice = self.day.terms.notice.min(trouble.lasts);
        sleep(notice).await;
        struck.iter().for_each(|w| self.registry.stand(w.number, EndpointStatus::Gone));
        sleep(trouble.lasts - notice).await;
        for worker in struck {
            self.come_back(worker.number).await;
        }
    }

    async fn roll(self: &Rc<Self>, trouble: &Trouble) {
        let struck = self.struck(trouble);
        let turn = trouble.lasts / struck.len() as f64;
        let mut turns = Vec::new();
        for worker in struck {
            let town = self.clone();
            turns.push(spawn_local(async move {
                town.registry.stand(worker.number, EndpointStatus::Draining);
                sleep(town.day.terms.grace + town.day.terms.notice).await;
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

    async fn drain(self: &Rc<Self>, trouble: &Trouble) {
        let struck = self.struck(trouble);
        struck.iter().for_each(|w| self.registry.stand(w.number, EndpointStatus::Draining));
        sleep(trouble.lasts).await;
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
    async fn stir(&self, trouble: &Trouble, what: &str) {
        let cores =
            self.day.cores.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()));
        for gateway in 0..self.gateways.len() {
            let core = self.chance.borrow_mut().random_range(0..cores);
            let stirs = self.gateways[gateway].stirs.take();
            let Some(mut stirs) = stirs else { continue };
            // What its other cores do is judged by service; of this one's calls none can say whether it was read.
            self.hall.note(Saw::Still { gateway });
            // A few bytes: the pipe takes them also from one that stands still.
            if let Err(e) = stirs.write_all(format!("{core} {what}\n").as_bytes()) {
                tracing::error!(gateway, trouble = trouble.name, "can't be stirred: {e}");
            }
            self.gateways[gateway].stirs.replace(Some(stirs));
        }
    }

    fn stirred(&self) {
        (0..self.gateways.len()).for_each(|gateway| self.hall.note(Saw::Moves { gateway }));
    }

    async fn stall(self: &Rc<Self>, trouble: &Trouble) {
        let struck = self.some(self.gateways.len(), trouble.part);
        let end = self.hall.now() + trouble.lasts;
        while self.hall.now() < end {
            for &gateway in &struck {
                self.signal(gateway, Signal::SIGSTOP);
                self.hall.note(Saw::Still { gateway });
            }
            sleep(trouble.size).await;
            for &gateway in &struck {
                self.signal(gateway, Signal::SIGCONT);
                self.hall.note(Saw::Moves { gateway });
            }
            sleep(2.0 * trouble.size).await;
        }
    }

    async fn kill(self: &Rc<Self>, trouble: &Trouble) {
        let struck = self.some(self.gateways.len(), trouble.part);
        for &gateway in &struck {
            self.hall.note(Saw::Killed { gateway });
            self.gateways[gateway].running.take();
        }
        // The front layer goes on sending there until it notices.
        let notice = self.day.terms.notice.min(trouble.lasts);
        sleep(notice).await;
        struck.iter().for_each(|g| self.front.alive[*g].store(false, Ordering::Relaxed));
        sleep(trouble.lasts - notice).await;
        self.begin_all(struck).await;
    }

    /// A gateway's process starts, for the first time or anew.
    async fn begin(&self, gateway: usize) {
        let process = &self.gateways[gateway];
        match start(&self.program, &process.charter, self.plant.as_deref()).await {
            Ok(mut running) => {
                process.stirs.replace(running.child.stdin.take());
                if let (Some(relay), Some(link)) = (&self.relay, running.link) {
                    relay.is_at(gateway, link);
                }
                process.running.replace(Some(running));
                self.hall.note(Saw::Back { gateway });
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
    async fn strike(&self, trouble: &Trouble) {
        let Some(relay) = &self.relay else { return };
        let gateways = || self.some(self.gateways.len(), trouble.part);
        let links = || {
            let all = relay.links();
            self.some(all.len(), trouble.part).into_iter().map(|n| all[n]).collect()
        };
        let part = trouble.size.min(1.0);
        let fault = match trouble.what {
            What::LinkCut => Fault::Cut(gateways()),
            What::LinkDeaf => Fault::Deaf(gateways()),
            What::LinkLost => Fault::Lost(links(), part),
            What::LinkLate => Fault::Late(links(), trouble.size),
            What::LinkRepeat => Fault::Repeat(links(), part),
            _ => Fault::Garbage(links(), part),
        };
        tracing::info!(trouble = trouble.name, ?fault, "on the links");
        let number = relay.put(fault);
        sleep(trouble.lasts).await;
        relay.lift(number);
    }
}

#[cfg(test)]
mod tests;
