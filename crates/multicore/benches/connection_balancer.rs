//! Compares how evenly three ways of assigning connections spread the requests of clients with unequal rates over the
//! cores: at random, as the kernel's hash does; round-robin; and by expected request rate, where overloaded cores close
//! connections. This is a simulation without sockets, so the results show the effect of the assignment alone.
//!
//! `cargo bench -p milletpath-multicore --bench connection_balancer` prints the ratio of the busiest core's requests to
//! the mean.

use milletpath_multicore::connection_balancer::{
    ConnectionBalancer, ConnectionShift, CoreLoad, REBALANCE_INTERVAL,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CORES: usize = 4;
const ROUNDS: u64 = 50;
/// Requests per second of all clients together.
const TOTAL_RATE: f64 = 10_000.0;
/// Duration of a round, and of the part at its end that is measured.
const ROUND_SECONDS: f64 = 60.0;
const MEASURED_SECONDS: f64 = 20.0;
/// Mean time in seconds after which a client reconnects on its own.
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
    /// Ratio of the busiest core's requests to the mean, averaged over the measured seconds.
    imbalance: f64,
    /// Number of connections that overloaded cores closed.
    closed: usize,
}

/// The state of one round: the clients and the core of each client's connection.
struct Round {
    assignment: Assignment,
    rng: ChaCha8Rng,
    balancer: ConnectionBalancer,
    next_core: usize,
    /// Requests per second of each client.
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

    /// Simulates one interval; returns the ratio of the busiest core's requests to the mean.
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

    /// Closes the connections of the busiest eligible clients: a core closes connections after their next response,
    /// which usually comes first for the clients that send the most requests.
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

    fn run(mut self) -> RoundResult {
        let (mut now, mut sum, mut measured) = (0.0, 0.0, 0);
        while now < ROUND_SECONDS {
            now += REBALANCE_INTERVAL;
            let imbalance = self.advance(now);
            if now > ROUND_SECONDS - MEASURED_SECONDS {
                sum += imbalance;
                measured += 1;
            }
        }
        RoundResult { imbalance: sum / f64::from(measured), closed: self.closed }
    }
}

/// Formats one cell of the table: mean (worst) imbalance, and connections closed per round.
fn format_cell(assignment: Assignment, name: &str, clients: usize, skew: f64) -> String {
    let results: Vec<_> = (0..ROUNDS).map(|seed| Round::new(assignment, clients, skew, seed).run()).collect();
    let mean = results.iter().map(|result| result.imbalance).sum::<f64>() / ROUNDS as f64;
    let worst = results.iter().map(|result| result.imbalance).fold(0.0, f64::max);
    let closed = results.iter().map(|result| result.closed).sum::<usize>() as f64 / ROUNDS as f64;
    let closed = if closed > 0.0 { format!(", {closed:.0} closed") } else { String::new() };
    format!("{name} {mean:.2} ({worst:.2}{closed})")
}

fn main() {
    println!("busiest of {CORES} cores over the mean, mean (worst) of {ROUNDS} rounds of {ROUND_SECONDS} s");
    for (skew, name) in [(0.0, "equal rates"), (0.7, "unequal rates"), (1.1, "a few clients send most")] {
        for clients in [16, 64, 256] {
            let cells = [
                format_cell(Assignment::Random, "random", clients, skew),
                format_cell(Assignment::RoundRobin, "round-robin", clients, skew),
                format_cell(Assignment::ByExpectedRate, "by expected rate", clients, skew),
            ];
            println!("{clients:>4} clients, {name}: {}", cells.join("  "));
        }
    }
}
