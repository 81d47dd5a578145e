//! Users saw: discovery was out of reach for longer than the times after which its events count as known; workers began
//! to drain just after the outage began, and went on getting attempts and load requests from every router. Clients
//! noticed nothing, as each rejected attempt was served elsewhere.
//!
//! Order of events: a router knows a list; discovery fails, in whatever way; a worker drains; the event counts as known
//! 2 s after a broken stream, 4 s after a silent one, and at once where the outage has lasted that long; the grace
//! passes; the router sends to the worker all the same, until discovery is back.
//!
//! Cause: the list had no age. A worker that was once listed as ready stayed so until an event said otherwise. The
//! evidence: in each way of failing, attempts and load requests to draining workers go on for as long as the outage
//! does, though no event was received and each is rejected. Health checks would have told: a draining worker does not
//! pass one. But none was made for that, and what one told beside the load was dropped.

use milletpath_test_support::platform_rig::{
    Client, DONE, LiveDiscovery, MAX_SOCKETS, Outage, Router, RouterConfiguration, TimedFrame, Worker,
    WorkerCondition, answers, endpoint_event, function_call_line,
};
use milletpath_test_support::wait::becomes_true;
use nix::sys::signal::Signal;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_case::test_case;

/// When events of an outage count as known at the latest: 4 s after it began.
const NOTICE: Duration = Duration::from_secs(4);
/// The grace in the configuration of these routers.
const GRACE: Duration = Duration::from_millis(500);
/// What a busy machine may take between a router's write and a worker's read. Sends would go on for seconds.
const DELAY: Duration = Duration::from_secs(1);

/// Functions that are called.
const FUNCTIONS: u64 = 16;

/// How many calls of a client were made, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct CallCounts {
    made: u64,
    served: u64,
}

impl CallCounts {
    /// Whether there were calls and hardly any went without an answer of a worker.
    fn are_served(self) -> bool {
        self.made > 100 && self.served * 100 >= self.made * 95
    }
}

/// Calls one after the other until it is stopped, some 30 a second.
fn call_until(router: &Router, client_number: u64, stop: &AtomicBool) -> CallCounts {
    const BETWEEN_CALLS: Duration = Duration::from_millis(30);
    let mut client = Client::connect(router);
    let mut counts = CallCounts::default();
    while !stop.load(Ordering::Relaxed) {
        counts.made += 1;
        let id = client_number << 32 | counts.made;
        // Many functions have their home on many workers.
        client.send(&function_call_line(counts.made, id, id % FUNCTIONS));
        counts.served += u64::from(client.receive().contains(DONE));
        std::thread::sleep(BETWEEN_CALLS);
    }
    counts
}

/// What came of an outage.
struct OutageResult {
    /// New work that reached draining workers after it was due to stop.
    late_work: Vec<TimedFrame>,
    calls: CallCounts,
}

/// How discovery comes to be out of reach.
#[derive(Clone, Copy, Debug)]
enum Beginning {
    /// It fails.
    Failure(Outage),
    /// The file names addresses at which nobody listens, one after the other; the old discovery says nothing more.
    Reloads,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
struct Plan {
    beginning: Beginning,
    /// Whether two workers drain at once and two after 5 s.
    drains: bool,
    /// Whether two other workers reject attempts as they are full.
    full: bool,
    /// Whether the settings allow health checks.
    health_checks: bool,
    /// Routers that there are by the settings. One of several checks its workers' health for their load as well.
    routers: usize,
}

impl Plan {
    const DRAINS: Self = Self {
        beginning: Beginning::Failure(Outage::Refused),
        drains: true,
        full: false,
        health_checks: true,
        routers: 3,
    };
}

/// The part of the rig that a play changes.
struct Rig {
    workers: Vec<Worker>,
    discovery: LiveDiscovery,
    configuration: RouterConfiguration,
    router: Router,
}

impl Rig {
    fn start(plan: Plan) -> Self {
        let workers: Vec<_> = (0..8).map(|_| Worker::start(answers)).collect();
        let addresses: Vec<_> = workers.iter().map(|worker| worker.address).collect();
        let discovery = LiveDiscovery::start(workers.len() as u64);
        let configuration = RouterConfiguration::new(&addresses, discovery.address, MAX_SOCKETS)
            .with("Balancers", plan.routers)
            .with("Probing", plan.health_checks);
        let router = Router::with_configuration(&configuration);
        Self { workers, discovery, configuration, router }
    }

