//! Runs a day: starts workers, discovery services, routers and clients, and injects the faults at their times.

use crate::client::{CallRecord, ClientPlan, run_client};
use crate::day::{Day, Fault};
use crate::rules::{DeliveryDelay, Observations, Pause, SoakResult, WorkerChange, check_rules};
use crate::scheduling_delay::record_scheduling_delays;
use milletpath_test_support::platform_rig::{
    LiveDiscovery, MAX_SOCKETS, Outage, Router, RouterConfiguration, Worker, WorkerCondition, answers_after,
    endpoint_event,
};
use nix::sys::signal::Signal;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time from SIGTERM to the earliest permitted SIGKILL: the longest deadline of 3 s plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// Time after which a killed router is restarted.
const RESTART_AFTER: Duration = Duration::from_millis(300);

/// Answers an attempt after 15 ms.
fn answer_with_delay(_: usize, id: u64, connection: &mut TcpStream) {
    answers_after(Duration::from_millis(15), id, connection);
}

/// The discovery services of one router: a reload replaces the current one.
struct RouterDiscovery {
    current: LiveDiscovery,
    /// Services that the router used before; they stay up, but are silent.
    former: Vec<LiveDiscovery>,
}

/// One router, whose process may be restarted.
struct RouterSlot {
    process: Option<Router>,
    address: SocketAddr,
    configuration: RouterConfiguration,
    discovery: RouterDiscovery,
    outage_until: Option<Instant>,
}

