//! How evenly the requests of clients with unequal rates are spread over the cores by three ways to assign connections: at
//! random, as the kernel's hash does; round-robin; and by expected request rate, where overloaded cores close connections.
//! Simulated, without sockets: the figures are those of the assignment alone.
//!
//! `cargo bench -p milletpath-multicore --bench connection_balancer` prints the busiest core's requests over the mean.

use milletpath_multicore::connection_balancer::{
    ConnectionBalancer, ConnectionShift, CoreLoad, REBALANCE_INTERVAL,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CORES: usize = 4;
const ROUNDS: u64 = 50;
/// Requests a second of all clients.
const TOTAL_RATE: f64 = 10_000.0;
/// Seconds of a round, and those at its end that are measured.
const SECONDS: f64 = 60.0;
const MEASURED_SECONDS: f64 = 20.0;
/// Mean seconds for which a client keeps a connection of its own accord.
const CONNECTION_LIFETIME: f64 = 300.0;

/// How connections are assigned to cores.
#[derive(Clone, Copy, PartialEq)]
enum Assignment {
    Random,
    RoundRobin,
    ByExpectedRate,
}

/// The result of one round.
struct RoundResult {
    /// Busiest core's requests over the mean, on average over the measured seconds.
    imbalance: f64,
    /// Connections that overloaded cores closed.
    closed: usize,
}

/// The clients of one round and the cores that have their connections.
struct Round {
    assignment: Assignment,
    rng: ChaCha8Rng,
    balancer: ConnectionBalancer,
    next_core: usize,
    /// Requests a second of each client.
    rates: Vec<f64>,
    core_of: Vec<usize>,
    requests: [f64; CORES],
    closed: usize,
}

impl Round {
    fn new(assignment: Assignment, clients: usize, skew: f64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut rates: Vec<f64> = (1..=clients).map(|rank| 1.0 / (rank as f64).powf(skew)).collect();
        let total: f64 = rates.iter().sum();
        rates.iter_mut().for_each(|rate| *rate *= TOTAL_RATE / total);
        rates.shuffle(&mut rng);
        let balancer = ConnectionBalancer::new(CORES, 0.0);
        let requests = [0.0; CORES];
        let core_of = Vec::new();
        let mut round = Self { assignment, rng, balancer, next_core: 0, rates, core_of, requests, closed: 0 };
        round.core_of = (0..clients).map(|_| round.assign()).collect();
        round
    }

    fn assign(&mut self) -> usize {
        match self.assignment {
            Assignment::Random => self.rng.random_range(0..CORES),
            Assignment::RoundRobin => {
                self.next_core += 1;
                self.next_core % CORES
            }
            Assignment::ByExpectedRate => self.balancer.pick_core(),
        }
    }

    /// Plays one interval; returns the busiest core's requests over the mean.
    fn advance(&mut self, now: f64) -> f64 {
        let mut rate_of = [0.0; CORES];
        self.core_of.iter().zip(&self.rates).for_each(|(core, rate)| rate_of[*core] += rate);
        self.requests.iter_mut().zip(rate_of).for_each(|(sum, rate)| *sum += rate * REBALANCE_INTERVAL);
        let load = |core| CoreLoad {
            connections: self.core_of.iter().filter(|c| **c == core).count(),
            requests: self.requests[core] as u64,
            stalled: false,
        };
        let loads: Vec<_> = (0..CORES).map(load).collect();
        for shift in self.balancer.rebalance(now, &loads) {
            if self.assignment == Assignment::ByExpectedRate {
                self.close(&shift);
            }
        }
        self.reconnect_some();
        rate_of.iter().copied().fold(0.0, f64::max) * CORES as f64 / TOTAL_RATE
    }

    /// The client whose next response comes first is asked first: usually the one that sends the most requests.
    fn close(&mut self, shift: &ConnectionShift) {
        let may_close = |client: &usize| {
            self.core_of[*client] == shift.core && self.rates[*client] <= shift.max_request_rate
        };
        let mut clients: Vec<usize> = (0..self.rates.len()).filter(may_close).collect();
        clients.sort_by(|a, b| self.rates[*b].total_cmp(&self.rates[*a]));
        for client in clients.into_iter().take(shift.connections) {
            self.core_of[client] = self.assign();
            self.closed += 1;
        }
    }

    fn reconnect_some(&mut self) {
        for client in 0..self.core_of.len() {
            if self.rng.random_bool(REBALANCE_INTERVAL / CONNECTION_LIFETIME) {
                self.core_of[client] = self.assign();
            }
        }
    }

    fn play(mut self) -> RoundResult {
        let (mut now, mut sum, mut measured) = (0.0, 0.0, 0);
        while now < SECONDS {
            now += REBALANCE_INTERVAL;
            let imbalance = self.advance(now);
            if now > SECONDS - MEASURED_SECONDS {
                sum += imbalance;
                measured += 1;
            }
        }
        RoundResult { imbalance: sum / f64::from(measured), closed: self.closed }
    }
}

/// One cell of the table: mean (worst) imbalance, and connections closed in a round.
fn cell(assignment: Assignment, name: &str, clients: usize, skew: f64) -> String {
    let results: Vec<_> =
        (0..ROUNDS).map(|seed| Round::new(assignment, clients, skew, seed).play()).collect();
    let mean = results.iter().map(|result| result.imbalance).sum::<f64>() / ROUNDS as f64;
    let worst = results.iter().map(|result| result.imbalance).fold(0.0, f64::max);
    let closed = results.iter().map(|result| result.closed).sum::<usize>() as f64 / ROUNDS as f64;
    let closed = if closed > 0.0 { format!(", {closed:.0} closed") } else { String::new() };
    format!("{name} {mean:.2} ({worst:.2}{closed})")
}

fn main() {
    println!("busiest of {CORES} cores over the mean, mean (worst) of {ROUNDS} rounds of {SECONDS} s");
    for (skew, name) in [(0.0, "equal rates"), (0.7, "unequal rates"), (1.1, "a few clients send most")] {
        for clients in [16, 64, 256] {
            let cells = [
                cell(Assignment::Random, "random", clients, skew),
                cell(Assignment::RoundRobin, "round-robin", clients, skew),
                cell(Assignment::ByExpectedRate, "by expected rate", clients, skew),
            ];
            println!("{clients:>4} clients, {name}: {}", cells.join("  "));
        }
    }
}
