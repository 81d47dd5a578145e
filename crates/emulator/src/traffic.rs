//! What clients will ask for on a day, worked out ahead from its seed: the same day, the same calls.

use crate::script::{Day, Trouble, What};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};

/// One call as its client means it.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    pub at: f64,
    pub function: String,
    pub profile: usize,
    pub group: usize,
    pub work: f64,
    pub io: f64,
    /// Seconds until the client gives up its first try.
    pub patience: f64,
    /// Seconds after which the client leaves, where it does.
    pub leaves: Option<f64>,
    /// The trouble under which it is asked for: the last that began.
    pub trouble: Option<usize>,
}

/// All calls of a day, in order.
pub fn plan(day: &Day, seed: u64) -> Vec<Planned> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut calls = Vec::new();
    // Bounds were checked when the day was read; a day without sense has no calls.
    let (Ok(zipf), Ok(gap), Ok(work)) = (
        Zipf::new(day.functions as f64, day.zipf.max(0.01)),
        Exp::new(1.0f64),
        Exp::new(1.0 / day.traffic.work.max(1e-9)),
    ) else {
        return calls;
    };
    let mut at = 0.0;
    let mut once = 0;
    loop {
        let troubles = |what| day.troubles.iter().filter(move |t: &&Trouble| t.what == what && t.during(at));
        let rate = day.traffic.rate * troubles(What::Burst).map(|t| t.size).product::<f64>();
        at += gap.sample(&mut chance) / rate.max(1e-9);
        if at >= day.seconds {
            return calls;
        }
        let troubles = |what| day.troubles.iter().filter(move |t: &&Trouble| t.what == what && t.during(at));
        let profile = pick(&mut chance, day.profiles.iter().map(|p| p.share));
        let group = pick(&mut chance, day.groups.iter().map(|g| g.share));
        let mut function = format!("pack-{}", zipf.sample(&mut chance) as usize);
        for trouble in troubles(What::Hot) {
            if chance.random_bool(trouble.part) {
                function = format!("hot-{}", chance.random_range(0..trouble.size.max(1.0) as u32));
            }
        }
        for trouble in troubles(What::OneOffs) {
            if chance.random_bool(trouble.part) {
                once += 1;
                function = format!("once-{once}");
            }
        }
        let mut takes = work.sample(&mut chance);
        for trouble in troubles(What::Heavy) {
            if chance.random_bool(trouble.part) {
                takes *= trouble.size;
            }
        }
        let p = &day.profiles[profile];
        let mut patience = p.cut_off * chance.random_range(day.traffic.patience..=1.0);
        for trouble in troubles(What::Impatience) {
            if chance.random_bool(trouble.part) {
                patience = p.due * trouble.size;
            }
        }
        let leaves = chance.random_bool(day.traffic.leave).then(|| patience * chance.random_range(0.0..0.5));
        let trouble = day.troubles.iter().enumerate().filter(|(_, t)| t.during(at));
        let trouble = trouble.max_by(|(_, a), (_, b)| a.at.total_cmp(&b.at)).map(|(n, _)| n);
        let io = day.traffic.io;
        calls.push(Planned { at, function, profile, group, work: takes, io, patience, leaves, trouble });
    }
}

/// One of several, by their shares.
fn pick(chance: &mut ChaCha8Rng, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = chance.random_range(0.0..shares.clone().sum::<f64>().max(1e-9));
    let mut last = 0;
    for (n, share) in shares.enumerate() {
        last = n;
        if left < share {
            break;
        }
        left -= share;
    }
    last
}
