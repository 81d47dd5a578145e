//! How even the load of the cores is by three ways to balancer connections out, with clients of unlike rates: by chance, as
//! the kernel's hash does; in turn; by the calls to expect, with some sent away from a crowded core. Simulated: no
//! sockets, so the figures are of the dealing alone.
//!
//! `cargo bench -p milletpath-multicore --bench connection_balancer` prints the busiest core's calls over the mean.

use milletpath_multicore::connection_balancer::{ConnectionBalancer, CoreLoad, REBALANCE_INTERVAL};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CORES: usize = 4;
const ROUNDS: u64 = 50;
/// Calls a second of all clients; seconds of a round, and those at its end that count.
const RATE: f64 = 10_000.0;
const SECONDS: f64 = 60.0;
const COUNTED: f64 = 20.0;
/// Mean seconds that a client keeps a connection of its own accord.
const KEEPS: f64 = 300.0;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Chance,
    Turn,
    Expected,
}

/// Busiest over mean, on average over the last seconds; and connections sent away.
fn round(way: Way, clients: usize, skew: f64, seed: u64) -> (f64, usize) {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut rates: Vec<f64> = (1..=clients).map(|rank| 1.0 / (rank as f64).powf(skew)).collect();
    let all: f64 = rates.iter().sum();
    rates.iter_mut().for_each(|r| *r *= RATE / all);
    rates.shuffle(&mut chance);
    let (mut balancer, mut turn, mut sent) = (ConnectionBalancer::new(CORES, 0.0), 0, 0);
    let mut core_of = vec![0; clients];
    let mut place = |balancer: &mut ConnectionBalancer, chance: &mut ChaCha8Rng| match way {
        Way::Chance => chance.random_range(0..CORES),
        Way::Turn => {
            turn += 1;
            turn % CORES
        }
        Way::Expected => balancer.pick_core(),
    };
    let (mut calls, mut now, mut found, mut looks) = ([0.0; CORES], 0.0, 0.0, 0);
    for core in &mut core_of {
        *core = place(&mut balancer, &mut chance);
    }
    while now < SECONDS {
        now += REBALANCE_INTERVAL;
        let mut load = [0.0; CORES];
        core_of.iter().zip(&rates).for_each(|(core, rate)| load[*core] += rate);
        calls.iter_mut().zip(load).for_each(|(calls, load)| *calls += load * REBALANCE_INTERVAL);
        if now > SECONDS - COUNTED {
            found += load.iter().copied().fold(0.0, f64::max) * CORES as f64 / RATE;
            looks += 1;
        }
        let seen = |core| CoreLoad {
            connections: core_of.iter().filter(|c| **c == core).count(),
            requests: calls[core] as u64,
            stalled: false,
        };
        let seen: Vec<_> = (0..CORES).map(seen).collect();
        for shift in balancer.rebalance(now, &seen) {
            // Whose next answer comes first is asked first: by chance, the more so the more it calls.
            let mut may: Vec<usize> = (0..clients)
                .filter(|c| core_of[*c] == shift.core && rates[*c] <= shift.max_request_rate)
                .collect();
            may.sort_by(|a, b| rates[*b].total_cmp(&rates[*a]));
            for client in may.into_iter().take(if way == Way::Expected { shift.connections } else { 0 }) {
                core_of[client] = place(&mut balancer, &mut chance);
                sent += 1;
            }
        }
        for core in &mut core_of {
            if chance.random_bool(REBALANCE_INTERVAL / KEEPS) {
                *core = place(&mut balancer, &mut chance);
            }
        }
    }
    (found / f64::from(looks), sent)
}

fn main() {
    println!("busiest of {CORES} cores over the mean, mean (worst) of {ROUNDS} rounds of {SECONDS} s");
    for (skew, name) in [(0.0, "alike"), (0.7, "unlike"), (1.1, "a few have most")] {
        for clients in [16, 64, 256] {
            let cells: Vec<String> =
                [(Way::Chance, "chance"), (Way::Turn, "in turn"), (Way::Expected, "expected")]
                    .into_iter()
                    .map(|(way, word)| {
                        let found: Vec<_> = (0..ROUNDS).map(|seed| round(way, clients, skew, seed)).collect();
                        let mean = found.iter().map(|f| f.0).sum::<f64>() / ROUNDS as f64;
                        let worst = found.iter().map(|f| f.0).fold(0.0, f64::max);
                        let sent = found.iter().map(|f| f.1).sum::<usize>() as f64 / ROUNDS as f64;
                        let sent = if sent > 0.0 { format!(", {sent:.0} sent away") } else { String::new() };
                        format!("{word} {mean:.2} ({worst:.2}{sent})")
                    })
                    .collect();
            println!("{clients:>4} clients, {name}: {}", cells.join("  "));
        }
    }
}
