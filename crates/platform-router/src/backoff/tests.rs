use super::*;
use test_case::test_case;

/// A call that fails for two seconds is made a bounded number of times, and what waits is given back before the time
/// that a connection may take is over.
#[test_case(0.02; "a short time to connect")]
#[test_case(0.25; "a usual one")]
#[test_case(3.0; "a long one")]
fn pauses_grow_and_end_in_time(connect: f64) {
    let mut backoff = Backoff::new(connect);
    let (mut now, mut calls, mut given_back) = (0.0, 0, None);
    while now < 2.0 {
        calls += 1;
        let resume = backoff.failed(now);
        assert_eq!(backoff.pauses_until(now), Some(resume));
        if given_back.is_none() && backoff.exhausted(now) {
            given_back = Some(now);
        }
        now = resume;
        assert_eq!(backoff.pauses_until(now), None);
    }
    assert!(calls as f64 <= 8.0 + 2.0 / LONGEST.min(connect / 8.0), "{calls}");
    assert!(given_back.is_some_and(|at| at < 0.75 * connect), "{given_back:?}");
    backoff.succeeded();
    assert!(!backoff.exhausted(now) && backoff.pauses_until(now).is_none());
    assert_eq!(backoff.failed(now), now + SHORTEST);
}
