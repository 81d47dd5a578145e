use super::*;
use test_case::test_case;

/// The number of retries during a two-second failure is bounded, and the backoff is exhausted before the connect
/// timeout.
#[test_case(0.02; "short connect timeout")]
#[test_case(0.25; "usual connect timeout")]
#[test_case(3.0; "long connect timeout")]
fn pauses_are_bounded_and_exhausted_before_the_connect_timeout(connect_timeout: f64) {
    let mut backoff = Backoff::new(connect_timeout);
    let (mut now, mut calls, mut exhausted_at) = (0.0, 0, None);
    while now < 2.0 {
        calls += 1;
        let resume = backoff.failed(now);
        assert_eq!(backoff.pauses_until(now), Some(resume));
        if exhausted_at.is_none() && backoff.exhausted(now) {
            exhausted_at = Some(now);
        }
        now = resume;
        assert_eq!(backoff.pauses_until(now), None);
    }
    assert!(calls as f64 <= 8.0 + 2.0 / MAX_PAUSE.min(connect_timeout / 8.0), "{calls}");
    assert!(exhausted_at.is_some_and(|at| at < 0.75 * connect_timeout), "{exhausted_at:?}");
    backoff.succeeded();
    assert!(!backoff.exhausted(now) && backoff.pauses_until(now).is_none());
    assert_eq!(backoff.failed(now), now + MIN_PAUSE);
}
