use super::*;

#[test]
fn a_callers_clock_that_goes_back_does_not_turn_time_back() {
    let mut clock = MonotonicClock::new(100.0);
    assert_eq!(clock.advance(110.0), 110.0);
    assert_eq!(clock.advance(50.0), 110.0);
    assert_eq!(clock.advance(51.0), 111.0);
    assert_eq!(clock.caller_time(112.0), 52.0);
    assert_eq!(clock.monotonic_time(52.0), 112.0);
}
