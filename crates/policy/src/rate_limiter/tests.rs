use super::*;

/// Of two actions that are due ten seconds apart the first is done late. The window counts from when it was done.
#[test]
fn an_action_counts_from_when_it_was_done() {
    let mut limiter =
        RateLimiter::new(RequestBudget { window: 10.0, free: 1.0, earned_per_request: 0.0 }, 0.05);
    assert!(limiter.allows(0.2, 1.0));
    limiter.action_done(0.2);
    assert!(!limiter.allows(10.01, 1.0) && !limiter.allows(10.24, 1.0) && limiter.allows(10.26, 1.0));
}

#[test]
fn requests_earn_actions_for_one_window() {
    let mut limiter =
        RateLimiter::new(RequestBudget { window: 10.0, free: 0.0, earned_per_request: 0.5 }, 0.05);
    assert!(!limiter.allows(0.0, 0.0));
    (0..4).for_each(|n| limiter.request_arrived(f64::from(n)));
    for _ in 0..2 {
        assert!(limiter.allows(4.0, 0.0));
        limiter.action_done(4.0);
    }
    assert!(!limiter.allows(4.0, 0.0) && limiter.used(4.0) == 0.0);
    // The requests have left the window, the actions have not.
    assert!(!limiter.allows(13.9, 0.0) && limiter.used(13.9) == 2.0);
}
