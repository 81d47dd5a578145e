//! What knowing each other costs and how soon it is known, by size of the fleet and by letters lost: simulated time, the
//! cores as they are, datagrams sealed as in service. `cargo bench -p milletpath-membership --bench fleet`; `-- quick` for
//! the small sizes alone.

#[path = "../tests/simulated_network/mod.rs"]
mod simulated_network;

use milletpath_membership::{MembershipConfig, MembershipEvent};
use rand::Rng;
use simulated_network::{SimulatedNetwork, lossy, reliable};

fn at(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get((part * values.len().saturating_sub(1) as f64).round() as usize).copied().unwrap_or(f64::NAN)
}

fn converged_network(size: usize, seed: u64) -> SimulatedNetwork {
    // In a larger fleet words go round more slowly: the lease that an operator would choose.
    let lease = if size > 50 { 12.0 } else { 3.0 };
    let mut network = SimulatedNetwork::new(
        size,
        1.max(size / 8),
        MembershipConfig { lease, floor: 0.5, ..MembershipConfig::default() },
        seed,
    );
    network.start_all();
    network.run_until(if size > 50 { 100.0 } else { 20.0 });
    network
}

/// Seconds until all agree, looked at ten times a second.
fn agrees(network: &mut SimulatedNetwork, most: f64) -> f64 {
    let from = network.now;
    while !network.all_agree() && network.now < from + most {
        network.run_until(network.now + 0.1);
    }
    network.now - from
}

fn main() {
    let quick = std::env::args().any(|a| a == "quick");
    let sizes: &[usize] = if quick { &[3, 10] } else { &[3, 10, 24, 100, 300] };
    println!("size   bytes/s  letters/s  word age p50 p99   learn a death p50 p99   healed after  joined");
    for &size in sizes {
        let seeds = if size > 50 { 1 } else { 5 };
        let (mut bytes, mut datagrams, mut ages, mut learnt, mut healed, mut joined) =
            (0.0, 0.0, vec![], vec![], vec![], vec![]);
        for seed in 1..=seeds {
            let mut network = converged_network(size, seed);
            let before: (u64, u64) =
                network.nodes.iter().fold((0, 0), |(b, l), n| (b + n.bytes, l + n.datagrams));
            network.run_until(network.now + 20.0);
            let after: (u64, u64) =
                network.nodes.iter().fold((0, 0), |(b, l), n| (b + n.bytes, l + n.datagrams));
            let spent = 20.0 * size as f64 * seeds as f64;
            bytes += (after.0 - before.0) as f64 / spent;
            datagrams += (after.1 - before.1) as f64 / spent;
            for n in 0..size {
                let membership = network.nodes[n].membership.as_ref().expect("it is up");
                let others = (0..size).filter(|o| *o != n);
                ages.extend(others.filter_map(|o| membership.assertion_age(network.instance_id(o))));
            }
            for n in 0..5.min(size - 1) {
                network.kill(n);
                let from = network.now;
                network.run_until(from + 20.0);
                let name = format!("gateway-{n}");
                let died =
                    |e: &MembershipEvent| matches!(e, MembershipEvent::Died { name: dead } if *dead == name);
                learnt.extend(network.first_event_times(from, died).into_values());
                network.start(n);
                joined.push(agrees(&mut network, 30.0));
                network.run_until(network.now + 5.0);
            }
            let (from, apart) = (network.now, size * 2 / 5);
            network.delivery_rule = Box::new(move |_, a, b, rng| {
                if (a < apart) != (b < apart) { vec![] } else { vec![rng.random_range(0.0005..0.002)] }
            });
            network.run_until(from + 15.0);
            network.delivery_rule = reliable();
            healed.push(agrees(&mut network, 60.0));
        }
        println!(
            "{size:>4} {bytes:>9.0} {datagrams:>10.1} {:>12.2} {:.2} {:>15.2} {:.2} {:>14.1} {:>8.1}",
            at(&mut ages, 0.5),
            at(&mut ages, 0.99),
            at(&mut learnt, 0.5),
            at(&mut learnt, 0.99),
            at(&mut healed, 1.0),
            at(&mut joined, 1.0),
        );
    }
    println!(
        "\nsize  lost   false suspicions, false deaths an hour and gateway; gateways without standing, part of time"
    );
    for &size in sizes {
        for lost in [0.01, 0.05, 0.2, 0.3] {
            let mut network = converged_network(size, 1);
            network.delivery_rule = lossy(lost);
            let from = network.now;
            let span = if size > 50 { 60.0 } else { 600.0 };
            let (mut without, mut looks) = (0, 0);
            while network.now < from + span {
                network.run_until(network.now + 0.5);
                looks += size;
                without +=
                    network.nodes.iter().filter(|n| n.quota.is_some_and(|p| p.fraction <= p.floor)).count();
            }
            let count = |such: &dyn Fn(&MembershipEvent) -> bool| {
                let all = network
                    .nodes
                    .iter()
                    .flat_map(|n| &n.events)
                    .filter(|(at, e)| *at > from && such(e))
                    .count();
                all as f64 / (span / 3600.0) / size as f64
            };
            println!(
                "{size:>4} {lost:>5} {:>12.1} {:>12.2} {:>12.3}",
                count(&|e| matches!(e, MembershipEvent::Suspected { .. })),
                count(&|e| matches!(e, MembershipEvent::Died { .. })),
                f64::from(without as u32) / looks as f64
            );
        }
    }
}