/// A scheduled step of the run.
enum Action {
    Begin(Fault),
    EndOutage { router: usize },
    SetCondition { worker: usize, condition: WorkerCondition, event: Option<&'static str>, cold: bool },
    Kill { router: usize },
    Start { router: usize },
    Resume { router: usize },
}

struct Fleet {
    began: Instant,
    workers: Vec<Worker>,
    routers: Vec<RouterSlot>,
    actions: Vec<(Instant, Action)>,
    observations: Observations,
    /// Clients still to be started.
    pending_clients: Vec<ClientPlan>,
    /// Number of clients added after the beginning of the day.
    added_clients: u64,
}

/// Runs a day and checks the rules.
pub fn run_day(day: &Day) -> SoakResult {
    let workers: Vec<_> =
        (0..day.workers).map(|_| Worker::with_addresses(answer_with_delay, day.routers)).collect();
    let routers: Vec<_> = (0..day.routers).map(|router| RouterSlot::start(day, router, &workers)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let records = Arc::new(Mutex::new(Vec::new()));
    let scheduling_delays = {
        let stop = stop.clone();
        std::thread::spawn(move || record_scheduling_delays(&stop))
    };
    let mut clients = Vec::new();
    let pause = Duration::from_secs_f64((day.routers * day.clients) as f64 / day.calls);
    for (router, slot) in routers.iter().enumerate() {
        for number in 0..day.clients as u64 {
            let disconnects_every = if number == 1 { 13 } else { 0 };
            let plan = ClientPlan {
                router,
                address: slot.address,
                number: number + 1,
                pause,
                disconnects_every,
                max_calls: usize::MAX,
            };
            clients.push(start_client(plan, &stop, &records));
        }
    }
    let began = Instant::now();
    let actions =
        day.faults.iter().map(|timed| (began + seconds(timed.at), Action::Begin(timed.fault))).collect();
    let mut fleet = Fleet {
        began,
        workers,
        routers,
        actions,
        observations: Observations::default(),
        pending_clients: Vec::new(),
        added_clients: 0,
    };
    let end = began + seconds(day.seconds);
    while Instant::now() < end {
        fleet.run_due_actions();
        for plan in std::mem::take(&mut fleet.pending_clients) {
            clients.push(start_client(plan, &stop, &records));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("no client panicked"));
    fleet.observations.scheduling_delays = scheduling_delays.join().expect("no thread panicked");
    fleet.observations.calls = std::mem::take(&mut records.lock().expect("no thread panicked"));
    fleet.observations.frames = fleet.workers.iter().map(|worker| worker.received.all()).collect();
    fleet.workers.iter().for_each(Worker::stop);
    check_rules(day, fleet.began, &fleet.observations)
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

fn start_client(
    plan: ClientPlan,
    stop: &Arc<AtomicBool>,
    records: &Arc<Mutex<Vec<CallRecord>>>,
) -> std::thread::JoinHandle<()> {
    let (stop, records) = (stop.clone(), records.clone());
    std::thread::spawn(move || {
        let own = run_client(&plan, &stop);
        records.lock().expect("no thread panicked").extend(own);
    })
}

impl RouterSlot {
    fn start(day: &Day, router: usize, workers: &[Worker]) -> Self {
        let discovery = LiveDiscovery::start(workers.len() as u64);
        let addresses: Vec<_> = workers.iter().map(|worker| worker.addresses[router]).collect();
        let configuration = RouterConfiguration::new(&addresses, discovery.address, MAX_SOCKETS)
            .with("Balancers", day.routers)
            .with("Effect", day.effect.setting)
            .with("seed", format!("\"{:016x}\"", day.seed << 16 | router as u64));
        let process = Router::with_configuration(&configuration);
        let address = process.address;
        let configuration = configuration.with("listen", format!("\"{address}\""));
        let discovery = RouterDiscovery { current: discovery, former: Vec::new() };
        Self { process: Some(process), address, configuration, discovery, outage_until: None }
    }

    fn publish(&self, line: impl Fn(u64) -> String) {
        self.discovery.current.publish(line);
    }
}

impl Fleet {
    /// Runs the actions whose time has come.
    fn run_due_actions(&mut self) {
        let now = Instant::now();
        let actions = std::mem::take(&mut self.actions);
        let (due, later): (Vec<_>, Vec<_>) = actions.into_iter().partition(|(at, _)| *at <= now);
        self.actions = later;
        due.into_iter().for_each(|(_, action)| self.run_action(action));
    }

    fn schedule(&mut self, after: Duration, action: Action) {
        self.actions.push((Instant::now() + after, action));
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::Begin(fault) => self.begin(fault),
            Action::EndOutage { router } => self.end_outage(router),
            Action::SetCondition { worker, condition, event, cold } => {
                self.change_worker(worker, condition, event, cold);
            }
            Action::Kill { router } => {
                if let Some(mut process) = self.routers[router].process.take() {
                    process.process.kill();
                }
                self.schedule(RESTART_AFTER, Action::Start { router });
            }
            Action::Start { router } => {
                let slot = &mut self.routers[router];
                if slot.process.is_none() {
                    slot.process = Some(Router::with_configuration(&slot.configuration));
                }
            }
            Action::Resume { router } => {
                if let Some(process) = &self.routers[router].process {
                    process.process.resume();
                }
            }
        }
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Outage { outage, seconds: length, divisor, remainder } => {
                for router in (0..self.routers.len()).filter(|router| router % divisor == remainder) {
                    self.begin_outage(router, outage, length);
                }
            }
            Fault::Drain { worker, returns } => {
                self.change_worker(worker, WorkerCondition::Draining, Some("leaving"), false);
                if let Some(after) = returns {
                    let condition = WorkerCondition::Ready;
                    let action =
                        Action::SetCondition { worker, condition, event: Some("active"), cold: false };
                    self.schedule(seconds(after), action);
                }
            }
            Fault::Restart { worker, seconds: length } => {
                self.change_worker(worker, WorkerCondition::Gone, Some("left"), false);
                let condition = WorkerCondition::Ready;
                let action = Action::SetCondition { worker, condition, event: Some("active"), cold: true };
                self.schedule(seconds(length), action);
            }
            Fault::Condition { worker, condition, seconds: length } => {
                self.change_worker(worker, condition, None, false);
                let condition = WorkerCondition::Ready;
                self.schedule(
                    seconds(length),
                    Action::SetCondition { worker, condition, event: None, cold: false },
                );
            }
            Fault::Reset { worker } => self.workers[worker].reset_connections(),
            Fault::Reload { router, out_for } => self.reload(router, out_for),
            Fault::Terminate { router } => {
                self.signal(router, Signal::SIGTERM);
                self.schedule(KILL_AFTER, Action::Kill { router });
            }
            Fault::Kill { router } => {
                self.observations.kills.push((router, Instant::now()));
                self.run_action(Action::Kill { router });
            }
            Fault::Pause { router, seconds: length } => {
                self.signal(router, Signal::SIGSTOP);
                let from = Instant::now();
                self.observations.pauses.push(Pause { router, from, until: from + seconds(length) });
                // Clients that disconnect while the router is paused and reads nothing.
                self.add_clients(router, 5, 1, 3);
                self.schedule(seconds(length), Action::Resume { router });
            }
            Fault::Crowd { router, clients } => self.add_clients(router, clients, 0, usize::MAX),
        }
    }

    /// Schedules more clients of a router, which call at a low rate.
    fn add_clients(&mut self, router: usize, clients: usize, disconnects_every: u64, max_calls: usize) {
        let address = self.routers[router].address;
        let pause = Duration::from_millis(300);
        for _ in 0..clients {
            self.added_clients += 1;
            let number = 100 + self.added_clients;
            self.pending_clients.push(ClientPlan {
                router,
                address,
                number,
                pause,
                disconnects_every,
                max_calls,
            });
        }
    }

    fn signal(&self, router: usize, signal: Signal) {
        if let Some(process) = &self.routers[router].process {
            process.process.signal(signal);
        }
    }

    fn begin_outage(&mut self, router: usize, outage: Outage, length: f64) {
        let now = Instant::now();
        self.routers[router].discovery.current.fail(outage);
        self.routers[router].outage_until = Some(now + seconds(length));
        self.observations.delivery_delays.push(DeliveryDelay {
            router,
            from: now,
            until: now + delivery_delay(outage),
        });
        self.schedule(seconds(length), Action::EndOutage { router });
    }

    fn end_outage(&mut self, router: usize) {
        let slot = &mut self.routers[router];
        if slot.outage_until.is_some_and(|until| until <= Instant::now()) {
            slot.discovery.current.recover();
            slot.outage_until = None;
        }
    }

    /// Changes the router's configuration file to a new discovery service with the same events, and sends SIGHUP.
    fn reload(&mut self, router: usize, out_for: f64) {
        let workers = self.workers.len() as u64;
        let slot = &mut self.routers[router];
        let next = LiveDiscovery::with_events(workers, slot.discovery.current.events());
        if out_for > 0.0 {
            next.fail(Outage::Refused);
            slot.outage_until = Some(Instant::now() + seconds(out_for));
        }
        slot.configuration = slot.configuration.clone().with("bulletin", format!("\"{}\"", next.address));
        let former = std::mem::replace(&mut slot.discovery.current, next);
        // The former service sends nothing more.
        former.fail(Outage::Silent);
        slot.discovery.former.push(former);
        if let Some(process) = &slot.process {
            std::fs::write(&process.configuration_file, slot.configuration.text())
                .expect("the configuration can be written");
            process.process.signal(Signal::SIGHUP);
        }
        let now = Instant::now();
        self.observations.delivery_delays.push(DeliveryDelay {
            router,
            from: now,
            until: now + DeliveryDelay::MAX,
        });
        self.schedule(seconds(out_for), Action::EndOutage { router });
    }

    /// Changes a worker's condition and publishes the event for it, if any, at the discovery services.
    fn change_worker(
        &mut self,
        worker: usize,
        condition: WorkerCondition,
        event: Option<&'static str>,
        cold: bool,
    ) {
        self.workers[worker].set_condition(condition);
        let Some(phase) = event else { return };
        let started_ms = if cold { unix_milliseconds() } else { 0 };
        for (router, slot) in self.routers.iter().enumerate() {
            let address = self.workers[worker].addresses[router];
            slot.publish(|number| {
                endpoint_event(number, &format!("w{worker}"), address, phase)
                    .replace("\"up_since_ms\":0", &format!("\"up_since_ms\":{started_ms}"))
            });
        }
        // Recorded after the event is published: new work that a worker receives later is checked against this change.
        self.observations.changes.push(WorkerChange { worker, condition, at: Instant::now() });
    }
}

/// Time from the beginning of an outage until the events that discovery did not deliver count as delivered.
fn delivery_delay(outage: Outage) -> Duration {
    match outage {
        Outage::Refused | Outage::Closed | Outage::CutLine => Duration::from_secs(2),
        Outage::Silent | Outage::EndlessLine => DeliveryDelay::MAX,
    }
}

fn unix_milliseconds() -> u128 {
    (milletpath_process_environment::wall_clock::unix_time() * 1e3) as u128
}
