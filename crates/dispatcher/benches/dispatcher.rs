//! What the decisions cost in the gateway: the desk alone, without sockets, in simulated time. 30 workers and 60
//! functions, then 300 workers and 10,000 functions by Zipf; 760 and 7,600 calls a second; one gateway of one, or of
//! 60 that share the workers.
//!
//! `cargo bench -p milletpath-dispatcher --bench dispatcher` prints microseconds an activation, all its events together.

use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest, RequestId};
use milletpath_policy::host::{Outcome, Report};
use milletpath_protocol::registry::{Entry, Standing};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

/// Seconds of a simulated run; the first part, in which instances get known, is not counted.
const SECONDS: f64 = 20.0;
const UNCOUNTED: f64 = 5.0;

enum Next {
    Arrive,
    Ended(RequestId, usize, usize),
    Ordered(RequestId, u8),
    Probed(usize, u64),
}

fn run(workers: usize, functions: usize, rate: f64, gateways: usize) -> (f64, f64) {
    let text = format!(
        "seed = 7\ngateways = {gateways}\nprofile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nfunctions {{\n  lanes = 2\n  \
         load = 0.4\n}}\nworkers {{ registry = \"127.0.0.1:1\" }}\n"
    );
    let house = milletpath_config::read(&text).expect("a sound charter");
    let mut desk: Dispatcher<()> = Dispatcher::new(&house, 0.0);
    let entry = |n: usize| Entry {
        name: format!("w{n}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1 + n as u16)),
        started: None,
        size: 1.0,
        kind: String::new(),
        zone: "z".into(),
        cell: String::new(),
        state: Standing::Ready,
    };
    desk.list(0.0, true, &(0..workers).map(entry).collect::<Vec<_>>());
    let mut chance = ChaCha8Rng::seed_from_u64(1);
    let zipf = Zipf::new(functions as f64, 1.1).expect("a popularity");
    let (gap, work) = (Exp::new(rate).expect("a rate"), Exp::new(20.0).expect("a time"));
    let names: Vec<String> = (0..=functions).map(|n| format!("pack-{n}")).collect();
    let mut queue: BTreeMap<(u64, u64), Next> = BTreeMap::new();
    let mut number = 0;
    let mut put = |queue: &mut BTreeMap<(u64, u64), Next>, at: f64, next: Next| {
        number += 1;
        queue.insert(((at * 1e6) as u64, number), next);
    };
    put(&mut queue, 0.0, Next::Arrive);
    let (mut spent, mut calls, mut held) = (0.0, 0u64, vec![0i64; workers]);
    let report =
        |held: i64| Report { held: Some(held as f64), busy: Some(held as f64 / 8.0), ..Report::default() };
    while let Some(((at, _), next)) = queue.pop_first() {
        let now = at as f64 / 1e6;
        if now > SECONDS {
            break;
        }
        let began = Instant::now();
        while desk.next().is_some_and(|due| due <= now) {
            desk.turn(now);
        }
        match next {
            Next::Arrive => {
                let function = &names[zipf.sample(&mut chance) as usize];
                desk.arrive(
                    now,
                    IncomingRequest {
                        function,
                        profile: 0,
                        client: 9,
                        patience: 3.0,
                        repeat: false,
                        instance: None,
                    },
                    (),
                );
            }
            Next::Ended(tag, shot, worker) => {
                held[worker] -= 1;
                let end = AttemptResult {
                    report: Some(report(held[worker])),
                    ..AttemptResult::plain(Outcome::Handled)
                };
                desk.end(now, tag, shot, end);
            }
            Next::Ordered(order, copies) => desk.order_ended(now, order, Outcome::Handled, copies),
            Next::Probed(worker, serial) => {
                desk.probed(now, worker, serial, Outcome::Handled, Some(report(held[worker])));
            }
        }
        let mut acts = Vec::new();
        while let Some(act) = desk.act() {
            if let Action::Shoot { tag, shot, .. } = act {
                desk.begin(now, tag, shot);
            }
            acts.push(act);
        }
        if now > UNCOUNTED {
            spent += began.elapsed().as_secs_f64();
            calls += u64::from(matches!(next, Next::Arrive));
        }
        if matches!(next, Next::Arrive) {
            put(&mut queue, now + gap.sample(&mut chance), Next::Arrive);
        }
        for act in acts {
            match act {
                Action::Shoot { tag, shot, worker } => {
                    held[worker] += 1;
                    put(&mut queue, now + 0.01 + work.sample(&mut chance), Next::Ended(tag, shot, worker));
                }
                Action::Hold { order, copies, .. } => {
                    let takes = chance.random_range(0.2..0.6);
                    put(&mut queue, now + takes, Next::Ordered(order, copies));
                }
                Action::Probe { worker, serial } => {
                    put(&mut queue, now + 0.001, Next::Probed(worker, serial))
                }
                _ => {}
            }
        }
    }
    (spent * 1e6 / calls.max(1) as f64, desk.tally().handled as f64 / desk.tally().taken.max(1) as f64)
}

fn main() {
    for (workers, functions, rate, gateways) in [
        (30, 60, 760.0, 1),
        (30, 60, 760.0, 60),
        (300, 10_000, 760.0, 1),
        (300, 10_000, 760.0, 60),
        (300, 10_000, 7600.0, 1),
    ] {
        let (micros, handled) = run(workers, functions, rate, gateways);
        println!(
            "{workers} workers, {functions} functions, {rate} calls/s, one of {gateways}: {micros:.1} us an activation \
             ({handled:.3} handled)"
        );
    }
}
