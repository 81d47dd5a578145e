//! Who believes what of whom, and how long it took: stories told to the book by hand.

use milletpath_scale_test::membership_tracker::{MembershipTracker, ReportedState};

const HERE: ReportedState = ReportedState::Alive;
const GONE: ReportedState = ReportedState::Dead;

/// So many that run since 1 s, and all know all since 2 s.
fn together(size: usize) -> MembershipTracker {
    let mut book = MembershipTracker::new(size, 0.0);
    (0..size).for_each(|g| book.record_start(g, 1.0));
    for observer in 0..size {
        (0..size)
            .filter(|about| *about != observer)
            .for_each(|about| book.record_report(observer, about, HERE, 2.0));
    }
    book
}

#[test]
fn a_fleet_is_settled_when_all_believe_in_all() {
    let mut book = MembershipTracker::new(3, 0.0);
    (0..3).for_each(|g| book.record_start(g, 1.0));
    assert_eq!((book.converged_observers(), book.agreed_gateways(), book.running_count()), (0, 0, 3));
    for (observer, about) in [(0, 1), (0, 2), (1, 2), (2, 1)] {
        book.record_report(observer, about, HERE, 2.5);
    }
    // The first knows all; the last is known by all, and so is the second.
    assert_eq!((book.converged_observers(), book.agreed_gateways()), (1, 2));
    book.record_report(1, 0, HERE, 3.0);
    book.record_report(2, 0, HERE, 4.0);
    assert_eq!((book.converged_observers(), book.agreed_gateways()), (3, 3));
    let mut seconds = book.take_times().join.seconds;
    seconds.sort_by(f32::total_cmp);
    assert_eq!(seconds, [1.5, 1.5, 1.5, 1.5, 2.0, 3.0]);
}

#[test]
fn a_death_is_learnt_by_each_who_believed_in_it() {
    let mut book = together(4);
    book.take_times();
    book.record_stop(3, 10.0);
    assert_eq!((book.converged_observers(), book.running_count()), (0, 3));
    book.record_report(0, 3, GONE, 14.0);
    book.record_report(1, 3, GONE, 15.0);
    assert_eq!(book.converged_observers(), 2);
    let learnt = book.take_times();
    assert_eq!((learnt.death.seconds, learnt.death.never, learnt.false_deaths), (vec![4.0, 5.0], 1, 0));
    // What was never learnt in its time is not counted once more.
    assert_eq!(book.take_times().death.never, 0);
}

/// Begun anew at once: the new process may be known before the former is known to be gone.
#[test]
fn a_restart_is_a_death_and_a_join_in_whatever_order() {
    let mut book = together(3);
    book.take_times();
    book.record_stop(0, 10.0);
    book.record_start(0, 10.5);
    book.record_report(0, 1, HERE, 11.0);
    book.record_report(0, 2, HERE, 11.0);
    book.record_report(2, 0, GONE, 11.5);
    book.record_report(2, 0, HERE, 12.5);
    book.record_report(1, 0, HERE, 11.0);
    assert_eq!(book.converged_observers(), 2, "one holds the former process for there");
    book.record_report(1, 0, GONE, 12.0);
    assert_eq!(book.converged_observers(), 3);
    let learnt = book.take_times();
    assert_eq!(learnt.false_deaths, 0);
    assert_eq!(learnt.death.seconds, [1.5, 2.0]);
    assert_eq!(learnt.join.seconds, [0.5, 0.5, 2.0, 0.5]);
}

/// Observers and those whom they speak of are heard by different ways.
#[test]
fn what_is_said_may_be_heard_before_that_it_was_so() {
    let mut book = together(3);
    book.take_times();
    book.record_report(1, 0, GONE, 10.5);
    book.record_stop(0, 10.0);
    book.record_report(2, 0, GONE, 11.0);
    book.record_report(1, 0, HERE, 12.5);
    book.record_start(0, 12.0);
    book.record_report(2, 0, HERE, 13.0);
    book.record_report(0, 1, HERE, 12.5);
    book.record_report(0, 2, HERE, 12.5);
    assert_eq!(book.converged_observers(), 3);
    let learnt = book.take_times();
    assert_eq!((learnt.false_deaths, learnt.death.never, learnt.join.never), (0, 0, 0));
    assert_eq!(learnt.death.seconds, [0.5, 1.0]);
    assert_eq!(learnt.join.seconds, [0.5, 1.0, 0.5, 0.5]);
}

#[test]
fn a_former_process_has_no_word_and_nothing_to_learn() {
    let mut book = together(3);
    book.take_times();
    book.record_stop(0, 10.0);
    book.record_stop(1, 10.0);
    book.record_start(0, 20.0);
    // Said before the end, heard after it.
    book.record_report(0, 2, HERE, 9.0);
    book.record_report(2, 0, GONE, 21.0);
    book.record_report(2, 1, GONE, 21.0);
    assert_eq!(book.converged_observers(), 0);
    let learnt = book.take_times();
    assert_eq!((learnt.death.seconds.len(), learnt.join.seconds.len()), (2, 0));
    assert_eq!((learnt.death.never, learnt.join.never), (0, 2));
}

#[test]
fn one_that_runs_and_is_said_to_be_gone_is_wronged() {
    let mut book = together(3);
    book.record_report(0, 1, GONE, 5.0);
    book.record_report(0, 1, HERE, 6.0);
    assert_eq!(book.take_times().false_deaths, 1);
    assert_eq!(book.converged_observers(), 3);
}

/// A word of doubt about one that counted as gone, as it comes by way of others, says that it is there after all.
#[test]
fn one_that_is_doubted_is_there() {
    let mut book = together(3);
    book.record_report(0, 1, ReportedState::Suspected, 4.0);
    assert_eq!(book.converged_observers(), 3);
    book.record_report(0, 1, GONE, 5.0);
    assert_eq!(book.converged_observers(), 2);
    book.record_report(0, 1, ReportedState::Suspected, 6.0);
    assert_eq!(book.converged_observers(), 3);
    // And is so no less when the doubt is over, of which there is no word.
    book.record_report(0, 1, ReportedState::Suspected, 8.0);
    book.record_report(0, 1, GONE, 9.0);
    assert_eq!((book.converged_observers(), book.take_times().false_deaths), (2, 2));
}

#[test]
fn behind_a_cut_nobody_is_wronged_and_all_must_heal() {
    let mut book = together(4);
    book.take_times();
    book.begin_partition(|a, b| (a < 2) != (b < 2));
    book.record_report(0, 3, GONE, 5.0);
    book.record_report(0, 1, GONE, 5.0);
    book.end_partition(10.0);
    assert_eq!(book.converged_observers(), 3);
    book.record_report(0, 3, HERE, 12.0);
    book.record_report(0, 1, HERE, 12.0);
    let learnt = book.take_times();
    // Only the one on the same side was wronged, and only the other was healed.
    assert_eq!((learnt.false_deaths, learnt.healing.seconds, learnt.healing.never), (1, vec![2.0], 0));
    assert_eq!(book.converged_observers(), 4);
}

#[test]
fn who_is_not_of_this_fleet_is_passed_over() {
    let mut book = together(2);
    book.record_report(7, 0, HERE, 3.0);
    book.record_report(0, 7, HERE, 3.0);
    book.record_report(0, 0, GONE, 3.0);
    assert_eq!(book.converged_observers(), 2);
}
