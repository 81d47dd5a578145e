//! Sums of budgets over gateways: what counts as used together, and when that is more than there is.

use milletpath_gateway::hollow_gateway::{BudgetLevel, MinimumTracker};
use milletpath_scale_test::budgets::{BudgetTotals, CountRange};
use milletpath_scale_test::host_protocol::{self, Minimum};
use std::collections::BTreeMap;

fn low(second: u64, fraction: f64, allowed: f64) -> Minimum {
    let level = host_protocol::BudgetLevel { quota: 2.0, allowed };
    Minimum { second, fraction, budgets: BTreeMap::from([("quota all".to_owned(), level)]) }
}

#[test]
fn what_is_there_is_shared_whole_and_no_bound_is_broken() {
    let mut sums = BudgetTotals::new(3);
    sums.begin_play(100.0, "quiet");
    // One has borrowed what the two others lent.
    for (gateway, allowed) in [(0, 4.0), (1, 1.0), (2, 1.0)] {
        sums.record_minimum(gateway, &low(101, 1.0, allowed));
    }
    let worst = sums.finish();
    let quota = &worst["quota all"];
    assert_eq!(
        (quota.sum, quota.bound, quota.broken_seconds, quota.gateways),
        (6.0, 6.0, 0, CountRange { fewest: 3, most: 3 })
    );
    assert_eq!((worst["share"].sum, worst["share"].bound), (3.0, 3.0));
}

#[test]
fn more_than_there_is_is_found_and_put_down_to_its_play() {
    let mut sums = BudgetTotals::new(3);
    sums.begin_play(100.0, "quiet");
    sums.begin_play(200.0, "apart");
    (0..3).for_each(|g| sums.record_minimum(g, &low(150, 1.0, 2.0)));
    // Two halves of a fleet that each spend the whole.
    (0..3).for_each(|g| sums.record_minimum(g, &low(205, 1.5, 2.0)));
    sums.close_seconds(400.0);
    let worst = sums.finish();
    let share = &worst["share"];
    assert_eq!((share.sum, share.bound, share.broken_seconds, share.seconds), (4.5, 3.0, 1, 2));
    assert_eq!(share.first_broken_in.as_deref(), Some("apart"));
    assert_eq!((worst["quota all"].broken_seconds, worst["quota all"].first_broken_in.clone()), (0, None));
}

#[test]
fn two_processes_of_one_name_do_not_count_together() {
    let mut sums = BudgetTotals::new(2);
    sums.record_minimum(0, &low(10, 2.0, 4.0));
    sums.record_minimum(0, &low(10, 2.0, 4.0));
    let worst = sums.finish();
    assert_eq!((worst["share"].sum, worst["share"].broken_seconds), (2.0, 0));
}

#[test]
fn a_reading_that_comes_when_its_second_is_closed_changes_nothing() {
    let mut sums = BudgetTotals::new(1);
    sums.record_minimum(0, &low(10, 1.0, 1.0));
    sums.close_seconds(100.0);
    sums.record_minimum(0, &low(9, 9.0, 9.0));
    assert_eq!(sums.finish()["share"].seconds, 1);
}

fn budgets(allowed: f64) -> BTreeMap<String, BudgetLevel> {
    BTreeMap::from([("orders".to_owned(), BudgetLevel { quota: 20.0, allowed })])
}

#[test]
fn of_a_second_the_lowest_counts() {
    let mut lows = MinimumTracker::default();
    for (at, part, allowed) in [(5.1, 1.0, 20.0), (5.4, 0.5, 30.0), (5.8, 1.0, 25.0)] {
        assert_eq!(lows.record(at, part, budgets(allowed)), None);
    }
    let low = lows.record(6.1, 1.0, budgets(99.0)).expect("a second");
    assert_eq!(
        (low.second, low.fraction, low.budgets["orders"]),
        (5, 0.5, BudgetLevel { quota: 20.0, allowed: 20.0 })
    );
}

/// A lender may have been without what it lent just when nobody looked.
#[test]
fn a_second_with_gaps_is_left_out() {
    let mut lows = MinimumTracker::default();
    for at in [5.1, 5.2, 5.9] {
        lows.record(at, 1.0, budgets(20.0));
    }
    assert_eq!(lows.record(6.1, 1.0, budgets(20.0)), None);
    // Nor the next, of which there is one reading.
    assert_eq!(lows.record(7.1, 1.0, budgets(20.0)), None);
}

#[test]
fn a_budget_that_was_not_open_all_the_while_counts_as_none() {
    let mut lows = MinimumTracker::default();
    lows.record(5.1, 1.0, BTreeMap::new());
    lows.record(5.4, 1.0, budgets(20.0));
    lows.record(5.7, 1.0, budgets(20.0));
    let low = lows.record(6.0, 1.0, budgets(20.0)).expect("a second");
    assert!(low.budgets.is_empty());
}
