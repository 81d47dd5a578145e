//! Scenarios with larger fleets in simulated time: how much budget a gateway obtains beyond its quota, and how much the
//! other gateways keep.

mod fleet;

use fleet::SimulatedFleet;
use milletpath_shared_budgets::{BudgetKind, InjectedFaults};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const RATE: BudgetKind = BudgetKind::Rate;
const WINDOW: BudgetKind = BudgetKind::Window(10.0);

/// Delivers messages within two milliseconds and loses a fraction of them.
fn lossy(loss: f64, seed: u64) -> impl FnMut(f64, usize, usize) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    move |_, _, _| if rng.random_bool(loss) { vec![] } else { vec![rng.random_range(0.0002..0.002)] }
}

/// Twelve gateways that have run long enough that no quota is withheld for leases of a predecessor.
fn warmed_up_fleet(kind: BudgetKind, quota: f64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(12, kind, quota, InjectedFaults::default());
    fleet.run(3.0, &mut lossy(0.0, 1));
    fleet
}

/// Mean fraction of the whole budget that a gateway may use over the given number of seconds.
fn mean_fraction(
    fleet: &mut SimulatedFleet,
    n: usize,
    seconds: f64,
    delivery: fleet::DeliveryRule<'_>,
) -> f64 {
    /// Time between two samples, in seconds.
    const SAMPLE_INTERVAL: f64 = 0.05;
    let (mut sum, samples) = (0.0, (seconds / SAMPLE_INTERVAL) as usize);
    for _ in 0..samples {
        fleet.run(SAMPLE_INTERVAL, delivery);
        sum += fleet.allowed(n);
    }
    sum / samples as f64 / fleet.total_quota()
}

#[test_case(0.0, 0.9; "without message loss")]
#[test_case(0.3, 0.8; "with 30 percent message loss")]
fn one_gateway_with_all_the_traffic_gets_nearly_the_whole_budget(loss: f64, min_fraction: f64) {
    for seed in 1..=5 {
        let mut fleet = warmed_up_fleet(RATE, 10.0);
        fleet.set_demand(3, 1000.0);
        let mut delivery = lossy(loss, seed);
        fleet.run(3.0, &mut delivery);
        let fraction = mean_fraction(&mut fleet, 3, 10.0, &mut delivery);
        assert!(fraction >= min_fraction, "seed {seed}: {fraction}");
    }
}

/// Traffic moves instantly from one half of the fleet to the other.
#[test]
fn budget_follows_traffic_to_other_gateways_within_five_seconds() {
    let mut fleet = warmed_up_fleet(RATE, 10.0);
    (0..6).for_each(|n| fleet.set_demand(n, 100.0));
    fleet.run(5.0, &mut lossy(0.0, 1));
    let fraction_of = |fleet: &SimulatedFleet, half: std::ops::Range<usize>| {
        half.map(|n| fleet.allowed(n)).sum::<f64>() / fleet.total_quota()
    };
    assert!(fraction_of(&fleet, 0..6) >= 0.9, "{}", fraction_of(&fleet, 0..6));
    (0..6).for_each(|n| fleet.set_demand(n, 0.0));
    (6..12).for_each(|n| fleet.set_demand(n, 100.0));
    fleet.run(5.0, &mut lossy(0.0, 1));
    assert!(fraction_of(&fleet, 6..12) >= 0.9, "{}", fraction_of(&fleet, 6..12));
}

/// Units of a window return to their lenders after use and must be leased to the same gateway repeatedly.
#[test]
fn nearly_all_units_of_a_window_go_to_the_gateway_with_the_demand() {
    let mut fleet = warmed_up_fleet(WINDOW, 10.0);
    fleet.set_demand(5, 50.0);
    fleet.run(12.0, &mut lossy(0.0, 1));
    let units_used =
        |fleet: &SimulatedFleet| fleet.gateways[5].as_ref().map_or(0, |gateway| gateway.used_at.len());
    let before = units_used(&fleet);
    fleet.run(20.0, &mut lossy(0.0, 1));
    let rate = (units_used(&fleet) - before) as f64 / 20.0;
    assert!(rate >= 0.9 * fleet.total_quota() / 10.0, "{rate} units per second");
}

/// A gateway with excessive demand must get only what the others do not need.
#[test]
fn a_gateway_that_requests_everything_does_not_starve_the_others() {
    let mut fleet = warmed_up_fleet(RATE, 10.0);
    fleet.set_demand(0, 1e6);
    fleet.run(5.0, &mut lossy(0.0, 1));
    (1..4).for_each(|n| fleet.set_demand(n, 20.0));
    fleet.run(6.0, &mut lossy(0.0, 1));
    for n in 1..4 {
        let allowed = fleet.allowed(n);
        assert!(allowed >= 20.0, "gateway {n}: {allowed}");
    }
    (4..12).for_each(|n| fleet.set_demand(n, 7.0));
    fleet.run(6.0, &mut lossy(0.0, 1));
    for n in 4..12 {
        let allowed = fleet.allowed(n);
        assert!(allowed >= 7.0, "gateway {n}: {allowed}");
    }
}

