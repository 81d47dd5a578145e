//! Draining workers must get no new work while discovery is unreachable for longer than the times after which its
//! events count as known: 2 s after a broken stream, 4 s after a silent one, and at once where the outage has lasted
//! that long.
//!
//! Guards against an endpoint list without an age: a worker that was once listed as ready stayed so until an event said
//! otherwise. A worker that began to drain just after the start of an outage went on getting attempts and load requests
//! from every router, past the drain grace and until discovery was back, in each kind of outage. Clients noticed
//! nothing, as each rejected attempt was served by another worker. Health checks would have revealed it, as a draining
//! worker fails them, but none was made for that purpose, and the health that one reported along with the load was
//! ignored.

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

/// Events during an outage count as known at the latest this long after it began.
const MAX_EVENT_DELAY: Duration = Duration::from_secs(4);
/// The drain grace in the configuration of the routers (`DrainGrace`).
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Allowance for the time between a router's write and a worker's read on a busy machine. A router with the fault would
/// go on sending for seconds.
const DELIVERY_MARGIN: Duration = Duration::from_secs(1);

/// Number of different functions that are called.
const FUNCTIONS: u64 = 16;

/// Number of calls that a client made, and of those that were served.
#[derive(Clone, Copy, Debug, Default)]
struct CallCounts {
    made: u64,
    served: u64,
}

impl CallCounts {
    /// Whether there were more than 100 calls and workers answered at least 95% of them.
    fn nearly_all_served(self) -> bool {
        self.made > 100 && self.served * 100 >= self.made * 95
    }
}

/// Makes one call after the other, about 30 per second, until `stop` is set.
fn call_until_stopped(router: &Router, client_number: u64, stop: &AtomicBool) -> CallCounts {
    const CALL_INTERVAL: Duration = Duration::from_millis(30);
    let mut client = Client::connect(router);
    let mut counts = CallCounts::default();
    while !stop.load(Ordering::Relaxed) {
        counts.made += 1;
        let id = client_number << 32 | counts.made;
        // Different functions are placed on different workers.
        client.send(&function_call_line(counts.made, id, id % FUNCTIONS));
        counts.served += u64::from(client.receive().contains(DONE));
        std::thread::sleep(CALL_INTERVAL);
    }
    counts
}

/// What happened during an outage.
struct OutageResult {
    /// New work that draining workers received after it should have stopped.
    late_work: Vec<TimedFrame>,
    calls: CallCounts,
}

/// How discovery becomes unreachable.
#[derive(Clone, Copy, Debug)]
enum OutageStart {
    /// Discovery fails.
    DiscoveryFailure(Outage),
    /// The configuration is reloaded three times, each time with a discovery address without a listener; the
    /// previous discovery falls silent.
    UnreachableReloads,
}

/// An outage and its circumstances.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    outage_start: OutageStart,
    /// Whether two workers begin to drain at once and two after 5 s.
    drains: bool,
    /// Whether two other workers are full and reject attempts.
    others_full: bool,
    /// Whether the settings permit health checks.
    health_checks: bool,
    /// Number of routers according to the settings. With several, a router also sends health checks to learn the load.
    routers: usize,
}

impl Scenario {
    const WITH_DRAINS: Self = Self {
        outage_start: OutageStart::DiscoveryFailure(Outage::Refused),
        drains: true,
        others_full: false,
        health_checks: true,
        routers: 3,
    };
}

/// The workers, discovery and router of a test.
struct TestSetup {
    workers: Vec<Worker>,
    discovery: LiveDiscovery,
    configuration: RouterConfiguration,
    router: Router,
}

impl TestSetup {
    fn start(scenario: Scenario) -> Self {
        let workers: Vec<_> = (0..8).map(|_| Worker::start(answers)).collect();
        let addresses: Vec<_> = workers.iter().map(|worker| worker.address).collect();
        let discovery = LiveDiscovery::start(workers.len() as u64);
        let configuration = RouterConfiguration::new(&addresses, discovery.address, MAX_SOCKETS)
            .with("Balancers", scenario.routers)
            .with("Probing", scenario.health_checks);
        let router = Router::with_configuration(&configuration);
        Self { workers, discovery, configuration, router }
    }