    fn begin(&self, beginning: Beginning) {
        match beginning {
            Beginning::Failure(outage) => self.discovery.fail(outage),
            Beginning::Reloads => {
                for _ in 0..3 {
                    let closed = TcpListener::bind("127.0.0.1:0").and_then(|port| port.local_addr());
                    let address = closed.expect("a free port");
                    let moved = self.configuration.clone().with("bulletin", format!("\"{address}\""));
                    std::fs::write(&self.router.configuration_file, moved.text()).expect("a writable file");
                    self.router.process.signal(Signal::SIGHUP);
                    std::thread::sleep(Duration::from_millis(100));
                }
                self.discovery.fail(Outage::Silent);
            }
        }
    }

    /// A worker drains; returns when.
    fn drain(&self, worker: usize) -> Instant {
        self.workers[worker].set_condition(WorkerCondition::Draining);
        let address = self.workers[worker].address;
        self.discovery.publish(|number| endpoint_event(number, &format!("w{worker}"), address, "leaving"));
        Instant::now()
    }
}

/// Plays an outage of 9 s, with calls throughout.
fn play(plan: Plan) -> OutageResult {
    let rig = Rig::start(plan);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (1..=4)
            .map(|number| {
                let (router, stop) = (&rig.router, &stop);
                scope.spawn(move || call_until(router, number, stop))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(1500));
        if plan.full {
            (6..8).for_each(|worker| rig.workers[worker].set_condition(WorkerCondition::Full));
        }
        rig.begin(plan.beginning);
        let began = Instant::now();
        let mut draining = Vec::new();
        if plan.drains {
            draining.extend([0, 1].map(|worker| (worker, rig.drain(worker).max(began + NOTICE))));
        }
        std::thread::sleep(Duration::from_secs(5));
        if plan.drains {
            draining.extend([2, 3].map(|worker| (worker, rig.drain(worker))));
        }
        std::thread::sleep(Duration::from_secs(4));
        stop.store(true, Ordering::Relaxed);
        let mut calls = CallCounts::default();
        for client in clients {
            let counts = client.join().expect("no client panicked");
            calls.made += counts.made;
            calls.served += counts.served;
        }
        let late_work = draining
            .iter()
            .flat_map(|&(worker, known)| rig.workers[worker].received.new_work_after(known + GRACE + DELAY))
            .collect();
        OutageResult { late_work, calls }
    })
}

