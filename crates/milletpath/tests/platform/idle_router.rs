//! Resource use of an idle router.

use milletpath_test_support::platform_rig::{
    Client, DONE, DiscoveryStreams, Router, RouterConfiguration, Worker, answers,
};
use std::io::Write;
use std::time::{Duration, Instant};

/// Resource use of a process so far, read from `/proc`.
struct ProcessUsage {
    /// Voluntary context switches: how often the process blocked and was woken.
    wakeups: u64,
    /// CPU time in hundredths of a second.
    cpu_ticks: u64,
}

impl ProcessUsage {
    fn read(pid: u32) -> Self {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap();
        let status = read("status");
        let wakeups = status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:")).unwrap();
        let stat = read("stat");
        let fields: Vec<_> = stat.rsplit(") ").next().unwrap().split_whitespace().collect();
        let (user, system): (u64, u64) = (fields[11].parse().unwrap(), fields[12].parse().unwrap());
        Self { wakeups: wakeups.trim().parse().unwrap(), cpu_ticks: user + system }
    }
}

/// A router that has served calls and receives no more, while its clients stay connected and discovery sends
/// heartbeats, uses hardly any CPU: it wakes five times per second to check idle connections, and sends its workers
/// nothing.
#[test]
fn an_idle_router_waits_and_sends_nothing() {
    const MAX_WAKEUPS_PER_SECOND: f64 = 40.0;
    const MAX_CORE_FRACTION: f64 = 0.2;
    const TICKS_PER_SECOND: f64 = 100.0;
    let worker = Worker::start(answers);
    let discovery = DiscoveryStreams::start();
    let router =
        Router::with_configuration(&RouterConfiguration::new(&[worker.address], discovery.address, 256));
    let mut clients: Vec<_> = (0..50).map(|_| Client::connect(&router)).collect();
    for (client, id) in clients.iter_mut().zip(1..) {
        assert!(client.call(1, id).contains(DONE));
    }
    let mut stream = discovery.next_stream();
    let started = Instant::now();
    let before = ProcessUsage::read(router.process.id());
    let frames = worker.received.count();
    for _ in 0..3 {
        stream.write_all(b"1\n").unwrap();
        std::thread::sleep(Duration::from_millis(400));
    }
    let after = ProcessUsage::read(router.process.id());
    let seconds = started.elapsed().as_secs_f64();
    let wakeups = (after.wakeups - before.wakeups) as f64 / seconds;
    let core_fraction = (after.cpu_ticks - before.cpu_ticks) as f64 / TICKS_PER_SECOND / seconds;
    assert!(
        wakeups < MAX_WAKEUPS_PER_SECOND && core_fraction < MAX_CORE_FRACTION,
        "{wakeups} wakeups per second, CPU use {core_fraction} of a core"
    );
    assert_eq!(worker.received.count(), frames);
    assert!(clients.iter().all(|client| !client.has_received()), "an idle client received data or a close");
}
