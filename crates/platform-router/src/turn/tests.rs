use super::*;

const LIMITS: ReadDelayLimits = ReadDelayLimits { sustained: 0.1, burst: 0.4 };

/// A turn counts from its first read until it is ended; between two turns a process is not behind.
#[test]
fn turn_lasts_until_it_is_ended() {
    let mut turn = Turn::default();
    assert_eq!((turn.is_behind(0.9, LIMITS), turn.earliest_signal(0.9)), (false, 0.9));
    assert!(turn.begin(1.0) && !turn.begin(1.2));
    assert_eq!((turn.is_behind(1.3, LIMITS), turn.earliest_signal(1.3)), (false, 1.0));
    assert!(turn.is_behind(1.5, LIMITS));
    turn.end(1.5);
    assert_eq!((turn.is_behind(9.0, LIMITS), turn.earliest_signal(9.0)), (false, 9.0));
}

/// A process that is paused within a turn is not behind when it resumes.
#[test]
fn pause_within_a_turn_does_not_count() {
    let mut turn = Turn::default();
    turn.begin(1.0);
    turn.resume(f64::NEG_INFINITY);
    assert!(turn.is_behind(3.0, LIMITS));
    turn.resume(3.0);
    assert!(!turn.is_behind(3.3, LIMITS) && turn.is_behind(3.5, LIMITS));
}

/// A burst is served; a router that stays behind gets the shorter limit from its second turn on. Guards against rejecting
/// what was unread during a pause of the process.
#[test]
fn second_long_turn_in_a_row_has_the_shorter_limit() {
    let mut turn = Turn::default();
    turn.begin(1.0);
    turn.end(1.3);
    turn.begin(1.31);
    assert!(!turn.is_behind(1.4, LIMITS) && turn.is_behind(1.42, LIMITS));
    turn.end(1.42);
    turn.begin(2.0);
    assert!(!turn.is_behind(2.2, LIMITS));
    turn.end(2.05);
    turn.begin(2.06);
    assert!(!turn.is_behind(2.2, LIMITS));
}
