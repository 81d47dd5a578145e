//! Views that gateways have of each other, and their convergence times, for sequences of starts, stops and reports.

use milletpath_scale_test::membership_tracker::{MembershipTracker, ReportedState};

const ALIVE: ReportedState = ReportedState::Alive;
const DEAD: ReportedState = ReportedState::Dead;

/// A fleet that has been running since 1 s and converged at 2 s.
fn converged_fleet(size: usize) -> MembershipTracker {
    let mut tracker = MembershipTracker::new(size, 0.0);
    (0..size).for_each(|gateway| tracker.record_start(gateway, 1.0));
    for observer in 0..size {
        (0..size)
            .filter(|subject| *subject != observer)
            .for_each(|subject| tracker.record_report(observer, subject, ALIVE, 2.0));
    }
    tracker
}

#[test]
fn a_fleet_has_converged_when_all_consider_all_alive() {
    let mut tracker = MembershipTracker::new(3, 0.0);
    (0..3).for_each(|gateway| tracker.record_start(gateway, 1.0));
    assert_eq!(
        (tracker.converged_observers(), tracker.gateways_known_to_all(), tracker.running_count()),
        (0, 0, 3)
    );
    for (observer, subject) in [(0, 1), (0, 2), (1, 2), (2, 1)] {
        tracker.record_report(observer, subject, ALIVE, 2.5);
    }
    // Gateway 0 knows all others; gateways 1 and 2 are known to all others.
    assert_eq!((tracker.converged_observers(), tracker.gateways_known_to_all()), (1, 2));
    tracker.record_report(1, 0, ALIVE, 3.0);
    tracker.record_report(2, 0, ALIVE, 4.0);
    assert_eq!((tracker.converged_observers(), tracker.gateways_known_to_all()), (3, 3));
    let mut seconds = tracker.take_times().join.seconds;
    seconds.sort_by(f32::total_cmp);
    assert_eq!(seconds, [1.5, 1.5, 1.5, 1.5, 2.0, 3.0]);
}

#[test]
fn each_gateway_that_considered_another_alive_learns_of_its_death() {
    let mut tracker = converged_fleet(4);
    tracker.take_times();
    tracker.record_stop(3, 10.0);
    assert_eq!((tracker.converged_observers(), tracker.running_count()), (0, 3));
    tracker.record_report(0, 3, DEAD, 14.0);
    tracker.record_report(1, 3, DEAD, 15.0);
    assert_eq!(tracker.converged_observers(), 2);
    let times = tracker.take_times();
    assert_eq!((times.death.seconds, times.death.never, times.false_deaths), (vec![4.0, 5.0], 1, 0));
    // What was not learned in one play is not counted in the next.
    assert_eq!(tracker.take_times().death.never, 0);
}

/// The new process may become known before the earlier one is declared dead.
#[test]
fn a_restart_is_a_death_and_a_join_in_any_order() {
    let mut tracker = converged_fleet(3);
    tracker.take_times();
    tracker.record_stop(0, 10.0);
    tracker.record_start(0, 10.5);
    tracker.record_report(0, 1, ALIVE, 11.0);
    tracker.record_report(0, 2, ALIVE, 11.0);
    tracker.record_report(2, 0, DEAD, 11.5);
    tracker.record_report(2, 0, ALIVE, 12.5);
    tracker.record_report(1, 0, ALIVE, 11.0);
    assert_eq!(tracker.converged_observers(), 2, "one considers the earlier process alive");
    tracker.record_report(1, 0, DEAD, 12.0);
    assert_eq!(tracker.converged_observers(), 3);
    let times = tracker.take_times();
    assert_eq!(times.false_deaths, 0);
    assert_eq!(times.death.seconds, [1.5, 2.0]);
    assert_eq!(times.join.seconds, [0.5, 0.5, 2.0, 0.5]);
}

