//! What gateways share: reports of what functions keep busy, among so many cores in simulated time, and the
//! budgets of workers inside the desk.

use crate::list::{WORKERS, desk, entries, entry};
use crate::measure::{Asked, Slope, size, spent};
use milletpath_capacity_model::run::Measurement;
use milletpath_dispatcher::dispatcher::Dispatcher;
use milletpath_gateway::budget_sharing::BudgetSharing;
use milletpath_membership::QuotaFraction;
use milletpath_shared_budgets::{Entitlement, FunctionConcurrency, SharedBudgets};

/// Seconds for which words count as proof in a large fleet.
const LEASE: f64 = 12.0;

/// Bytes of a letter around its note, as `milletpath-shared-budgets` counts them.
const AROUND: f64 = 150.0;

/// Seconds between two looks of the link at what is shared.
const METERS: f64 = 0.04;

/// What reports came to in a fleet of so many gateways.
struct Came {
    /// Seconds between two reports.
    period: f64,
    /// Bytes a second that a gateway sends, and milliseconds of CPU a second of one.
    bytes: f64,
    cpu: f64,
    /// Functions that a gateway hears of at the end, the mean of all.
    carried: f64,
    /// Part of the notes that is held back.
    held_back: f64,
}

/// Lets so many gateways report so many functions, each as busy at each of them. They begin one after the other over
/// one period: all in the same moment, their reports would crowd at whoever adds them up.
fn reports(gateways: usize, functions: usize, seed: u64) -> Came {
    /// Periods that are not counted, and then those that are.
    const BEGINNING: f64 = 2.5;
    const COUNTED: f64 = 4.0;
    let guess = 0.8 * (gateways as f64 / 48.0).max(1.0);
    let (from, until) = (BEGINNING * guess, (BEGINNING + COUNTED) * guess);
    let begins = |n: usize| guess * n as f64 / gateways as f64;
    let right = Entitlement { fraction: 1.0, floor_fraction: 0.5, valid_until: f64::INFINITY };
    let others = |n: usize| (1..=gateways as u64).filter(|life| *life != n as u64 + 1).collect::<Vec<u64>>();
    let concurrency_of =
        |n: u64| FunctionConcurrency { function: n.wrapping_mul(0x9e37_79b9_7f4a_7c15), concurrency: 0.05 };
    let busy = || (1..=functions as u64).map(concurrency_of).collect::<Vec<_>>();
    let mut all: Vec<SharedBudgets> = Vec::new();
    let (mut now, mut looked) = (0.0, 0.0);
    let (mut bytes, mut notes, mut turns, mut cpu) = (0.0, 0u64, 0u64, 0.0);
    let mut uncounted = None;
    let tally = |all: &[SharedBudgets]| {
        let sums = all.iter().map(SharedBudgets::counters);
        sums.fold((0, 0), |(sent, back), t| (sent + t.messages, back + t.suppressed))
    };
    while now < until {
        let next = all.iter().map(SharedBudgets::next_usage_report).fold(f64::INFINITY, f64::min);
        let begin = if all.len() < gateways { begins(all.len()) } else { f64::INFINITY };
        now = next.min(begin).max(now).min(until);
        if begin <= now {
            let n = all.len();
            let mut shares = SharedBudgets::new(n as u64 + 1, LEASE, seed + n as u64, now);
            shares.set_entitlement(now, right, others(n));
            all.push(shares);
        }
        let counts = now >= from;
        if counts && uncounted.is_none() {
            uncounted = Some(tally(&all));
        }
        for n in 0..all.len() {
            if all[n].next_usage_report() > now {
                continue;
            }
            let began = spent();
            all[n].report_usage(now, busy);
            let out: Vec<_> = std::iter::from_fn(|| all[n].next_message()).collect();
            if n == 0 && counts {
                cpu += spent() - began;
            }
            turns += u64::from(counts);
            let mut post: Vec<(usize, u64, Vec<u8>)> =
                out.into_iter().map(|sent| (n, sent.recipient, sent.bytes)).collect();
            while let Some((sender, to, note)) = post.pop() {
                if counts {
                    bytes += AROUND + note.len() as f64;
                    notes += 1;
                }
                let to = to as usize - 1;
                let began = spent();
                // Lost where nobody is there yet.
                let Some(receiver) = all.get_mut(to) else { continue };
                receiver.receive(now, sender as u64 + 1, &note, &mut |_| None);
                let answers: Vec<_> = std::iter::from_fn(|| receiver.next_message()).collect();
                if to == 0 && counts {
                    cpu += spent() - began;
                }
                post.extend(answers.into_iter().map(|sent| (to, sent.recipient, sent.bytes)));
            }
        }
        // The link tells who is there at each of its looks.
        while looked < now && now < until {
            let lives = others(0);
            let began = spent();
            all[0].set_entitlement(now, right, lives);
            if counts {
                cpu += spent() - began;
            }
            looked += METERS;
        }
    }
    assert!(notes > 0, "somebody reported");
    let span = until - from;
    let ((sent, back), (sent_before, back_before)) = (tally(&all), uncounted.unwrap_or_default());
    let (sent, back) = ((sent - sent_before) as f64, (back - back_before) as f64);
    // Who lacks the sum of one bucket goes by none of them.
    let heard = all.iter_mut().map(|shares| shares.usage_elsewhere(now).map_or(0, |known| known.len()));
    let carried = heard.sum::<usize>() as f64 / gateways as f64;
    Came {
        period: span * gateways as f64 / turns.max(1) as f64,
        bytes: bytes / span / gateways as f64 / 1e3,
        cpu: cpu * 1e3 / span,
        carried,
        held_back: back / (sent + back),
    }
}

