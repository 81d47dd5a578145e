//! What following costs and how soon a change is in force, by size of the fleet: simulated time, the cores as they are,
//! datagrams sealed as in service, seven control machines, 1% of the messages lost; with the burst one of ten zones goes,
//! that of the control machine which leads.
//! `cargo bench -p milletpath-changes --bench fleet`; `-- quick` for the small sizes alone, `-- --json` for one line of
//! JSON a size.

#[path = "../tests/burst/mod.rs"]
mod burst;
#[path = "../tests/net/mod.rs"]
mod net;

use burst::{Burst, between, spent};
use milletpath_changes::State;
use net::place::regions;
use net::{Net, Place};

fn at(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get((part * values.len().saturating_sub(1) as f64).round() as usize).copied().unwrap_or(f64::NAN)
}

/// Bytes that a state takes, by estimate: its keys twice, its texts, and the nodes of two trees.
fn memory(state: &State) -> usize {
    /// An entry in both trees with the headers of its three strings, where trees are two thirds full.
    const AROUND: usize = (24 + 8 + 8 + 72) * 3 / 2;
    let keys: usize = state.iter().map(|(_, change)| change.key.len()).sum();
    state.texts() + keys + state.iter().count() * AROUND
}

const GONE: usize = 0;

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
        // The zone of the machine that leads.
        net.gone = vec![GONE];
        let mut burst = Burst::play(&mut net, 20);
        let [p50, p99] = [0.5, 0.99].map(|part| at(&mut burst.delays, part));
        let worst = burst.worst();
        let there = (0..size).filter(|n| Place::Follower(*n).zone() != GONE).count();
        let missed = 20 * there - burst.delays.len();
        let state = memory(net.follower(0).state());
        if asked("--json") {
            let figures = |((cpu, b_in, b_out), (m_cpu, m_in, m_out)): (_, _)| {
                serde_json::json!({
                    "follower_cpu": cpu, "follower_bytes_in": b_in, "follower_bytes_out": b_out,
                    "replica_cpu": m_cpu, "replica_bytes_in": m_in, "replica_bytes_out": m_out,
                })
            };
            let tuples = |(a, b): (burst::Cost, burst::Cost)| ((a[0], a[1], a[2]), (b[0], b[1], b[2]));
            let mut line = figures(tuples(rest));
            line["size"] = size.into();
            line["burst"] = figures(tuples(burst.spent));
            line["known"] = serde_json::json!({ "p50": p50, "p99": p99, "worst": worst });
            line["missed"] = missed.into();
            line["state_bytes"] = state.into();
            println!("{line}");
            continue;
        }
        for (what, (gateway, machine)) in [("at rest", rest), ("20 changes", burst.spent)] {
            let ([cpu, b_in, b_out], [m_cpu, m_in, m_out]) = (gateway, machine);
            print!("{size:>4} {what:<10} {:>6.3} {b_in:>9.0} {b_out:>10.0} ", cpu * 1e3);
            println!("{:>11.3} {m_in:>9.0} {m_out:>10.0}", m_cpu * 1e3);
        }
        println!(
            "     in force after p50 {p50:.2} s, p99 {p99:.2} s, worst {worst:.2} s; not after 6 s: {missed}"
        );
        println!("     state of {state} bytes by estimate");
    }
}
