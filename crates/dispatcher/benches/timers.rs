//! Timers as used by the gateway, 100,000 set at a time: each round sets some, cancels most and lets some fire.
//! Compares the wheel with a binary heap that skips cancelled timers, alternating between them in one run.
//!
//! `cargo bench -p milletpath-dispatcher --bench timers` prints nanoseconds per round.

use milletpath_dispatcher::timer_wheel::TimerWheel;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::hint::black_box;
use std::time::Instant;

const TIMER_COUNT: usize = 100_000;
const ROUNDS: usize = 2_000_000;
/// Percentage of rounds that cancel a timer: nearly all requests end before their deadline.
const CANCELLED_PERCENT: u64 = 95;

/// Next value of a pseudo-random sequence (xorshift), which is the same for both implementations.
fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// A random timeout of up to three seconds.
fn timeout(seed: &mut u64) -> f64 {
    (next_random(seed) % 3000) as f64 / 1e3
}

fn measure_wheel() -> f64 {
    let (mut seed, mut now) = (7, 0.0);
    let mut wheel = TimerWheel::default();
    let mut keys: Vec<_> = (0..TIMER_COUNT).map(|n| wheel.set(timeout(&mut seed), n)).collect();
    let start = Instant::now();
    for round in 0..ROUNDS {
        now += 3.0 / TIMER_COUNT as f64;
        while let Some(n) = wheel.fire(now) {
            keys[n] = wheel.set(now + timeout(&mut seed), n);
        }
        if next_random(&mut seed) % 100 < CANCELLED_PERCENT {
            let n = round % TIMER_COUNT;
            if wheel.cancel(keys[n]).is_some() {
                keys[n] = wheel.set(now + timeout(&mut seed), n);
            }
        }
    }
    black_box(wheel.len());
    start.elapsed().as_secs_f64()
}

fn measure_heap() -> f64 {
    let (mut seed, mut now) = (7, 0.0f64);
    let mut heap = BinaryHeap::new();
    let mut cancelled: HashSet<u64> = HashSet::new();
    let mut next_serial = 0u64;
    let mut set = |heap: &mut BinaryHeap<_>, at: f64, n: usize| {
        next_serial += 1;
        heap.push(Reverse(((at * 1e6) as u64, next_serial, n)));
        next_serial
    };
    let mut keys: Vec<_> = (0..TIMER_COUNT).map(|n| set(&mut heap, timeout(&mut seed), n)).collect();
    let start = Instant::now();
    for round in 0..ROUNDS {
        now += 3.0 / TIMER_COUNT as f64;
        while heap.peek().is_some_and(|Reverse((at, ..))| *at <= (now * 1e6) as u64) {
            let Some(Reverse((_, key, n))) = heap.pop() else { break };
            if !cancelled.remove(&key) {
                keys[n] = set(&mut heap, now + timeout(&mut seed), n);
            }
        }
        if next_random(&mut seed) % 100 < CANCELLED_PERCENT {
            let n = round % TIMER_COUNT;
            cancelled.insert(keys[n]);
            keys[n] = set(&mut heap, now + timeout(&mut seed), n);
        }
    }
    black_box(heap.len());
    start.elapsed().as_secs_f64()
}

fn main() {
    // Cargo also runs benches as tests; nothing is measured then.
    let rounds = if std::env::args().any(|a| a == "--bench") { 5 } else { 0 };
    let mut ratios = Vec::new();
    for _ in 0..rounds {
        let (wheel, heap) = (measure_wheel(), measure_heap());
        let ns = |seconds: f64| seconds * 1e9 / ROUNDS as f64;
        println!(
            "wheel {:.0} ns a round, heap {:.0} ns, heap / wheel {:.2}",
            ns(wheel),
            ns(heap),
            heap / wheel
        );
        ratios.push(heap / wheel);
    }
    ratios.sort_by(f64::total_cmp);
    if let Some(middle) = ratios.get(ratios.len() / 2) {
        println!("timers: {TIMER_COUNT} set, heap / wheel {middle:.2} (median of {rounds})");
    }
}