#[test]
fn draining_workers_get_nothing_new_while_discovery_is_out_of_reach() {
    let results: Vec<_> = std::thread::scope(|scope| {
        let start = |outage| {
            let plan = Plan { beginning: Beginning::Failure(outage), ..Plan::DRAINS };
            (outage, scope.spawn(move || play(plan)))
        };
        let plays: Vec<_> = Outage::ALL.map(start).into_iter().collect();
        plays.into_iter().map(|(outage, play)| (outage, play.join().expect("no play panicked"))).collect()
    });
    let faults: Vec<_> = results
        .iter()
        .filter(|(_, result)| !result.late_work.is_empty() || !result.calls.are_served())
        .map(|(outage, OutageResult { late_work, calls })| {
            format!(
                "{outage:?}: {} sends too late, the first {:?}; {calls:?}",
                late_work.len(),
                late_work.first()
            )
        })
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// The neighbours of that outage: nothing new goes to draining workers, and calls are served all the same.
#[test_case(Plan { beginning: Beginning::Reloads, ..Plan::DRAINS }; "new configurations in a row name addresses that are out of reach")]
#[test_case(Plan { full: true, ..Plan::DRAINS }; "other workers are full")]
#[test_case(Plan { health_checks: false, ..Plan::DRAINS }; "health checks are not allowed")]
#[test_case(Plan { health_checks: false, drains: false, ..Plan::DRAINS }; "neither are drains played")]
fn other_outages_are_served_and_keep_drains(plan: Plan) {
    let OutageResult { late_work, calls } = play(plan);
    assert!(late_work.is_empty(), "{} sends too late, the first {:?}", late_work.len(), late_work[0]);
    assert!(calls.are_served(), "{calls:?}");
}

/// Calls one after the other, each of another function; returns how many were served.
fn serve_calls(router: &Router, calls: std::ops::Range<u64>) -> usize {
    let mut client = Client::connect(router);
    calls
        .filter(|&id| {
            client.send(&function_call_line(id, id, id % FUNCTIONS));
            client.receive().contains(DONE)
        })
        .count()
}

/// A router starts while discovery is out of reach, with a list from before: two of its workers drain by now, and one
/// is gone. It is ready, serves, and sends the two nothing.
#[test]
fn a_router_that_starts_in_an_outage_serves_without_its_old_list() {
    let rig = Rig::start(Plan::DRAINS);
    rig.begin(Beginning::Failure(Outage::Refused));
    for worker in [0, 1] {
        rig.drain(worker);
    }
    rig.workers[2].set_condition(WorkerCondition::Gone);
    let restarted = Instant::now();
    let router = Router::with_configuration(&rig.configuration);
    assert!(Client::connect(&router).is_router_ready(1));
    assert_eq!(serve_calls(&router, 1..60), 59);
    for worker in [0, 1] {
        assert_eq!(rig.workers[worker].received.new_work_after(restarted).len(), 0);
    }
}

/// A worker drains in an outage and takes it back, and another restarts: both get calls again before discovery is heard.
#[test]
fn workers_that_are_ready_again_are_used_in_an_outage() {
    let rig = Rig::start(Plan::DRAINS);
    rig.router.wait_for_current_list();
    serve_calls(&rig.router, 1..60);
    rig.begin(Beginning::Failure(Outage::Silent));
    rig.drain(0);
    rig.workers[1].set_condition(WorkerCondition::Gone);
    assert!(becomes_true(|| !rig.router.log_lines_containing("the endpoint list is stale").is_empty()));
    assert_eq!(serve_calls(&rig.router, 100..160), 60);
    for worker in [0, 1] {
        rig.workers[worker].set_condition(WorkerCondition::Ready);
    }
    let ready = Instant::now();
    let mut calls = 200..;
    let are_used = becomes_true(|| {
        let first = calls.next().expect("a number") * 100;
        serve_calls(&rig.router, first..first + 20);
        [0, 1].iter().all(|worker| !rig.workers[*worker].received.new_work_after(ready).is_empty())
    });
    assert!(are_used);
}

/// A router is stopped for longer than the grace, and finds calls and an event at once when it goes on: the event is
/// applied first. The calls went to draining workers, as the sockets of clients were looked at first.
#[test]
fn an_event_that_came_during_a_pause_is_applied_before_calls() {
    let rig = Rig::start(Plan { routers: 1, ..Plan::DRAINS });
    rig.router.wait_for_current_list();
    assert_eq!(serve_calls(&rig.router, 1..60), 59);
    let mut clients: Vec<_> = (0..8).map(|_| Client::connect(&rig.router)).collect();
    assert!(clients.iter_mut().all(|client| client.is_router_ready(1)));
    rig.router.process.while_paused(|| {
        // The sockets of clients are ready before that of discovery, and looked at first.
        for (client, n) in clients.iter_mut().zip(1_u64..) {
            for call in 0..4 {
                let id = 1000 * n + call;
                client.send(&function_call_line(10 + call, id, id % FUNCTIONS));
            }
        }
        for worker in 0..4 {
            rig.drain(worker);
        }
        std::thread::sleep(GRACE + DELAY);
    });
    let resumed = Instant::now();
    for client in &mut clients {
        assert!((0..4).all(|_| client.receive().contains(DONE)));
    }
    for worker in 0..4 {
        let late = rig.workers[worker].received.new_work_after(resumed);
        assert!(late.is_empty(), "worker {worker}: {late:?}");
    }
}
