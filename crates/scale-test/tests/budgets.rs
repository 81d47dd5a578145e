//! Totals of shared budgets: which levels count as simultaneous, and when their sum exceeds the bound.

use milletpath_gateway::hollow_gateway::{BudgetLevel, MinimumTracker};
use milletpath_scale_test::budgets::{BudgetTotals, CountRange};
use milletpath_scale_test::host_protocol::{self, Minimum};
use std::collections::BTreeMap;

fn minimum(second: u64, fraction: f64, allowed: f64) -> Minimum {
    let level = host_protocol::BudgetLevel { quota: 2.0, allowed };
    Minimum { second, fraction, budgets: BTreeMap::from([("quota all".to_owned(), level)]) }
}

#[test]
fn leases_move_quota_between_gateways_without_breaking_the_bound() {
    let mut totals = BudgetTotals::new(3);
    totals.begin_play(100.0, "quiet");
    // One gateway holds leases on quota that the two others do not use.
    for (gateway, allowed) in [(0, 4.0), (1, 1.0), (2, 1.0)] {
        totals.record_minimum(gateway, &minimum(101, 1.0, allowed));
    }
    let worst = totals.finish();
    let quota = &worst["quota all"];
    assert_eq!(
        (quota.sum, quota.bound, quota.broken_seconds, quota.gateways),
        (6.0, 6.0, 0, CountRange { fewest: 3, most: 3 })
    );
    assert_eq!((worst["share"].sum, worst["share"].bound), (3.0, 3.0));
}

#[test]
fn a_total_over_the_bound_is_attributed_to_its_play() {
    let mut totals = BudgetTotals::new(3);
    totals.begin_play(100.0, "quiet");
    totals.begin_play(200.0, "apart");
    (0..3).for_each(|gateway| totals.record_minimum(gateway, &minimum(150, 1.0, 2.0)));
    // Each side of a partitioned fleet uses more than its fraction.
    (0..3).for_each(|gateway| totals.record_minimum(gateway, &minimum(205, 1.5, 2.0)));
    totals.close_seconds(400.0);
    let worst = totals.finish();
    let share = &worst["share"];
    assert_eq!((share.sum, share.bound, share.broken_seconds, share.seconds), (4.5, 3.0, 1, 2));
    assert_eq!(share.first_broken_in.as_deref(), Some("apart"));
    assert_eq!((worst["quota all"].broken_seconds, worst["quota all"].first_broken_in.clone()), (0, None));
}

#[test]
fn two_processes_of_one_gateway_are_not_added_up() {
    let mut totals = BudgetTotals::new(2);
    totals.record_minimum(0, &minimum(10, 2.0, 4.0));
    totals.record_minimum(0, &minimum(10, 2.0, 4.0));
    let worst = totals.finish();
    assert_eq!((worst["share"].sum, worst["share"].broken_seconds), (2.0, 0));
}

#[test]
fn a_minimum_that_arrives_after_its_second_was_closed_is_ignored() {
    let mut totals = BudgetTotals::new(1);
    totals.record_minimum(0, &minimum(10, 1.0, 1.0));
    totals.close_seconds(100.0);
    totals.record_minimum(0, &minimum(9, 9.0, 9.0));
    assert_eq!(totals.finish()["share"].seconds, 1);
}

fn budgets(allowed: f64) -> BTreeMap<String, BudgetLevel> {
    BTreeMap::from([("orders".to_owned(), BudgetLevel { quota: 20.0, allowed })])
}

#[test]
fn the_minimum_of_a_second_is_its_lowest_level() {
    let mut tracker = MinimumTracker::default();
    for (at, fraction, allowed) in [(5.1, 1.0, 20.0), (5.4, 0.5, 30.0), (5.8, 1.0, 25.0)] {
        assert_eq!(tracker.record(at, fraction, budgets(allowed)), None);
    }
    let minimum = tracker.record(6.1, 1.0, budgets(99.0)).expect("a second");
    assert_eq!(
        (minimum.second, minimum.fraction, minimum.budgets["orders"]),
        (5, 0.5, BudgetLevel { quota: 20.0, allowed: 20.0 })
    );
}

/// Guards against a minimum that is too high: between two readings far apart, the level may have been lower.
#[test]
fn a_second_with_gaps_has_no_minimum() {
    let mut tracker = MinimumTracker::default();
    for at in [5.1, 5.2, 5.9] {
        tracker.record(at, 1.0, budgets(20.0));
    }
    assert_eq!(tracker.record(6.1, 1.0, budgets(20.0)), None);
    // The next second has no minimum either, as it has a single reading.
    assert_eq!(tracker.record(7.1, 1.0, budgets(20.0)), None);
}

#[test]
fn a_budget_that_was_not_open_for_the_entire_second_has_no_minimum() {
    let mut tracker = MinimumTracker::default();
    tracker.record(5.1, 1.0, BTreeMap::new());
    tracker.record(5.4, 1.0, budgets(20.0));
    tracker.record(5.7, 1.0, budgets(20.0));
    let minimum = tracker.record(6.0, 1.0, budgets(20.0)).expect("a second");
    assert!(minimum.budgets.is_empty());
}
