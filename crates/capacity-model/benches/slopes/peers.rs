//! What knowing each other costs: the cores of a whole fleet in simulated time, settled and in the first
//! seconds after all began; and the proof behind the count by itself, against members.

use crate::measure::{Asked, Slope, allocated, size, spent};
use milletpath_capacity_model::run::Measurement;
use milletpath_membership::datagram::{self, Assertion, Datagram, Identity, Key, kind};
use milletpath_membership::{Membership, MembershipConfig};
use milletpath_test_support::simulated_network::SimulatedNetwork;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hint::black_box;
use std::net::SocketAddr;

/// The lease that suits a large fleet, and the part that a gateway keeps by itself.
const CONFIG: MembershipConfig =
    MembershipConfig { period: 0.4, lease: 12.0, floor: 0.5, budget_window: 10.0 };

/// Where others think that a gateway is.
fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8 + 1], 7_400))
}

fn identity(n: usize, max_gateways: usize) -> Identity {
    Identity {
        instance_id: n as u64 + 1,
        name: format!("gateway-{n}"),
        address: address(n),
        incarnation: 0,
        max_gateways: max_gateways as u32,
    }
}

/// A gateway that knows so many members and has a fresh word of each; those words tell one of so many sums,
/// or its own.
fn knowing(members: usize, sums: usize, seed: u64) -> Membership {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut membership = Membership::new(identity(0, members), CONFIG, Vec::new(), seed, 0.0);
    for n in 1..members {
        let mut hello = Datagram::new(identity(n, members), 1, kind::ANNOUNCE, 0);
        hello.sequence = 1;
        membership.receive(0.001, hello);
    }
    // Its own sums, as it tells them in an answer.
    let mut ping = Datagram::new(identity(1, members), 1, kind::PING, 1);
    ping.sequence = 2;
    membership.receive(0.002, ping);
    let own = std::iter::from_fn(|| membership.next_outgoing())
        .find_map(|sent| sent.datagram.assertions.first().cloned());
    let own = own.expect("an answer with its own saying");
    // A probe's answer brings the words of all.
    let mut now = 0.002;
    let (asked, number) = loop {
        now += 0.05;
        membership.tick(now);
        let ping =
            std::iter::from_fn(|| membership.next_outgoing()).find(|sent| sent.datagram.kind == kind::PING);
        if let Some(sent) = ping {
            break (sent.datagram.recipient as usize - 1, sent.datagram.request_id);
        }
    };
    let others: Vec<(u64, u64)> = (0..sums).map(|_| (chance.random(), chance.random())).collect();
    let mut answer = Datagram::new(identity(asked, members), 1, kind::ACK, number);
    answer.sequence = 3;
    answer.assertions.push(Assertion {
        instance_id: asked as u64 + 1,
        age: 0,
        endorsed: own.endorsed,
        listed: own.listed,
    });
    for n in (1..members).filter(|n| *n != asked) {
        let sum = others.get(n % sums.max(1));
        let (endorsed, listed) = sum.map_or((own.endorsed, own.listed), |(b, l)| (Some(*b), Some(*l)));
        answer.assertions.push(Assertion { instance_id: n as u64 + 1, age: 1, endorsed, listed });
    }
    membership.receive(now + 0.001, answer);
    while membership.next_outgoing().is_some() {}
    membership
}

/// Milliseconds of one look at what is proven, as the link asks for it after each letter.
fn parts(membership: &Membership, repeats: usize) -> Vec<f64> {
    let mut membership = membership.clone();
    // A clock that does not move: what was heard stays as fresh as it is.
    let _ = membership.quota_fraction(0.0);
    let once = |_| {
        let began = spent();
        black_box(membership.quota_fraction(0.0));
        (spent() - began) * 1e3
    };
    (0..repeats).map(once).collect()
}

