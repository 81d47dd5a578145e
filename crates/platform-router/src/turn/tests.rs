use super::*;

/// A turn counts from its first read until it is ended; between two turns a process is not behind.
#[test]
fn turn_lasts_until_it_is_ended() {
    let mut turn = Turn::default();
    assert_eq!((turn.seconds(0.9), turn.earliest_signal(0.9)), (0.0, 0.9));
    assert!(turn.begin(1.0) && !turn.begin(1.2));
    assert_eq!((turn.seconds(1.5), turn.earliest_signal(1.5)), (0.5, 1.0));
    turn.end();
    assert_eq!((turn.seconds(9.0), turn.earliest_signal(9.0)), (0.0, 9.0));
}
