//! Propagation of configuration changes: the time until each gateway applied them, and gateways that never did.

use milletpath_config_log::Outcome;
use milletpath_scale_test::applied_state::AppliedState;
use milletpath_scale_test::change_propagation::ChangePropagation;
use milletpath_scale_test::distribution::ConvergenceSamples;
use milletpath_scale_test::proposal::ProposalError;
use milletpath_scale_test::report::FinalState;
use proptest::prelude::*;
use test_case::test_case;

/// Three gateways that have been running since 1 s.
fn three_gateways() -> ChangePropagation {
    let mut propagation = ChangePropagation::new(3, 0.0);
    (0..3).for_each(|gateway| propagation.record_start(gateway, 1.0));
    propagation
}

/// Records one change that was proposed at 10 s and committed with this number.
fn commit_one(propagation: &mut ChangePropagation, number: u64) {
    propagation.expect_proposals(1);
    propagation.record_outcome(number as usize, 10.0, 10.2, Ok(number));
}

fn sorted_seconds(times: &ConvergenceSamples) -> Vec<f32> {
    let mut seconds = times.seconds.clone();
    seconds.sort_by(f32::total_cmp);
    seconds
}

#[test]
fn a_change_is_timed_from_its_proposal_at_each_gateway() {
    let mut propagation = three_gateways();
    // A gateway may apply a change before its author learns that it was committed.
    propagation.record_applied(0, 1, 10.125);
    assert!(propagation.is_converged(), "nothing is known to be committed");
    commit_one(&mut propagation, 1);
    assert_eq!(
        (propagation.latest_committed(), propagation.up_to_date_count(), propagation.is_converged()),
        (1, 1, false)
    );
    propagation.record_applied(1, 1, 10.25);
    // A higher number includes the earlier changes.
    propagation.record_applied(2, 3, 10.5);
    assert_eq!((propagation.up_to_date_count(), propagation.is_converged()), (3, true));
    let outcomes = propagation.take_outcomes(20.0);
    assert_eq!(sorted_seconds(&outcomes.propagation_times), [0.125, 0.25, 0.5]);
    assert_eq!(
        (
            outcomes.proposed,
            outcomes.committed_count,
            outcomes.propagation_times.never,
            outcomes.gateways_missing_changes
        ),
        (1, 1, 0, 0)
    );
    assert_eq!(sorted_seconds(&outcomes.commit_times), [0.2_f32]);
}

#[test]
fn a_gateway_that_never_applies_a_change_is_counted() {
    let mut propagation = three_gateways();
    propagation.expect_proposals(2);
    propagation.record_outcome(0, 10.0, 10.1, Ok(1));
    propagation.record_outcome(1, 10.0, 10.1, Ok(2));
    propagation.record_applied(0, 2, 11.0);
    propagation.record_applied(1, 1, 11.0);
    let outcomes = propagation.take_outcomes(20.0);
    assert_eq!(
        (
            outcomes.propagation_times.seconds.len(),
            outcomes.propagation_times.never,
            outcomes.gateways_missing_changes
        ),
        (3, 3, 2)
    );
}

#[test]
fn a_gateway_that_stopped_or_started_later_is_not_late() {
    let mut propagation = three_gateways();
    commit_one(&mut propagation, 1);
    propagation.record_applied(0, 1, 10.5);
    propagation.record_stop(1);
    propagation.record_stop(2);
    // A late report of the earlier process, followed by one of the current process.
    propagation.record_start(2, 12.0);
    propagation.record_applied(2, 1, 11.9);
    assert_eq!((propagation.running_count(), propagation.up_to_date_count()), (2, 1));
    propagation.record_applied(2, 1, 12.75);
    let outcomes = propagation.take_outcomes(20.0);
    assert_eq!(
        (sorted_seconds(&outcomes.propagation_times), outcomes.propagation_times.never),
        (vec![0.5], 0)
    );
    assert_eq!((sorted_seconds(&outcomes.catch_up_times), outcomes.catch_up_times.never), (vec![0.75], 0));
}

