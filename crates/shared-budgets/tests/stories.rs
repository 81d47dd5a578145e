//! Stories of larger fleets in simulated time: what a gateway gets that needs more than its part, and what the others keep.

mod town;

use milletpath_shared_budgets::{Faults, Form};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;
use town::Town;

const RATE: Form = Form::Rate;
const WINDOW: Form = Form::Window(10.0);

fn lossy(part: f64, seed: u64) -> impl FnMut(f64, usize, usize) -> Vec<f64> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    move |_, _, _| if chance.random_bool(part) { vec![] } else { vec![chance.random_range(0.0002..0.002)] }
}

/// Twelve gateways that have run for a while.
fn twelve(form: Form, part: f64) -> Town {
    let mut town = Town::new(12, form, part, Faults::default());
    town.play(3.0, &mut lossy(0.0, 1));
    town
}

/// Mean part of the whole that one gateway may use over some seconds.
fn mean_level(town: &mut Town, n: usize, seconds: f64, rule: town::Rule<'_>) -> f64 {
    let (mut sum, looks) = (0.0, (seconds / 0.05) as usize);
    for _ in 0..looks {
        town.play(0.05, rule);
        sum += town.level(n);
    }
    sum / looks as f64 / town.whole()
}

#[test_case(0.0, 0.9; "no letter lost")]
#[test_case(0.3, 0.8; "thirty of a hundred lost")]
fn all_that_is_asked_of_one_gateway_it_may_do(lost: f64, wanted: f64) {
    for seed in 1..=5 {
        let mut town = twelve(RATE, 10.0);
        town.demand(3, 1000.0);
        let mut rule = lossy(lost, seed);
        town.play(3.0, &mut rule);
        let part = mean_level(&mut town, 3, 10.0, &mut rule);
        assert!(part >= wanted, "seed {seed}: {part}");
    }
}

/// Traffic jumps from one half of the fleet to the other.
#[test]
fn what_is_needed_elsewhere_goes_there_within_five_seconds() {
    let mut town = twelve(RATE, 10.0);
    (0..6).for_each(|n| town.demand(n, 100.0));
    town.play(5.0, &mut lossy(0.0, 1));
    let of =
        |town: &Town, half: std::ops::Range<usize>| half.map(|n| town.level(n)).sum::<f64>() / town.whole();
    assert!(of(&town, 0..6) >= 0.9, "{}", of(&town, 0..6));
    (0..6).for_each(|n| town.demand(n, 0.0));
    (6..12).for_each(|n| town.demand(n, 100.0));
    town.play(5.0, &mut lossy(0.0, 1));
    assert!(of(&town, 6..12) >= 0.9, "{}", of(&town, 6..12));
}

/// Units within a window: one gateway gets nearly all of them, over and over.
#[test]
fn all_units_go_where_they_are_wanted() {
    let mut town = twelve(WINDOW, 10.0);
    town.demand(5, 50.0);
    town.play(12.0, &mut lossy(0.0, 1));
    let used = |town: &Town| town.nodes[5].as_ref().map_or(0, |n| n.used.len());
    let before = used(&town);
    town.play(20.0, &mut lossy(0.0, 1));
    let rate = (used(&town) - before) as f64 / 20.0;
    assert!(rate >= 0.9 * town.whole() / 10.0, "{rate} a second");
}

/// One that asks for all of everything gets what the others don't need, and no more.
#[test]
fn who_asks_for_everything_does_not_starve_the_others() {
    let mut town = twelve(RATE, 10.0);
    town.demand(0, 1e6);
    town.play(5.0, &mut lossy(0.0, 1));
    (1..4).for_each(|n| town.demand(n, 20.0));
    town.play(6.0, &mut lossy(0.0, 1));
    for n in 1..4 {
        let level = town.level(n);
        assert!(level >= 20.0, "gateway {n}: {level}");
    }
    (4..12).for_each(|n| town.demand(n, 7.0));
    town.play(6.0, &mut lossy(0.0, 1));
    for n in 4..12 {
        let level = town.level(n);
        assert!(level >= 7.0, "gateway {n}: {level}");
    }
}

