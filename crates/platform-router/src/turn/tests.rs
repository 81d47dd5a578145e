use super::*;

#[test]
fn turn_lasts_until_it_is_ended() {
    let mut turn = Turn::default();
    assert!(turn.begin(1.0) && !turn.begin(1.2));
    assert_eq!((turn.seconds(1.5), turn.earliest_event(1.5)), (0.5, 1.0));
    turn.end(1.6);
    assert_eq!(turn.seconds(9.0), 0.0);
}

/// An event that is noticed in a turn may have waited since the turn before, if that ended just then.
#[test]
fn event_may_have_waited_for_the_previous_turn() {
    let mut turn = Turn::default();
    turn.begin(1.0);
    turn.end(1.4);
    assert_eq!((turn.earliest_event(1.401), turn.earliest_event(1.5)), (1.0, 1.5));
    turn.begin(1.401);
    assert_eq!(turn.earliest_event(1.7), 1.0);
}