    fn begin_outage(&self, outage_start: OutageStart) {
        match outage_start {
            OutageStart::DiscoveryFailure(outage) => self.discovery.fail(outage),
            OutageStart::UnreachableReloads => {
                for _ in 0..3 {
                    let unused_address = TcpListener::bind("127.0.0.1:0").and_then(|port| port.local_addr());
                    let address = unused_address.expect("a free port");
                    let new_configuration =
                        self.configuration.clone().with("bulletin", format!("\"{address}\""));
                    std::fs::write(&self.router.configuration_file, new_configuration.text())
                        .expect("a writable file");
                    self.router.process.signal(Signal::SIGHUP);
                    std::thread::sleep(Duration::from_millis(100));
                }
                self.discovery.fail(Outage::Silent);
            }
        }
    }

    /// Makes a worker drain and publishes the event; returns when.
    fn drain(&self, worker: usize) -> Instant {
        self.workers[worker].set_condition(WorkerCondition::Draining);
        let address = self.workers[worker].address;
        self.discovery.publish(|number| endpoint_event(number, &format!("w{worker}"), address, "leaving"));
        Instant::now()
    }
}

/// Runs an outage of 9 s, with calls throughout.
fn run_scenario(scenario: Scenario) -> OutageResult {
    let setup = TestSetup::start(scenario);
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let clients: Vec<_> = (1..=4)
            .map(|number| {
                let (router, stop) = (&setup.router, &stop);
                scope.spawn(move || call_until_stopped(router, number, stop))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(1500));
        if scenario.others_full {
            (6..8).for_each(|worker| setup.workers[worker].set_condition(WorkerCondition::Full));
        }
        setup.begin_outage(scenario.outage_start);
        let outage_started_at = Instant::now();
        let mut draining = Vec::new();
        if scenario.drains {
            draining.extend(
                [0, 1].map(|worker| (worker, setup.drain(worker).max(outage_started_at + MAX_EVENT_DELAY))),
            );
        }
        std::thread::sleep(Duration::from_secs(5));
        if scenario.drains {
            draining.extend([2, 3].map(|worker| (worker, setup.drain(worker))));
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
            .flat_map(|&(worker, known_at)| {
                setup.workers[worker].received.new_work_after(known_at + DRAIN_GRACE + DELIVERY_MARGIN)
            })
            .collect();
        OutageResult { late_work, calls }
    })
}

