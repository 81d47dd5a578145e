//! Projections follow the measurements, and shortfalls are ranked by the size at which their limit is exceeded.

mod rig;

use milletpath_capacity_model::assumptions::Assumptions;
use milletpath_capacity_model::fitted_runs::FittedRuns;
use milletpath_capacity_model::projection::{Projection, project};
use milletpath_capacity_model::quantity::{Quantity, Resource, Role, RunInput};
use milletpath_capacity_model::roles::projections;
use milletpath_capacity_model::run::Run;
use milletpath_capacity_model::shortfalls::{Shortfall, rank, shortfalls};
use rig::committed_inputs;
use std::collections::BTreeMap;

/// The ranked shortfalls according to the given runs.
fn ranked(assumptions: &Assumptions, runs: BTreeMap<String, Run>) -> Vec<Shortfall> {
    rank(&projections(assumptions, &FittedRuns::new(runs)), &shortfalls(assumptions, &[]))
}

/// Projects the run `list-memory` to a size, with a limit.
fn list_memory(runs: &BTreeMap<String, Run>, size: f64, limit: f64) -> Projection {
    let input = RunInput::new("list-memory", size);
    let quantity = Quantity::from_run(Role::Gateway, Resource::Memory, "memory", input, "MB");
    project(&quantity.with_limit(limit), &FittedRuns::new(runs.clone()))
}

#[test]
fn no_projection_lacks_a_run() {
    let (assumptions, runs) = committed_inputs();
    for projection in projections(&assumptions, &FittedRuns::new(runs)) {
        assert!(projection.value.is_finite(), "{}: {:?}", projection.description, projection.source);
    }
}

#[test]
fn a_changed_measurement_moves_the_shortfalls() {
    let (assumptions, runs) = committed_inputs();
    let before = ranked(&assumptions, runs.clone());
    let description = "a complete endpoint list is decoded on a core that forwards calls";
    let position = |ranked: &[Shortfall]| ranked.iter().position(|s| s.description == description);
    // A thousandth of the time is within the limit; a thousand times as much exceeds it at a smaller size than before.
    let multiplied = |factor: f64| {
        let mut runs = runs.clone();
        for measurement in &mut runs.get_mut("list-read").unwrap().measurements {
            measurement.median *= factor;
            measurement.min *= factor;
            measurement.max *= factor;
        }
        ranked(&assumptions, runs)
    };
    assert_eq!(position(&multiplied(1e-3)), None);
    let (before_index, after) =
        (position(&before).expect("exceeded with the committed runs"), multiplied(1e3));
    let after_index = position(&after).unwrap();
    assert!(after[after_index].breaking_point < before[before_index].breaking_point);
}

#[test]
fn shortfalls_are_sorted_by_breaking_point() {
    let (assumptions, runs) = committed_inputs();
    let ranked = ranked(&assumptions, runs);
    assert!(ranked.windows(2).all(|pair| pair[0].breaking_point <= pair[1].breaking_point));
    assert!(
        ranked.iter().all(|s| s.breaking_point <= 1.0),
        "limits that are exceeded beyond the target size only are not shortfalls"
    );
    let change =
        ranked.iter().find(|s| s.description.starts_with("a configuration change")).expect("is a shortfall");
    assert!((change.breaking_point - 1.0 / 1_100.0).abs() < 1e-9);
}

#[test]
fn the_breaking_point_of_a_kept_limit_lies_beyond_the_target() {
    let (assumptions, runs) = committed_inputs();
    let projections = projections(&assumptions, &FittedRuns::new(runs));
    let workers = projections.iter().find(|p| p.description == "workers known").unwrap();
    assert!(!workers.exceeds_limit());
    let breaking_point = workers.breaking_point;
    assert!((breaking_point.unwrap() - 65_536.0 / 9_100.0).abs() < 0.01, "{breaking_point:?}");
}

/// If the measurement at the target exceeds a limit that the fitted curve keeps, the breaking point is interpolated
/// between measured sizes. If the measurement keeps the limit, the breaking point does not lie below the target.
#[test]
fn a_measurement_at_the_target_takes_precedence_over_the_fitted_curve() {
    let (assumptions, mut runs) = committed_inputs();
    // 0.001 per worker, except for a higher value at the target.
    for measurement in &mut runs.get_mut("list-memory").unwrap().measurements {
        measurement.median = measurement.size * if measurement.size == 9_100.0 { 0.0015 } else { 0.001 };
    }
    let exceeded = list_memory(&runs, assumptions.workers(), 12.5);
    assert!(exceeded.exceeds_limit());
    let (from, to) = ((3_000.0, 3.0), (9_100.0, 13.65));
    let workers = from.0 + (to.0 - from.0) * (12.5 - from.1) / (to.1 - from.1);
    let breaking_point = exceeded.breaking_point;
    assert!((breaking_point.unwrap() - workers / 9_100.0).abs() < 1e-3, "{breaking_point:?}");
    // The same with a lower value at the target.
    for measurement in &mut runs.get_mut("list-memory").unwrap().measurements {
        measurement.median = measurement.size * if measurement.size == 9_100.0 { 0.0005 } else { 0.001 };
    }
    let kept = list_memory(&runs, assumptions.workers(), 5.0);
    assert!(!kept.exceeds_limit() && kept.breaking_point.unwrap() >= 1.0, "{:?}", kept.breaking_point);
}

/// An extrapolated value has a range according to all plausible forms. The verdict is uncertain if and only if the
/// limit lies within that range.
#[test]
fn a_verdict_that_depends_on_the_form_is_uncertain() {
    let (_, mut runs) = committed_inputs();
    let run = runs.get_mut("list-memory").unwrap();
    // Neither a quadratic nor a cubic form fits exactly.
    let sizes = [10.0, 20.0, 40.0, 80.0, 160.0];
    run.measurements.truncate(sizes.len());
    for (measurement, n) in run.measurements.iter_mut().zip(sizes) {
        (measurement.size, measurement.median) = (n, n * n + 0.004 * n * n * n);
    }
    let with_limit = |limit: f64| list_memory(&runs, 1_600.0, limit);
    let range = with_limit(1.0).range.unwrap();
    assert!(range.low < range.high, "{range:?}");
    assert!(with_limit((range.low + range.high) / 2.0).is_uncertain());
    assert!(!with_limit(range.high * 1.01).is_uncertain() && !with_limit(range.low * 0.99).is_uncertain());
}
