use super::*;

#[test]
fn time_does_not_go_backwards_with_the_callers_clock() {
    let mut clock = MonotonicClock::new(100.0);
    assert_eq!(clock.advance(110.0), 110.0);
    assert_eq!(clock.advance(50.0), 110.0);
    assert_eq!(clock.advance(51.0), 111.0);
    assert_eq!(clock.caller_time(112.0), 52.0);
    assert_eq!(clock.monotonic_time(52.0), 112.0);
}