#[test]
fn draining_workers_get_no_new_work_while_discovery_is_unreachable() {
    let results: Vec<_> = std::thread::scope(|scope| {
        let start = |outage| {
            let scenario =
                Scenario { outage_start: OutageStart::DiscoveryFailure(outage), ..Scenario::WITH_DRAINS };
            (outage, scope.spawn(move || run_scenario(scenario)))
        };
        let runs: Vec<_> = Outage::ALL.map(start).into_iter().collect();
        runs.into_iter().map(|(outage, run)| (outage, run.join().expect("no scenario panicked"))).collect()
    });
    let failures: Vec<_> = results
        .iter()
        .filter(|(_, result)| !result.late_work.is_empty() || !result.calls.nearly_all_served())
        .map(|(outage, OutageResult { late_work, calls })| {
            format!(
                "{outage:?}: {} frames too late, the first {:?}; {calls:?}",
                late_work.len(),
                late_work.first()
            )
        })
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Outages under related circumstances: draining workers get no new work, and calls are still served.
#[test_case(Scenario { outage_start: OutageStart::UnreachableReloads, ..Scenario::WITH_DRAINS }; "configurations in a row name unreachable addresses")]
#[test_case(Scenario { others_full: true, ..Scenario::WITH_DRAINS }; "other workers are full")]
#[test_case(Scenario { health_checks: false, ..Scenario::WITH_DRAINS }; "health checks are not permitted")]
#[test_case(Scenario { health_checks: false, drains: false, ..Scenario::WITH_DRAINS }; "no health checks and no draining worker")]
fn calls_are_served_and_drains_respected_in_related_outages(scenario: Scenario) {
    let OutageResult { late_work, calls } = run_scenario(scenario);
    assert!(late_work.is_empty(), "{} frames too late, the first {:?}", late_work.len(), late_work[0]);
    assert!(calls.nearly_all_served(), "{calls:?}");
}

/// Makes one call after the other, cycling through the functions; returns how many were served.
fn count_served_calls(router: &Router, calls: std::ops::Range<u64>) -> usize {
    let mut client = Client::connect(router);
    calls
        .filter(|&id| {
            client.send(&function_call_line(id, id, id % FUNCTIONS));
            client.receive().contains(DONE)
        })
        .count()
}

/// A router starts while discovery is unreachable, with an outdated list: two of its workers have begun to drain, and
/// one has exited. The router is ready, serves calls, and sends the two draining workers no new work.
#[test]
fn a_router_started_during_an_outage_avoids_outdated_endpoints() {
    let setup = TestSetup::start(Scenario::WITH_DRAINS);
    setup.begin_outage(OutageStart::DiscoveryFailure(Outage::Refused));
    for worker in [0, 1] {
        setup.drain(worker);
    }
    setup.workers[2].set_condition(WorkerCondition::Gone);
    let restarted_at = Instant::now();
    let router = Router::with_configuration(&setup.configuration);
    assert!(Client::connect(&router).is_router_ready(1));
    assert_eq!(count_served_calls(&router, 1..60), 59);
    for worker in [0, 1] {
        assert_eq!(setup.workers[worker].received.new_work_after(restarted_at).len(), 0);
    }
}

/// During an outage one worker drains and becomes ready again, and another restarts: both get calls again before
/// discovery is back.
#[test]
fn workers_that_become_ready_again_are_used_during_an_outage() {
    let setup = TestSetup::start(Scenario::WITH_DRAINS);
    setup.router.wait_for_current_list();
    count_served_calls(&setup.router, 1..60);
    setup.begin_outage(OutageStart::DiscoveryFailure(Outage::Silent));
    setup.drain(0);
    setup.workers[1].set_condition(WorkerCondition::Gone);
    assert!(becomes_true(|| !setup.router.log_lines_containing("the endpoint list is stale").is_empty()));
    assert_eq!(count_served_calls(&setup.router, 100..160), 60);
    for worker in [0, 1] {
        setup.workers[worker].set_condition(WorkerCondition::Ready);
    }
    let ready_at = Instant::now();
    let mut calls = 200..;
    let are_used = becomes_true(|| {
        let first = calls.next().expect("the range has no end") * 100;
        count_served_calls(&setup.router, first..first + 20);
        [0, 1].iter().all(|worker| !setup.workers[*worker].received.new_work_after(ready_at).is_empty())
    });
    assert!(are_used);
}

/// A router is paused for longer than the drain grace, and finds calls and events at once when it resumes: the events
/// are applied first. Guards against polling the clients' sockets first and sending their calls to draining workers.
#[test]
fn an_event_received_during_a_pause_is_applied_before_calls() {
    pause_with_calls_and_events(Duration::ZERO);
}

/// The same where discovery counts as silent once the router resumes, before it has read what discovery has sent. Guards
/// against closing the stream with the events unread.
#[test]
fn an_event_received_during_a_pause_past_the_silence_timeout_is_applied_before_calls() {
    /// Together with the pause longer than discovery may be silent, 1.8 s.
    const AFTER_HEARTBEAT: Duration = Duration::from_millis(500);
    pause_with_calls_and_events(AFTER_HEARTBEAT);
}

/// Pauses a router some time after a heartbeat, while clients send calls and then workers drain. Draining workers get none
/// of the calls.
fn pause_with_calls_and_events(after_heartbeat: Duration) {
    let setup = TestSetup::start(Scenario { routers: 1, ..Scenario::WITH_DRAINS });
    setup.router.wait_for_current_list();
    assert_eq!(count_served_calls(&setup.router, 1..60), 59);
    let mut clients: Vec<_> = (0..8).map(|_| Client::connect(&setup.router)).collect();
    assert!(clients.iter_mut().all(|client| client.is_router_ready(1)));
    std::thread::sleep(after_heartbeat);
    setup.router.process.while_paused(|| {
        // The clients' sockets become ready before that of discovery, so they are polled first.
        for (client, n) in clients.iter_mut().zip(1_u64..) {
            for call in 0..4 {
                let id = 1000 * n + call;
                client.send(&function_call_line(10 + call, id, id % FUNCTIONS));
            }
        }
        for worker in 0..4 {
            setup.drain(worker);
        }
        std::thread::sleep(DRAIN_GRACE + DELIVERY_MARGIN);
    });
    let resumed_at = Instant::now();
    for client in &mut clients {
        let lines: Vec<_> = (0..4).map(|_| client.receive()).collect();
        assert!(lines.iter().all(|line| line.contains(DONE)), "{lines:?}\n{}", setup.router.log());
    }
    for worker in 0..4 {
        let late_work = setup.workers[worker].received.new_work_after(resumed_at);
        assert!(late_work.is_empty(), "worker {worker}: {late_work:?}");
    }
}