const SEEDS: u64 = 3;

pub fn counts(asked: &Asked) {
    let of = |gateways: usize, functions: usize| -> Vec<Came> {
        (0..SEEDS).map(|n| reports(gateways, functions, asked.seed + 1_000 * n)).collect()
    };
    let (mut period, mut bytes, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    for gateways in [24usize, 48, 100, 200, 400, 1_100] {
        let came = of(gateways, 30);
        let at = gateways as f64;
        period.push(size(at, came.iter().map(|c| c.period).collect()));
        bytes.push(size(at, came.iter().map(|c| c.bytes).collect()));
        cpu.push(size(at, came.iter().map(|c| c.cpu).collect()));
    }
    let slope = Slope {
        name: "counts-period",
        mechanism: "reports of usage to one gateway a bucket (`shares::counts`)",
        figure: "seconds between two reports of a gateway",
        unit: "s",
        axis: "gateways",
        method: "all cores in simulated time over four periods, three seeds; letters arrive at once",
        fixed: &[("functions that each keeps busy", 30.0)],
        group: "counts",
    };
    slope.write(asked, None, period);
    Slope {
        name: "counts-bytes",
        figure: "bytes a second that one gateway sends; it hears as many",
        unit: "kB",
        ..slope
    }
    .write(asked, None, bytes);
    Slope {
        name: "counts-cpu",
        figure: "CPU a second of one gateway",
        unit: "ms",
        method: "thread clock around one core of all, its word of who is there 25 times a second \
         included; three seeds",
        ..slope
    }
    .write(asked, None, cpu);
}

/// Of how many functions a gateway hears, of those that all keep busy; and what of the notes is held back.
pub fn functions(asked: &Asked) {
    let sizes = |gateways: usize, functions: &[usize]| -> (Vec<Measurement>, Vec<Measurement>) {
        let of = |n: &usize| {
            let came: Vec<Came> =
                (0..SEEDS).map(|seed| reports(gateways, *n, asked.seed + 1_000 * seed)).collect();
            let at = *n as f64;
            let carried = size(at, came.iter().map(|c| c.carried).collect());
            (carried, size(at, came.iter().map(|c| 100.0 * c.held_back).collect()))
        };
        functions.iter().map(of).unzip()
    };
    let slope = Slope {
        name: "counts-functions",
        mechanism: "reports of usage to one gateway a bucket, within the bound on its notes \
                    (`shares::counts`, `Shares::send`)",
        figure: "functions of which a gateway hears, of those that all keep busy",
        unit: "functions",
        axis: "functions",
        method: "mean over all gateways after 6.5 periods, three seeds; one that lacks the sum of a bucket \
                 hears of none; letters arrive at once",
        fixed: &[("gateways", 1_100.0)],
        group: "counts-functions",
    };
    let held_back = Slope {
        name: "counts-held-back",
        figure: "notes held back by the bound on bytes",
        unit: "% of all",
        method: "over four periods, three seeds; letters arrive at once",
        ..slope
    };
    let (carried, held) = sizes(1_100, &[10, 30, 100, 330]);
    slope.write(asked, None, carried);
    held_back.write(asked, None, held);
    let fixed = &[("gateways", 24.0)];
    let (carried, held) = sizes(24, &[10, 30, 100, 330, 1_000, 3_300]);
    Slope { name: "counts-functions-24", fixed, ..slope }.write(asked, None, carried);
    Slope { name: "counts-held-back-24", fixed, ..held_back }.write(asked, None, held);
}

pub fn budgets(asked: &Asked) {
    const REPEATS: usize = 5;
    let (mut changed, mut steady) = (Vec::new(), Vec::new());
    let parts =
        QuotaFraction { likely_gateways: 1_100.0, fraction: 1.0, floor: 0.5, valid_until: f64::INFINITY };
    let limits = "limits {\n  in_flight = 2200\n}\n";
    let text = format!(
        "seed = 7\ngateways = 1100\nprofile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nworkers {{ \
         registry = \"127.0.0.1:1\" }}\n{limits}"
    );
    let house = milletpath_config::read(&text).unwrap_or_else(|m| panic!("a charter: {m:?}"));
    let others: Vec<u64> = (2..=1_100).collect();
    for workers in WORKERS {
        let mut desk: Dispatcher<()> = desk(1_100, 60.0, limits);
        desk.update_endpoints(0.0, true, &entries(workers));
        let mut sharing = BudgetSharing::new(&house, 1, LEASE, 0.0);
        sharing.tick(&mut desk, 0.0, &parts, others.clone());
        let mut now = 1.0;
        // Looks at which nothing was changed, 25 a second.
        let mut second = |desk: &mut Dispatcher<()>, sharing: &mut BudgetSharing| {
            let began = spent();
            for _ in 0..25 {
                now += METERS;
                sharing.tick(desk, now, &parts, others.clone());
                while sharing.next_message().is_some() {}
            }
            (spent() - began) * 1e3
        };
        let looks: Vec<f64> = (0..REPEATS).map(|_| second(&mut desk, &mut sharing)).collect();
        steady.push(size(workers as f64, looks));
        let joins = (0..REPEATS).map(|n| {
            let at = 100.0 + n as f64;
            desk.update_endpoints(at, false, &[entry(workers + n)]);
            let began = spent();
            sharing.tick(&mut desk, at, &parts, others.clone());
            (spent() - began) * 1e3
        });
        changed.push(size(workers as f64, joins.collect()));
    }
    let slope = Slope {
        name: "budgets-join",
        mechanism: "budgets of shots at each worker are looked up one among all (`Sharing::follow`)",
        figure: "one worker joins: time inside the desk for budgets",
        unit: "ms",
        axis: "workers",
        method: "thread clock; five joins; in_flight stated",
        fixed: &[("gateways", 1_100.0)],
        group: "budgets",
    };
    slope.write(asked, None, changed);
    Slope {
        name: "budgets-cpu",
        mechanism: "budgets of shots at each worker, all of them looked at 25 times a second \
         (`Sharing::turn`)",
        figure: "CPU a second of one gateway",
        method: "thread clock; five seconds of 25 looks; in_flight stated, nothing wanted or lent",
        ..slope
    }
    .write(asked, None, steady);
}
