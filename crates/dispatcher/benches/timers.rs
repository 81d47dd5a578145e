//! Timers as the gateway uses them, 100,000 set at a time: each turn sets some, calls most off, lets some fire.
//! The wheel against a binary heap that skips what was called off, interleaved in one run.

use milletpath_dispatcher::timer_wheel::TimerWheel;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::hint::black_box;
use std::time::Instant;

const SET: usize = 100_000;
const TURNS: usize = 2_000_000;
/// Of a hundred timers, those called off: nearly all calls end before their cut-off.
const CALLED_OFF: u64 = 95;

/// A plain sequence of chance, the same for both.
fn chance(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

fn wheel() -> f64 {
    let (mut seed, mut now) = (7, 0.0);
    let mut wheel = TimerWheel::default();
    let mut tickets: Vec<_> =
        (0..SET).map(|n| wheel.set((chance(&mut seed) % 3000) as f64 / 1e3, n)).collect();
    let began = Instant::now();
    for turn in 0..TURNS {
        now += 3.0 / SET as f64;
        while let Some(n) = wheel.fire(now) {
            tickets[n] = wheel.set(now + (chance(&mut seed) % 3000) as f64 / 1e3, n);
        }
        if chance(&mut seed) % 100 < CALLED_OFF {
            let n = turn % SET;
            if wheel.call_off(tickets[n]).is_some() {
                tickets[n] = wheel.set(now + (chance(&mut seed) % 3000) as f64 / 1e3, n);
            }
        }
    }
    black_box(wheel.len());
    began.elapsed().as_secs_f64()
}

fn heap() -> f64 {
    let (mut seed, mut now) = (7, 0.0f64);
    let mut heap = BinaryHeap::new();
    let mut off: HashSet<u64> = HashSet::new();
    let mut next = 0u64;
    let mut set = |heap: &mut BinaryHeap<_>, at: f64, n: usize| {
        next += 1;
        heap.push(Reverse(((at * 1e6) as u64, next, n)));
        next
    };
    let mut tickets: Vec<_> =
        (0..SET).map(|n| set(&mut heap, (chance(&mut seed) % 3000) as f64 / 1e3, n)).collect();
    let began = Instant::now();
    for turn in 0..TURNS {
        now += 3.0 / SET as f64;
        while heap.peek().is_some_and(|Reverse((at, ..))| *at <= (now * 1e6) as u64) {
            let Some(Reverse((_, ticket, n))) = heap.pop() else { break };
            if !off.remove(&ticket) {
                tickets[n] = set(&mut heap, now + (chance(&mut seed) % 3000) as f64 / 1e3, n);
            }
        }
        if chance(&mut seed) % 100 < CALLED_OFF {
            let n = turn % SET;
            off.insert(tickets[n]);
            tickets[n] = set(&mut heap, now + (chance(&mut seed) % 3000) as f64 / 1e3, n);
        }
    }
    black_box(heap.len());
    began.elapsed().as_secs_f64()
}

fn main() {
    // Cargo runs benches as tests too: one short look is enough there.
    let rounds = if std::env::args().any(|a| a == "--bench") { 5 } else { 0 };
    let mut ratios = Vec::new();
    for _ in 0..rounds {
        let (wheel, heap) = (wheel(), heap());
        let ns = |seconds: f64| seconds * 1e9 / TURNS as f64;
        println!(
            "wheel {:.0} ns a turn, heap {:.0} ns, heap / wheel {:.2}",
            ns(wheel),
            ns(heap),
            heap / wheel
        );
        ratios.push(heap / wheel);
    }
    ratios.sort_by(f64::total_cmp);
    if let Some(middle) = ratios.get(ratios.len() / 2) {
        println!("timers: {SET} set, heap / wheel {middle:.2} (median of {rounds})");
    }
}
