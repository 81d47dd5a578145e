//! The router process: how it starts, reloads its configuration and exits, and which sockets it holds.

use milletpath_test_support::platform_rig::{
    Client, DONE, Discovery, DiscoveryStreams, MAX_SOCKETS, REJECTED, Router, RouterConfiguration, Worker,
    WorkerCondition, answers, call_line, health_check_line,
};
use milletpath_test_support::program::program;
use milletpath_test_support::wait::{becomes_true, wait_for};
use nix::sys::signal::Signal;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_case::test_case;

/// When the router can't start, it writes one line with the reason to standard error and exits with code 2.
#[test_case(None, "LB_CONFIG is not set"; "no configuration file named")]
#[test_case(Some("/nonexistent/configuration"), "/nonexistent/configuration"; "a configuration file that does not exist")]
fn a_failed_start_reports_the_reason(file: Option<&str>, reason: &str) {
    let mut command = program();
    command.arg("platform").env_remove("LB_CONFIG").env_remove("LB_LISTEN");
    command.envs(file.map(|file| ("LB_CONFIG", file)));
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains(reason));
}

/// SIGHUP comes while the file is half written; once it is complete, the router subscribes to the new discovery from
/// its last event on. Calls are served throughout.
#[test]
fn the_configuration_is_replaced_while_calls_are_served() {
    let worker = Worker::start(answers);
    let next = Discovery::steady();
    let router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let mut client = Client::connect(&router);
    let complete = RouterConfiguration::new(&[worker.address], next.address, MAX_SOCKETS);
    std::fs::write(&router.configuration_file, &complete.text()[..complete.text().len() / 2]).unwrap();
    router.process.signal(Signal::SIGHUP);
    assert!(client.call(1, 1).contains(DONE));
    std::fs::write(&router.configuration_file, complete.text()).unwrap();
    assert!(wait_for(|| next.requests().first().cloned()).is_some_and(|request| request == "after 1"));
    assert!(client.call(2, 2).contains(DONE));
}

/// Guards against reloads that pile up: each SIGHUP for a file that stays invalid added one that read it for a minute.
#[test]
fn only_the_last_of_many_reloads_reads_an_invalid_file_again() {
    const SIGNALS: usize = 40;
    const OBSERVED_FOR: Duration = Duration::from_millis(500);
    /// Twice the reads of one reload in that time.
    const MAX_READS: usize = 20;
    let router = Router::start(&[], Discovery::steady().address, MAX_SOCKETS);
    std::fs::write(&router.configuration_file, "{").unwrap();
    for _ in 0..SIGNALS {
        router.process.signal(Signal::SIGHUP);
        std::thread::sleep(Duration::from_millis(5));
    }
    let reads = || router.log_lines_containing("could not reload the platform's file").len();
    let before = reads();
    std::thread::sleep(OBSERVED_FOR);
    let more = reads() - before;
    assert!((1..=MAX_READS).contains(&more), "read {more} times");
}

fn answers_the_first_attempt_late(earlier_attempts: usize, id: u64, connection: &mut TcpStream) {
    std::thread::sleep(Duration::from_millis(if earlier_attempts == 0 { 1500 } else { 1 }));
    answers(earlier_attempts, id, connection);
}

/// After SIGTERM, calls in flight and calls that still arrive are answered; then the process exits with success.
#[test]
fn a_router_that_receives_sigterm_answers_before_it_exits() {
    let worker = Worker::start(answers_the_first_attempt_late);
    let mut router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let [mut first, mut second] = [(); 2].map(|()| Client::connect(&router));
    first.send(&call_line(1, 1));
    assert!(becomes_true(|| !worker.received.attempts().is_empty()));
    router.process.signal(Signal::SIGTERM);
    second.send(&health_check_line(1));
    second.receive();
    let late_answer = Client::connect(&router).call(1, 2);
    assert!(late_answer.contains("\"id\":1,"), "{late_answer}");
    assert!(first.receive().contains(DONE));
    assert!(router.process.exit_status().is_some_and(|status| status.success()));
}

/// SIGTERM arrives twice, together with SIGHUP, or before any endpoint list is known: the process still answers a call
/// and exits with success.
#[test_case(&[Signal::SIGTERM, Signal::SIGTERM], true; "twice")]
#[test_case(&[Signal::SIGHUP, Signal::SIGTERM], true; "after SIGHUP")]
#[test_case(&[Signal::SIGTERM, Signal::SIGHUP], true; "before SIGHUP")]
#[test_case(&[Signal::SIGTERM], false; "before an endpoint list is known")]
fn signals_received_together_end_the_process_once(signals: &[Signal], has_endpoints: bool) {
    let worker = Worker::start(answers);
    let workers: &[_] = if has_endpoints { &[worker.address] } else { &[] };
    let unreachable = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let mut router = Router::with_configuration(&RouterConfiguration::new(workers, unreachable, MAX_SOCKETS));
    router.process.while_paused(|| signals.iter().for_each(|signal| router.process.signal(*signal)));
    let line = Client::connect(&router).call(1, 1);
    assert!(line.contains(if has_endpoints { DONE } else { REJECTED }), "{line}");
    assert!(router.process.exit_status().is_some_and(|status| status.success()));
}