/// A gateway is isolated while nearly all of its quota is leased. It must regain the full quota once the leases have
/// ended and keep its reserved fraction until then.
#[test]
fn an_isolated_lender_regains_its_quota_within_a_lease() {
    let mut fleet = warmed_up_fleet(RATE, 10.0);
    fleet.set_demand(0, 1e6);
    fleet.run(5.0, &mut lossy(0.0, 1));
    assert!(fleet.allowed(7) < 1.0);
    fleet.set_demand(7, 50.0);
    let mut isolated =
        |_: f64, from: usize, to: usize| if from == 7 || to == 7 { vec![] } else { vec![0.001] };
    for _ in 0..22 {
        fleet.run(0.1, &mut isolated);
        assert!(fleet.allowed(7) >= 0.5 - 1e-9, "{}", fleet.allowed(7));
    }
    assert!(fleet.allowed(7) >= 10.0 - 1e-9, "{}", fleet.allowed(7));
}

/// Each of twelve gateways has a quota of one twelfth of the unit. One gateway requests the unit, later two.
#[test]
fn a_budget_of_one_unit_is_used_by_each_requester_in_turn() {
    let mut fleet = warmed_up_fleet(BudgetKind::Window(2.0), 1.0 / 12.0);
    fleet.set_demand(2, 5.0);
    fleet.run(10.0, &mut lossy(0.0, 1));
    let units_used =
        |fleet: &SimulatedFleet, n: usize| fleet.gateways[n].as_ref().map_or(0, |n| n.used_at.len());
    assert!(units_used(&fleet, 2) >= 3, "{}", units_used(&fleet, 2));
    fleet.set_demand(9, 5.0);
    fleet.run(60.0, &mut lossy(0.0, 1));
    let both = units_used(&fleet, 2) + units_used(&fleet, 9);
    assert!(both >= 20, "{both} units in one minute");
}

/// A borrower and several lenders are killed and restarted while leases are running, and each message is delivered
/// three times. [`SimulatedFleet::run`] checks the budget.
#[test]
fn kills_and_restarts_with_replayed_messages_never_exceed_the_budget() {
    for kind in [RATE, WINDOW, BudgetKind::InFlight(1.0)] {
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let mut delivery = move |_: f64, _: usize, _: usize| {
            vec![0.001, rng.random_range(0.01..3.0), rng.random_range(0.1..1.0)]
        };
        let mut fleet = warmed_up_fleet(kind, 10.0);
        fleet.set_demand(0, 1000.0);
        fleet.run(4.0, &mut delivery);
        (5..8).for_each(|n| fleet.kill(n));
        fleet.run(0.3, &mut delivery);
        (5..8).for_each(|n| fleet.start(n));
        (5..8).for_each(|n| fleet.set_demand(n, 1000.0));
        fleet.run(1.0, &mut delivery);
        fleet.kill(0);
        fleet.run(0.2, &mut delivery);
        fleet.start(0);
        fleet.set_demand(0, 1000.0);
        fleet.run(8.0, &mut delivery);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Kills, restarts, partitions, message loss, delays and demand changes occur in random order.
    #[test]
    fn random_faults_among_24_gateways_never_exceed_the_budget(
        seed in any::<u64>(),
        kind in prop_oneof![Just(RATE), Just(BudgetKind::Window(3.0)), Just(BudgetKind::InFlight(0.7))],
        loss in 0.0..0.6f64,
        mean_delay in 0.0..1.0f64,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = SimulatedFleet::new(24, kind, 3.0, InjectedFaults::default());
        for _ in 0..12 {
            let n = rng.random_range(0..24);
            match fleet.gateways[n] {
                Some(_) if rng.random_bool(0.4) => fleet.kill(n),
                Some(_) => fleet.set_demand(n, if rng.random_bool(0.5) { 100.0 } else { 0.0 }),
                None => fleet.start(n),
            }
            let partition = rng.random_range(0..24);
            let mut link_rng = ChaCha8Rng::seed_from_u64(rng.random());
            let mut delivery = move |_: f64, from: usize, to: usize| {
                let cut = (from < partition) != (to < partition);
                if cut || link_rng.random_bool(loss) {
                    return vec![];
                }
                let mut delays = vec![link_rng.random_range(0.0..=2.0 * mean_delay)];
                if link_rng.random_bool(0.2) {
                    delays.push(link_rng.random_range(0.0..3.0));
                }
                delays
            };
            fleet.run(0.7, &mut delivery);
        }
    }
}