pub fn proof(asked: &Asked) {
    const MEMBERS: [usize; 7] = [50, 100, 200, 300, 500, 800, 1_100];
    let (mut settled, mut starting, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for members in MEMBERS {
        let at = members as f64;
        let before = allocated();
        let membership = knowing(members, 0, asked.seed);
        bytes.push(size(at, vec![(allocated() - before) / 1e6]));
        assert_eq!(membership.fresh_instances().len(), members - 1, "a fresh word of each");
        settled.push(size(at, parts(&membership, 15)));
        drop(membership);
        starting.push(size(at, parts(&knowing(members, members, asked.seed), 3)));
    }
    let slope = Slope {
        name: "proof-settled",
        mechanism: "proof by a majority of all (`peers::backing`)",
        figure: "one look at what is proven, all words alike",
        unit: "ms",
        axis: "gateways",
        method: "thread clock; members and their words brought by letters; 15 looks",
        fixed: &[("lease", 12.0)],
        group: "proof",
    };
    slope.write(asked, None, settled);
    Slope {
        name: "proof-starting",
        figure: "one look at what is proven, no two words alike (`differs`)",
        method: "thread clock; members and their words brought by letters; 3 looks",
        ..slope
    }
    .write(asked, None, starting);
    Slope {
        name: "peers-memory",
        mechanism: "a full view of all gateways (`peers::member`)",
        figure: "view of all, settled",
        unit: "MB",
        method: "bytes by a counting allocator; once, as it does not vary",
        ..slope
    }
    .write(asked, None, bytes);
    sealing(asked);
}

/// What the sealing and the reading of a letter cost: in the simulated network letters are not opened.
fn sealing(asked: &Asked) {
    const LETTERS: usize = 2_000;
    let key = Key::new(b"a key of chance for all gateways");
    let mut sizes = Vec::new();
    for assertions in [1usize, 10, 20, 40, 70] {
        let mut datagram = Datagram::new(identity(1, 1_100), 1, kind::ACK, 7);
        let instance_id = |n: u64| n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let assertion = |n| Assertion { instance_id: instance_id(n), age: 900, endorsed: None, listed: None };
        datagram.assertions = (1..=assertions as u64).map(assertion).collect();
        let sealed = datagram::seal(&key, &datagram).expect("it fits");
        let once = |_| {
            let began = spent();
            (0..LETTERS).for_each(|_| _ = black_box(datagram::open(&key, black_box(&sealed))));
            (spent() - began) * 1e6 / LETTERS as f64
        };
        sizes.push(size(sealed.len() as f64, (0..5).map(once).collect()));
    }
    let slope = Slope {
        name: "letter-open",
        mechanism: "seal of a letter (`peers::letter`)",
        figure: "a letter is opened and read",
        unit: "us",
        axis: "bytes of a letter",
        method: "thread clock; 2,000 letters, five times",
        fixed: &[],
        group: "proof",
    };
    slope.write(asked, None, sizes);
}

/// What a gateway sent, and the processor time of all, over a while.
struct While {
    cpu: f64,
    bytes: f64,
    letters: f64,
}

fn passes(net: &mut SimulatedNetwork, seconds: f64) -> While {
    let sum =
        |net: &SimulatedNetwork| net.nodes.iter().fold((0, 0), |(b, l), n| (b + n.bytes, l + n.datagrams));
    let (before, began) = (sum(net), spent());
    net.run_until(net.now + seconds);
    let (cpu, after) = (spent() - began, sum(net));
    let of = seconds * net.nodes.len() as f64;
    While {
        cpu: cpu * 1e3 / of,
        bytes: (after.0 - before.0) as f64 / of / 1e3,
        letters: (after.1 - before.1) as f64 / of,
    }
}

/// The age of a word, in seconds, that 99 in 100 stay under.
fn age(net: &SimulatedNetwork) -> f64 {
    let mut ages = Vec::new();
    for (n, node) in net.nodes.iter().enumerate() {
        let Some(membership) = &node.membership else { continue };
        ages.extend(
            (0..net.nodes.len())
                .filter(|o| *o != n)
                .filter_map(|o| membership.assertion_age(net.instance_id(o))),
        );
    }
    ages.sort_by(f64::total_cmp);
    ages.get(ages.len() * 99 / 100).copied().unwrap_or(0.0)
}

/// Part of the gateways that a majority backs.
fn standing(net: &SimulatedNetwork) -> f64 {
    let with = net.nodes.iter().filter(|n| n.quota.is_some_and(|q| q.fraction > q.floor)).count();
    with as f64 / net.nodes.len() as f64
}

pub fn fleet(asked: &Asked) {
    const SIZES: [usize; 7] = [24, 50, 100, 150, 200, 300, 400];
    /// Seconds of processor time that all may take; a size that would take longer is left out, and said so.
    const BOUND: f64 = 420.0;
    /// Simulated seconds after which it is looked at as settled, and the seconds of each look.
    const SETTLED: f64 = 50.0;
    const LOOK: f64 = 5.0;
    let all = spent();
    let mut figures: [Vec<Measurement>; 7] = Default::default();
    let mut last = 0.0;
    for gateways in SIZES {
        // As the cube of the gateways, by the size before.
        let guess = last * 4.0;
        let began = spent();
        if began - all + guess > BOUND {
            println!(
                "{gateways} gateways left out: some {guess:.0} s of processor time, {:.0} s left",
                BOUND - (began - all)
            );
            break;
        }
        let mut net = SimulatedNetwork::new(gateways, 1.max(gateways / 8), CONFIG, asked.seed);
        net.start_all();
        let at = gateways as f64;
        let first: Vec<While> = (0..2).map(|_| passes(&mut net, LOOK)).collect();
        let put = |to: &mut Vec<Measurement>, from: &[While], what: &dyn Fn(&While) -> f64| {
            to.push(size(at, from.iter().map(what).collect()));
        };
        put(&mut figures[0], &first, &|w| w.cpu);
        put(&mut figures[1], &first, &|w| w.bytes);
        let starting = standing(&net);
        // The first seconds cost most; where they took too long the rest is not played.
        if spent() - all < BOUND * 0.8 {
            net.run_until(SETTLED);
            let later: Vec<While> = (0..3).map(|_| passes(&mut net, LOOK)).collect();
            put(&mut figures[2], &later, &|w| w.cpu);
            put(&mut figures[3], &later, &|w| w.bytes);
            put(&mut figures[4], &later, &|w| w.letters);
            figures[5].push(size(at, vec![age(&net)]));
            println!(
                "{gateways} gateways: with standing {starting:.3} after 10 s, {:.3} after {:.0} s",
                standing(&net),
                net.now
            );
            let proofs: Vec<f64> =
                (0..5).flat_map(|n| parts(net.nodes[n].membership.as_ref().expect("it is up"), 1)).collect();
            figures[6].push(size(at, proofs));
        } else {
            println!("{gateways} gateways: with standing {starting:.3} after 10 s; settled not played");
        }
        last = spent() - began;
        println!("{gateways} gateways: {last:.0} s of processor time");
    }
    let slope = Slope {
        name: "peers-cpu-starting",
        mechanism: "a full view and a proof by all, in the first 10 s after all began (`peers`)",
        figure: "CPU a second of one gateway",
        unit: "ms",
        axis: "gateways",
        method: "thread clock over the whole fleet in simulated time, the simulated network's part \
         included; what is proven is asked for ten times a second; windows of 5 s",
        fixed: &[("period", 0.4), ("lease", 12.0), ("seeds, one in", 8.0)],
        group: "peers",
    };
    let [cpu0, bytes0, cpu, bytes, letters, ages, proofs] = figures;
    slope.write(asked, None, cpu0);
    Slope {
        name: "peers-bytes-starting",
        figure: "bytes a second that one gateway sends; it hears as many",
        unit: "kB",
        method: "datagrams sealed as in service",
        ..slope
    }
    .write(asked, None, bytes0);
    let slope =
        Slope { name: "peers-cpu", mechanism: "a full view and a proof by all, settled (`peers`)", ..slope };
    slope.write(asked, None, cpu);
    Slope {
        name: "peers-bytes",
        figure: "bytes a second that one gateway sends; it hears as many",
        unit: "kB",
        method: "datagrams sealed as in service; windows of 5 s, from 50 s on",
        ..slope
    }
    .write(asked, None, bytes);
    Slope {
        name: "peers-letters",
        figure: "letters a second that one gateway sends; it hears as many",
        unit: "letters",
        method: "windows of 5 s, from 50 s on",
        ..slope
    }
    .write(asked, None, letters);
    Slope {
        name: "peers-age",
        mechanism: "words of all go round with every letter (`peers::probing`)",
        figure: "age of a word, p99",
        unit: "s",
        method: "all pairs, at one moment after 65 s",
        ..slope
    }
    .write(asked, None, ages);
    Slope {
        name: "peers-proof",
        mechanism: "proof by a majority of all (`peers::backing`)",
        figure: "one look at what is proven, as words stood after 65 s",
        method: "thread clock; one look at each of five gateways",
        ..slope
    }
    .write(asked, None, proofs);
}