/// Cut off while it lends nearly all it has, a gateway has its whole part again within a loan's time, and never less than
/// what is not lent.
#[test]
fn one_that_is_cut_off_has_its_part_back() {
    let mut town = twelve(RATE, 10.0);
    town.demand(0, 1e6);
    town.play(5.0, &mut lossy(0.0, 1));
    assert!(town.level(7) < 1.0);
    town.demand(7, 50.0);
    let mut alone = |_: f64, from: usize, to: usize| if from == 7 || to == 7 { vec![] } else { vec![0.001] };
    for _ in 0..22 {
        town.play(0.1, &mut alone);
        assert!(town.level(7) >= 0.5 - 1e-9, "{}", town.level(7));
    }
    assert!(town.level(7) >= 10.0 - 1e-9, "{}", town.level(7));
}

/// A unit that only one can have: it is had, though twelve hold a twelfth of it each; and by each of two in turn.
#[test]
fn a_budget_of_one_is_used() {
    let mut town = twelve(Form::Window(2.0), 1.0 / 12.0);
    town.demand(2, 5.0);
    town.play(10.0, &mut lossy(0.0, 1));
    let used = |town: &Town, n: usize| town.nodes[n].as_ref().map_or(0, |n| n.used.len());
    assert!(used(&town, 2) >= 3, "{}", used(&town, 2));
    town.demand(9, 5.0);
    town.play(60.0, &mut lossy(0.0, 1));
    let both = used(&town, 2) + used(&town, 9);
    assert!(both >= 20, "{both} times in a minute");
}

/// A lender that is killed, and a borrower that is killed and back within the loan's time, with every letter played again
/// later: nothing is spent twice (looked at in `play`).
#[test]
fn the_killed_take_nothing_along_and_bring_nothing_back() {
    for form in [RATE, WINDOW, Form::Hand(1.0)] {
        let mut chance = ChaCha8Rng::seed_from_u64(3);
        let mut again = move |_: f64, _: usize, _: usize| {
            vec![0.001, chance.random_range(0.01..3.0), chance.random_range(0.1..1.0)]
        };
        let mut town = twelve(form, 10.0);
        town.demand(0, 1000.0);
        town.play(4.0, &mut again);
        (5..8).for_each(|n| town.kill(n));
        town.play(0.3, &mut again);
        (5..8).for_each(|n| town.begin(n));
        (5..8).for_each(|n| town.demand(n, 1000.0));
        town.play(1.0, &mut again);
        town.kill(0);
        town.play(0.2, &mut again);
        town.begin(0);
        town.demand(0, 1000.0);
        town.play(8.0, &mut again);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Two dozen, in any disorder of kills, stalls of links and jumps: never more than the whole.
    #[test]
    fn two_dozen_in_disorder_use_no_more_than_the_whole(
        seed in any::<u64>(),
        form in prop_oneof![Just(RATE), Just(Form::Window(3.0)), Just(Form::Hand(0.7))],
        lost in 0.0..0.6f64,
        late in 0.0..1.0f64,
    ) {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut town = Town::new(24, form, 3.0, Faults::default());
        for _ in 0..12 {
            let n = chance.random_range(0..24);
            match town.nodes[n] {
                Some(_) if chance.random_bool(0.4) => town.kill(n),
                Some(_) => town.demand(n, if chance.random_bool(0.5) { 100.0 } else { 0.0 }),
                None => town.begin(n),
            }
            let apart = chance.random_range(0..24);
            let mut links = ChaCha8Rng::seed_from_u64(chance.random());
            let mut rule = move |_: f64, a: usize, b: usize| {
                let cut = (a < apart) != (b < apart);
                if cut || links.random_bool(lost) {
                    return vec![];
                }
                let mut delays = vec![links.random_range(0.0..=2.0 * late)];
                if links.random_bool(0.2) {
                    delays.push(links.random_range(0.0..3.0));
                }
                delays
            };
            town.play(0.7, &mut rule);
        }
    }
}
