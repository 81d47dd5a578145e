//! What following costs and how soon a change is in force, by size of the fleet: simulated time, the cores as they are,
//! datagrams sealed as in service, seven control machines, 1% of the messages lost; in a burst one of ten zones is
//! gone, once one without a control machine and once that of the machine which leads.
//! `cargo bench -p milletpath-config-log --bench fleet`; `-- quick` for the small sizes alone, `-- --json` for one line of
//! JSON a size.

#[path = "../tests/burst/mod.rs"]
mod burst;
#[path = "../tests/net/mod.rs"]
mod net;

use burst::{Burst, Cost, between, spent};
use milletpath_config_log::{Entry, State};
use net::place::regions;
use net::{Net, Place};

fn at(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get((part * values.len().saturating_sub(1) as f64).round() as usize).copied().unwrap_or(f64::NAN)
}

/// Bytes that a state of so many statements of the usual length takes, by estimate: its keys twice, its texts, and the
/// nodes of two trees.
fn memory(statements: u64) -> usize {
    /// An entry in both trees with the headers of its three strings, where trees are two thirds full.
    const AROUND: usize = (24 + 8 + 8 + 72) * 3 / 2;
    let mut state = State::default();
    for number in 1..=statements {
        assert!(state.apply(Entry { number, change: burst::stated(number) }));
    }
    let keys: usize = state.iter().map(|(_, change)| change.key.len()).sum();
    state.texts() + keys + state.iter().count() * AROUND
}

/// Seconds until in force, and how often that was not so after 6 s.
struct Known {
    p50: f64,
    p99: f64,
    worst: f64,
    missed: usize,
}

/// A burst while that zone is gone.
fn known(net: &mut Net, gone: usize) -> (Known, Burst) {
    net.gone = vec![gone];
    let mut burst = Burst::play(net, 20);
    let [p50, p99] = [0.5, 0.99].map(|part| at(&mut burst.delays, part));
    let there = (0..net.gateways.len()).filter(|n| Place::Follower(*n).zone() != gone).count();
    let missed = 20 * there - burst.delays.len();
    net.gone.clear();
    net.play(net.now + 10.0);
    (Known { p50, p99, worst: burst.worst(), missed }, burst)
}

/// A zone without a control machine, and that of the machine which leads.
const ZONES: [usize; 2] = [9, 0];

fn figures((gateway, machine): (Cost, Cost)) -> serde_json::Value {
    serde_json::json!({
        "follower_cpu": gateway[0], "follower_bytes_in": gateway[1], "follower_bytes_out": gateway[2],
        "replica_cpu": machine[0], "replica_bytes_in": machine[1], "replica_bytes_out": machine[2],
    })
}

fn main() {
    let asked = |name: &str| std::env::args().any(|a| a == name);
    let sizes: &[usize] = if asked("quick") { &[100] } else { &[100, 300, 600, 1100] };
    if !asked("--json") {
        println!("                a gateway, a second              a machine, a second");
        println!("size           cpu ms  bytes in  bytes out      cpu ms  bytes in  bytes out");
    }
    for &size in sizes {
        let mut net = Net::new(7, size, size as u64);
        net.rule = regions(0.01);
        net.follow_all();
        net.play(4.0);
        net.commit(0, net::change(1, "first", "lanes = 1", 0));
        net.play(net.now + 2.0);
        net.timed = true;
        let (before, from) = (spent(&net), net.now);
        net.play(from + 10.0);
        let rest = between(before, spent(&net), 10.0);
        let (calm, burst) = known(&mut net, ZONES[0]);
        assert_eq!(net.leaders(), [ZONES[1]]);
        let (led, _) = known(&mut net, ZONES[1]);
        if asked("--json") {
            let known = |k: &Known| serde_json::json!({ "p50": k.p50, "p99": k.p99, "worst": k.worst, "missed": k.missed });
            let mut line = figures(rest);
            line["size"] = size.into();
            line["burst"] = figures(burst.spent);
            line["known"] = known(&calm);
            line["known_leader_gone"] = known(&led);
            println!("{line}");
            continue;
        }
        for (what, (gateway, machine)) in [("at rest", rest), ("20 changes", burst.spent)] {
            let ([cpu, b_in, b_out], [m_cpu, m_in, m_out]) = (gateway, machine);
            print!("{size:>4} {what:<10} {:>6.3} {b_in:>9.0} {b_out:>10.0} ", cpu * 1e3);
            println!("{:>11.3} {m_in:>9.0} {m_out:>10.0}", m_cpu * 1e3);
        }
        for (what, k) in [("a zone", calm), ("the leader's zone", led)] {
            println!(
                "     in force with {what} gone: p50 {:.2} s, p99 {:.2} s, worst {:.2} s; not after 6 s: {}",
                k.p50, k.p99, k.worst, k.missed
            );
        }
    }
    if !asked("--json") {
        for statements in [1_000, 100_000] {
            println!("state of {statements} statements: {} bytes by estimate", memory(statements));
        }
    }
}
