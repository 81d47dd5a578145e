//! The book of changes: how long each took to be in force where, and who never had it.

use milletpath_config_log::Outcome;
use milletpath_scale_test::applied_state::AppliedState;
use milletpath_scale_test::change_propagation::ChangePropagation;
use milletpath_scale_test::distribution::ConvergenceSamples;
use milletpath_scale_test::proposal::ProposalError;
use milletpath_scale_test::report::FinalState;
use proptest::prelude::*;
use test_case::test_case;

/// Three gateways that run since 1 s.
fn three() -> ChangePropagation {
    let mut book = ChangePropagation::new(3, 0.0);
    (0..3).for_each(|g| book.record_start(g, 1.0));
    book
}

/// One change proposed at 10 s, and made with that number.
fn one(book: &mut ChangePropagation, number: u64) {
    book.expect_proposals(1);
    book.record_outcome(number as usize, 10.0, 10.2, Ok(number));
}

fn seconds(times: &ConvergenceSamples) -> Vec<f32> {
    let mut seconds = times.seconds.clone();
    seconds.sort_by(f32::total_cmp);
    seconds
}

#[test]
fn a_change_is_timed_from_its_proposal_at_each_gateway() {
    let mut book = three();
    // A gateway may be quicker than the word that tells the author.
    book.record_applied(0, 1, 10.125);
    assert!(book.is_converged(), "nothing is known to be made");
    one(&mut book, 1);
    assert_eq!((book.latest_committed(), book.up_to_date_count(), book.is_converged()), (1, 1, false));
    book.record_applied(1, 1, 10.25);
    // A later number holds the earlier ones as well.
    book.record_applied(2, 3, 10.5);
    assert_eq!((book.up_to_date_count(), book.is_converged()), (3, true));
    let made = book.take_outcomes(20.0);
    assert_eq!(seconds(&made.propagation_times), [0.125, 0.25, 0.5]);
    assert_eq!(
        (made.proposed, made.committed_count, made.propagation_times.never, made.gateways_without),
        (1, 1, 0, 0)
    );
    assert_eq!(seconds(&made.commit_times), [0.2_f32]);
}

#[test]
fn a_gateway_that_never_has_it_is_told() {
    let mut book = three();
    book.expect_proposals(2);
    book.record_outcome(0, 10.0, 10.1, Ok(1));
    book.record_outcome(1, 10.0, 10.1, Ok(2));
    book.record_applied(0, 2, 11.0);
    book.record_applied(1, 1, 11.0);
    let made = book.take_outcomes(20.0);
    assert_eq!(
        (made.propagation_times.seconds.len(), made.propagation_times.never, made.gateways_without),
        (3, 3, 2)
    );
}

#[test]
fn one_that_ended_or_began_later_is_not_late() {
    let mut book = three();
    one(&mut book, 1);
    book.record_applied(0, 1, 10.5);
    book.record_stop(1);
    book.record_stop(2);
    // What its former process still said, and what it says itself.
    book.record_start(2, 12.0);
    book.record_applied(2, 1, 11.9);
    assert_eq!((book.running_count(), book.up_to_date_count()), (2, 1));
    book.record_applied(2, 1, 12.75);
    let made = book.take_outcomes(20.0);
    assert_eq!((seconds(&made.propagation_times), made.propagation_times.never), (vec![0.5], 0));
    assert_eq!((seconds(&made.catch_up_times), made.catch_up_times.never), (vec![0.75], 0));
}

#[test]
fn one_that_came_back_and_never_caught_up_is_told() {
    let mut book = three();
    one(&mut book, 1);
    (0..3).for_each(|g| book.record_applied(g, 1, 10.5));
    book.take_outcomes(20.0);
    book.record_stop(0);
    book.record_start(0, 21.0);
    assert!(!book.is_converged());
    let made = book.take_outcomes(30.0);
    assert_eq!((made.catch_up_times.never, made.propagation_times.never), (1, 0));
    // In the next play it has begun long ago.
    book.record_applied(0, 1, 31.0);
    assert!(book.is_converged());
    assert_eq!(book.take_outcomes(40.0).catch_up_times, ConvergenceSamples::default());
}

#[test]
fn what_is_not_known_to_be_made_is_told_with_its_reason() {
    let mut book = three();
    book.expect_proposals(3);
    book.record_outcome(0, 10.0, 10.1, Ok(1));
    book.record_outcome(1, 10.0, 22.0, Err(ProposalError::NotCommitted(Outcome::Unknown)));
    assert_eq!(book.open_proposals(), 1);
    let made = book.take_outcomes(30.0);
    assert_eq!((made.proposed, made.committed_count, made.commit_times.never), (3, 1, 2));
    let uncommitted: Vec<String> = made.uncommitted.iter().map(ToString::to_string).collect();
    assert_eq!(uncommitted, ["change 1: Unknown", "1 are not answered at the end of the play"]);
    assert_eq!(book.open_proposals(), 0);
}

const fn state(number: u64, digest: u64) -> Option<AppliedState> {
    Some(AppliedState { number, digest })
}

const SAME: Option<AppliedState> = state(5, 77);

#[test_case([SAME, SAME, SAME], [SAME, SAME], 5, None; "all are alike")]
#[test_case([SAME, state(5, 78), SAME], [SAME, SAME], 5,
    Some("2 of 3 gateways and 2 of 2 control machines are at number 5 with digest 000000000000004d");
    "another digest at one gateway")]
#[test_case([SAME, SAME, None], [SAME, SAME], 5, Some("2 of 3 gateways"); "one does not say")]
#[test_case([SAME, SAME, SAME], [SAME, state(6, 1)], 5, Some("1 of 2 control machines");
    "a control machine is further on")]
#[test_case([SAME, SAME, SAME], [SAME, SAME], 6, Some("all are at number 5, and 6 was made"); "one is lost")]
fn a_state_that_is_not_the_same_everywhere_is_wrong(
    gateways: [Option<AppliedState>; 3],
    control: [Option<AppliedState>; 2],
    latest: u64,
    wanted: Option<&str>,
) {
    let wrong = FinalState::of(&gateways, &control, latest).broken_bound().map(|broken| broken.to_string());
    match (wrong, wanted) {
        (None, None) => {}
        (Some(wrong), Some(wanted)) => assert!(wrong.contains(wanted), "{wrong}"),
        other => panic!("{other:?}"),
    }
}

proptest! {
    /// Whatever is told in whatever order: each made change is, at each gateway that ran all the while, either
    /// timed or never in force.
    #[test]
    fn every_change_is_counted_once_at_every_gateway(
        said in proptest::collection::vec((0usize..5, 0u64..12, 10.0..20.0f64), 0..60),
        made in proptest::collection::btree_set(1u64..12, 0..8),
    ) {
        let mut book = ChangePropagation::new(5, 0.0);
        (0..5).for_each(|g| book.record_start(g, 1.0));
        book.expect_proposals(made.len());
        for (n, number) in made.iter().enumerate() {
            book.record_outcome(n, 10.0, 10.1, Ok(*number));
        }
        said.iter().for_each(|(g, number, at)| book.record_applied(*g, *number, *at));
        let settled = book.is_converged();
        let told = book.take_outcomes(30.0);
        prop_assert_eq!(told.propagation_times.seconds.len() + told.propagation_times.never, 5 * made.len());
        prop_assert_eq!(settled, told.propagation_times.never == 0);
        prop_assert!(told.propagation_times.seconds.iter().all(|s| *s >= 0.0));
    }
}