/// Reports and notices of starts and stops arrive on different channels, in any order.
#[test]
fn a_report_may_arrive_before_the_notice_of_what_it_is_about() {
    let mut tracker = converged_fleet(3);
    tracker.take_times();
    tracker.record_report(1, 0, DEAD, 10.5);
    tracker.record_stop(0, 10.0);
    tracker.record_report(2, 0, DEAD, 11.0);
    tracker.record_report(1, 0, ALIVE, 12.5);
    tracker.record_start(0, 12.0);
    tracker.record_report(2, 0, ALIVE, 13.0);
    tracker.record_report(0, 1, ALIVE, 12.5);
    tracker.record_report(0, 2, ALIVE, 12.5);
    assert_eq!(tracker.converged_observers(), 3);
    let times = tracker.take_times();
    assert_eq!((times.false_deaths, times.death.never, times.join.never), (0, 0, 0));
    assert_eq!(times.death.seconds, [0.5, 1.0]);
    assert_eq!(times.join.seconds, [0.5, 1.0, 0.5, 0.5]);
}

#[test]
fn reports_of_an_earlier_process_are_ignored_and_it_has_nothing_to_learn() {
    let mut tracker = converged_fleet(3);
    tracker.take_times();
    tracker.record_stop(0, 10.0);
    tracker.record_stop(1, 10.0);
    tracker.record_start(0, 20.0);
    // Reported before the stop and received after it.
    tracker.record_report(0, 2, ALIVE, 9.0);
    tracker.record_report(2, 0, DEAD, 21.0);
    tracker.record_report(2, 1, DEAD, 21.0);
    assert_eq!(tracker.converged_observers(), 0);
    let times = tracker.take_times();
    assert_eq!((times.death.seconds.len(), times.join.seconds.len()), (2, 0));
    assert_eq!((times.death.never, times.join.never), (0, 2));
}

#[test]
fn a_report_that_a_running_gateway_is_dead_is_a_false_death() {
    let mut tracker = converged_fleet(3);
    tracker.record_report(0, 1, DEAD, 5.0);
    tracker.record_report(0, 1, ALIVE, 6.0);
    assert_eq!(tracker.take_times().false_deaths, 1);
    assert_eq!(tracker.converged_observers(), 3);
}

/// A gateway that was considered dead and is reported as suspected by others counts as alive.
#[test]
fn a_suspected_gateway_is_alive() {
    let mut tracker = converged_fleet(3);
    tracker.record_report(0, 1, ReportedState::Suspected, 4.0);
    assert_eq!(tracker.converged_observers(), 3);
    tracker.record_report(0, 1, DEAD, 5.0);
    assert_eq!(tracker.converged_observers(), 2);
    tracker.record_report(0, 1, ReportedState::Suspected, 6.0);
    assert_eq!(tracker.converged_observers(), 3);
    // It stays alive when the suspicion ends, which is not reported.
    tracker.record_report(0, 1, ReportedState::Suspected, 8.0);
    tracker.record_report(0, 1, DEAD, 9.0);
    assert_eq!((tracker.converged_observers(), tracker.take_times().false_deaths), (2, 2));
}

#[test]
fn during_a_partition_there_are_no_false_deaths_across_it_and_after_it_all_must_heal() {
    let mut tracker = converged_fleet(4);
    tracker.take_times();
    tracker.begin_partition(|a, b| (a < 2) != (b < 2));
    tracker.record_report(0, 3, DEAD, 5.0);
    tracker.record_report(0, 1, DEAD, 5.0);
    tracker.end_partition(10.0);
    assert_eq!(tracker.converged_observers(), 3);
    tracker.record_report(0, 3, ALIVE, 12.0);
    tracker.record_report(0, 1, ALIVE, 12.0);
    let times = tracker.take_times();
    // Only the report about the same side was false, and only the view across the partition was healed.
    assert_eq!((times.false_deaths, times.healing.seconds, times.healing.never), (1, vec![2.0], 0));
    assert_eq!(tracker.converged_observers(), 4);
}

#[test]
fn reports_about_gateways_of_another_fleet_are_ignored() {
    let mut tracker = converged_fleet(2);
    tracker.record_report(7, 0, ALIVE, 3.0);
    tracker.record_report(0, 7, ALIVE, 3.0);
    tracker.record_report(0, 0, DEAD, 3.0);
    assert_eq!(tracker.converged_observers(), 2);
}