#[test]
fn a_gateway_that_restarts_and_never_catches_up_is_counted() {
    let mut propagation = three_gateways();
    commit_one(&mut propagation, 1);
    (0..3).for_each(|gateway| propagation.record_applied(gateway, 1, 10.5));
    propagation.take_outcomes(20.0);
    propagation.record_stop(0);
    propagation.record_start(0, 21.0);
    assert!(!propagation.is_converged());
    let outcomes = propagation.take_outcomes(30.0);
    assert_eq!((outcomes.catch_up_times.never, outcomes.propagation_times.never), (1, 0));
    // In the next play it no longer counts as recently started.
    propagation.record_applied(0, 1, 31.0);
    assert!(propagation.is_converged());
    assert_eq!(propagation.take_outcomes(40.0).catch_up_times, ConvergenceSamples::default());
}

#[test]
fn a_change_that_is_not_known_to_be_committed_is_listed_with_its_reason() {
    let mut propagation = three_gateways();
    propagation.expect_proposals(3);
    propagation.record_outcome(0, 10.0, 10.1, Ok(1));
    propagation.record_outcome(1, 10.0, 22.0, Err(ProposalError::NotCommitted(Outcome::Unknown)));
    assert_eq!(propagation.open_proposals(), 1);
    let outcomes = propagation.take_outcomes(30.0);
    assert_eq!((outcomes.proposed, outcomes.committed_count, outcomes.commit_times.never), (3, 1, 2));
    let uncommitted: Vec<String> = outcomes.uncommitted.iter().map(ToString::to_string).collect();
    assert_eq!(uncommitted, ["change 1: Unknown", "1 are not answered at the end of the play"]);
    assert_eq!(propagation.open_proposals(), 0);
}

const fn state(number: u64, digest: u64) -> Option<AppliedState> {
    Some(AppliedState { number, digest })
}

const SAME: Option<AppliedState> = state(5, 77);

#[test_case([SAME, SAME, SAME], [SAME, SAME], 5, None; "all are alike")]
#[test_case([SAME, state(5, 78), SAME], [SAME, SAME], 5,
    Some("2 of 3 gateways and 2 of 2 control machines are at number 5 with digest 000000000000004d");
    "another digest at one gateway")]
#[test_case([SAME, SAME, None], [SAME, SAME], 5, Some("2 of 3 gateways"); "one does not answer")]
#[test_case([SAME, SAME, SAME], [SAME, state(6, 1)], 5, Some("1 of 2 control machines");
    "a control machine is ahead")]
#[test_case([SAME, SAME, SAME], [SAME, SAME], 6, Some("all are at number 5, and 6 was made"); "one is lost")]
fn a_state_that_is_not_the_same_everywhere_breaks_a_bound(
    gateways: [Option<AppliedState>; 3],
    control_machines: [Option<AppliedState>; 2],
    latest_committed: u64,
    expected: Option<&str>,
) {
    let broken = FinalState::of(&gateways, &control_machines, latest_committed).broken_bound();
    match (broken.map(|broken| broken.to_string()), expected) {
        (None, None) => {}
        (Some(broken), Some(expected)) => assert!(broken.contains(expected), "{broken}"),
        other => panic!("{other:?}"),
    }
}

proptest! {
    /// Regardless of the reports and their order, each committed change is either timed or counted as never applied,
    /// once for each gateway that ran throughout.
    #[test]
    fn every_change_is_counted_once_at_every_gateway(
        reports in proptest::collection::vec((0usize..5, 0u64..12, 10.0..20.0f64), 0..60),
        committed in proptest::collection::btree_set(1u64..12, 0..8),
    ) {
        let mut propagation = ChangePropagation::new(5, 0.0);
        (0..5).for_each(|gateway| propagation.record_start(gateway, 1.0));
        propagation.expect_proposals(committed.len());
        for (change, number) in committed.iter().enumerate() {
            propagation.record_outcome(change, 10.0, 10.1, Ok(*number));
        }
        reports.iter().for_each(|(gateway, number, at)| propagation.record_applied(*gateway, *number, *at));
        let converged = propagation.is_converged();
        let outcomes = propagation.take_outcomes(30.0);
        prop_assert_eq!(outcomes.propagation_times.seconds.len() + outcomes.propagation_times.never, 5 * committed.len());
        prop_assert_eq!(converged, outcomes.propagation_times.never == 0);
        prop_assert!(outcomes.propagation_times.seconds.iter().all(|s| *s >= 0.0));
    }
}
