//! What knowing each other costs and how soon it is known, by size of the fleet and by letters lost: simulated time, the
//! cores as they are, datagrams sealed as in service. `cargo bench -p milletpath-membership --bench fleet`; `-- quick` for
//! the small sizes alone.

#[path = "../tests/net/mod.rs"]
mod net;

use milletpath_membership::{Event, Terms};
use net::{Net, calm, lossy};
use rand::Rng;

fn at(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get((part * values.len().saturating_sub(1) as f64).round() as usize).copied().unwrap_or(f64::NAN)
}

fn settled(size: usize, seed: u64) -> Net {
    // In a larger fleet words go round more slowly: the lease that an operator would choose.
    let lease = if size > 50 { 12.0 } else { 3.0 };
    let mut net = Net::new(size, 1.max(size / 8), Terms { lease, floor: 0.5, ..Terms::default() }, seed);
    net.begin_all();
    net.play(if size > 50 { 100.0 } else { 20.0 });
    net
}

/// Seconds until all agree, looked at ten times a second.
fn agrees(net: &mut Net, most: f64) -> f64 {
    let from = net.now;
    while !net.agree() && net.now < from + most {
        net.play(net.now + 0.1);
    }
    net.now - from
}

fn main() {
    let quick = std::env::args().any(|a| a == "quick");
    let sizes: &[usize] = if quick { &[3, 10] } else { &[3, 10, 24, 100, 300] };
    println!("size   bytes/s  letters/s  word age p50 p99   learn a death p50 p99   healed after  joined");
    for &size in sizes {
        let seeds = if size > 50 { 1 } else { 5 };
        let (mut bytes, mut letters, mut ages, mut learnt, mut healed, mut joined) =
            (0.0, 0.0, vec![], vec![], vec![], vec![]);
        for seed in 1..=seeds {
            let mut net = settled(size, seed);
            let before: (u64, u64) = net.nodes.iter().fold((0, 0), |(b, l), n| (b + n.bytes, l + n.letters));
            net.play(net.now + 20.0);
            let after: (u64, u64) = net.nodes.iter().fold((0, 0), |(b, l), n| (b + n.bytes, l + n.letters));
            let spent = 20.0 * size as f64 * seeds as f64;
            bytes += (after.0 - before.0) as f64 / spent;
            letters += (after.1 - before.1) as f64 / spent;
            for n in 0..size {
                let peers = net.nodes[n].peers.as_ref().expect("it is up");
                let others = (0..size).filter(|o| *o != n);
                ages.extend(others.filter_map(|o| peers.age(net.life(o))));
            }
            for n in 0..5.min(size - 1) {
                net.kill(n);
                let from = net.now;
                net.play(from + 20.0);
                let name = format!("gateway-{n}");
                let died = |e: &Event| matches!(e, Event::Died { name: dead } if *dead == name);
                learnt.extend(net.times(from, died).into_values());
                net.begin(n);
                joined.push(agrees(&mut net, 30.0));
                net.play(net.now + 5.0);
            }
            let (from, apart) = (net.now, size * 2 / 5);
            net.rule = Box::new(move |_, a, b, chance| {
                if (a < apart) != (b < apart) { vec![] } else { vec![chance.random_range(0.0005..0.002)] }
            });
            net.play(from + 15.0);
            net.rule = calm();
            healed.push(agrees(&mut net, 60.0));
        }
        println!(
            "{size:>4} {bytes:>9.0} {letters:>10.1} {:>12.2} {:.2} {:>15.2} {:.2} {:>14.1} {:>8.1}",
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
            let mut net = settled(size, 1);
            net.rule = lossy(lost);
            let from = net.now;
            let span = if size > 50 { 60.0 } else { 600.0 };
            let (mut without, mut looks) = (0, 0);
            while net.now < from + span {
                net.play(net.now + 0.5);
                looks += size;
                without += net.nodes.iter().filter(|n| n.parts.is_some_and(|p| p.part <= p.floor)).count();
            }
            let count = |such: &dyn Fn(&Event) -> bool| {
                let all =
                    net.nodes.iter().flat_map(|n| &n.events).filter(|(at, e)| *at > from && such(e)).count();
                all as f64 / (span / 3600.0) / size as f64
            };
            println!(
                "{size:>4} {lost:>5} {:>12.1} {:>12.2} {:>12.3}",
                count(&|e| matches!(e, Event::Suspected { .. })),
                count(&|e| matches!(e, Event::Died { .. })),
                f64::from(without as u32) / looks as f64
            );
        }
    }
}