/// A process that receives SIGTERM closes its connections before its clients do; its successor can still bind the
/// address at once.
#[test]
fn the_next_process_binds_the_address_at_once() {
    let worker = Worker::start(answers);
    let configuration = RouterConfiguration::new(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let configuration = configuration.with("listen", "\"127.0.0.78:0\"");
    let mut router = Router::with_configuration(&configuration);
    let mut clients: Vec<_> = (0..5).map(|_| Client::connect(&router)).collect();
    assert!(clients.iter_mut().zip(1..).all(|(client, id)| client.call(1, id).contains(DONE)));
    router.process.signal(Signal::SIGTERM);
    assert!(clients.iter_mut().all(Client::is_closed_cleanly));
    assert!(router.process.exit_status().is_some_and(|status| status.success()));
    let same_address = format!("\"{}\"", router.address);
    let next = Router::with_configuration(&configuration.with("listen", same_address));
    assert_eq!(next.address, router.address);
    let line = Client::connect(&next).call(1, 9);
    assert!(line.contains(DONE), "{line:?}\nfirst process:\n{}\nnext process:\n{}", router.log(), next.log());
}

/// The first call of a process is served although neither the first heartbeat of discovery nor a health check of the
/// worker is answered within the first tenths of a second. Such a call was rejected after 0.1 s.
#[test_case(Duration::from_millis(150); "150 ms")]
#[test_case(Duration::from_millis(500); "500 ms")]
fn the_first_call_is_served_by_a_late_confirmation(delay: Duration) {
    let worker = Worker::start(answers);
    worker.set_condition(WorkerCondition::Hung);
    let discovery = DiscoveryStreams::without_heartbeat();
    let router = Router::start(&[worker.address], discovery.address, MAX_SOCKETS);
    let mut stream = discovery.next_stream();
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    std::thread::sleep(delay);
    worker.set_condition(WorkerCondition::Ready);
    stream.write_all(b"1\n").unwrap();
    let line = client.receive();
    assert!(line.contains(DONE), "{line}\n{}", router.log());
    assert_eq!(worker.received.attempts(), [1]);
}

/// The inodes of the sockets that a process has open.
fn socket_inodes(process: &str) -> Vec<String> {
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().flatten();
    let links = descriptors.filter_map(|descriptor| std::fs::read_link(descriptor.path()).ok());
    let inode =
        |link: PathBuf| Some(link.to_str()?.strip_prefix("socket:[")?.trim_end_matches(']').to_owned());
    links.filter_map(inode).collect()
}

/// Where the platform runs hundreds of routers, only TCP and UDP sockets are available. Guards against receiving
/// signals through a pair of Unix sockets.
#[test]
fn a_router_holds_no_unix_socket() {
    let worker = Worker::start(answers);
    let mut router = Router::start(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    assert!(Client::connect(&router).call(1, 1).contains(DONE));
    let test_inodes = socket_inodes("self");
    let router_inodes = socket_inodes(&router.process.id().to_string());
    let unix_sockets = std::fs::read_to_string("/proc/self/net/unix").unwrap();
    let unix_inodes: Vec<_> =
        unix_sockets.lines().filter_map(|line| line.split_whitespace().nth(6)).collect();
    assert!(router_inodes.len() >= 2, "at least a listener and a client: {router_inodes:?}");
    let router_unix_sockets: Vec<_> = router_inodes
        .iter()
        .filter(|inode| unix_inodes.contains(&inode.as_str()) && !test_inodes.contains(inode))
        .collect();
    assert!(router_unix_sockets.is_empty(), "{router_unix_sockets:?}");
    router.process.signal(Signal::SIGTERM);
    assert!(router.process.exit_status().is_some_and(|status| status.success()));
}

/// Ten processes start at once on a machine whose cores are all busy: at least nine of them are ready within 10 s.
#[test]
fn nine_of_ten_routers_are_ready_in_time_on_a_busy_machine() {
    const READY_WITHIN: Duration = Duration::from_secs(10);
    let worker = Worker::start(answers);
    let configuration = RouterConfiguration::new(&[worker.address], Discovery::steady().address, MAX_SOCKETS);
    let done = AtomicBool::new(false);
    let ready = std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    std::hint::spin_loop();
                }
            });
        }
        let start = || {
            let started = Instant::now();
            let router = Router::with_configuration(&configuration);
            Client::connect(&router).is_router_ready(1) && started.elapsed() < READY_WITHIN
        };
        let starts: Vec<_> = (0..10).map(|_| scope.spawn(start)).collect();
        let ready = starts.into_iter().filter_map(|start| start.join().ok()).filter(|ready| *ready).count();
        done.store(true, Ordering::Relaxed);
        ready
    });
    assert!(ready >= 9, "{ready} of 10");
}
