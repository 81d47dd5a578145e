//! A release of a large fleet: thousands of changes of single workers, while every core has requests.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{IDEMPOTENT, OK, config_with_registry, outcome, registry, run, send_request, start_gateway};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;

const WORKERS: usize = 3000;
/// Six in ten are replaced, each by a change that it is gone and one that its successor is ready.
const REPLACED: usize = WORKERS * 6 / 10;
const RELEASE_SECONDS: f64 = 7.0;
/// Pause between the steps in which the changes are written.
const STEP: Duration = Duration::from_millis(10);
const CORES: usize = 4;
const CLIENTS: usize = 8;
/// How long a client waits, in seconds.
const PATIENCE: f64 = 2.0;

fn entry(name: &str, address: SocketAddr, state: &str) -> String {
    format!("{{\"name\": \"{name}\", \"address\": \"{address}\", \"state\": \"{state}\"}}")
}

fn revision(number: usize, whole: bool, entries: &str) -> String {
    format!("{{\"edition\": {number}, \"whole\": {whole}, \"workers\": [{entries}]}}\n")
}

/// Sends the release to the registry, evenly over its time.
async fn release(revisions: UnboundedSender<String>, addresses: Vec<SocketAddr>) {
    let began = Instant::now();
    let mut sent = 0;
    while sent < 2 * REPLACED {
        let due = (2 * REPLACED) as f64 * began.elapsed().as_secs_f64() / RELEASE_SECONDS;
        while sent < (2 * REPLACED).min(due as usize) {
            let worker = sent / 2;
            let address = addresses[worker % addresses.len()];
            let change = if sent % 2 == 0 {
                entry(&format!("w{worker}"), address, "gone")
            } else {
                entry(&format!("v{worker}"), address, "ready")
            };
            sent += 1;
            revisions.send(revision(sent + 1, false, &change)).unwrap();
        }
        tokio::time::sleep(STEP).await;
    }
}

/// Sends requests, each after the response to the one before, until the release has ended. Returns the longest time that
/// one took, and how many were served.
async fn send_requests(gateway: SocketAddr) -> (Duration, usize) {
    let began = Instant::now();
    let (mut longest, mut served) = (Duration::ZERO, 0);
    while began.elapsed().as_secs_f64() < RELEASE_SECONDS {
        let sent = Instant::now();
        let answer = send_request(gateway, &format!("milletpath-patience: {PATIENCE}\r\n"), "").await;
        assert_ne!(outcome(&answer), "none", "{answer}");
        served += usize::from(outcome(&answer) == "handled");
        longest = longest.max(sent.elapsed());
        tokio::time::sleep(STEP).await;
    }
    (longest, served)
}

/// Requests on every core are answered in time while six in ten of 3,000 workers are replaced. Guards against a change of
/// the list that holds the dispatcher, and with it all cores, for a time that grows with the fleet.
#[test]
fn a_release_of_a_large_fleet_holds_up_no_core() {
    run(async {
        let (addresses, _heads) = support::start_workers(4, vec![OK]).await;
        let (registry, revisions) = registry().await;
        let list: Vec<_> = (0..WORKERS)
            .map(|worker| entry(&format!("w{worker}"), addresses[worker % addresses.len()], "ready"))
            .collect();
        revisions.send(revision(1, true, &list.join(", "))).unwrap();
        let (gateway, _stop, _served) =
            start_gateway(config_with_registry(CORES, registry, IDEMPOTENT)).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        spawn_local(release(revisions, addresses));
        let clients: Vec<_> = (0..CLIENTS).map(|_| spawn_local(send_requests(gateway))).collect();
        for client in clients {
            let (longest, served) = client.await.unwrap();
            assert!(longest.as_secs_f64() < PATIENCE, "answered after {longest:?}");
            assert!(served > 0, "no request was served");
            println!("longest {longest:?}, {served} served");
        }
    });
}
