use super::*;

/// A limit of two free load requests in any window of ten seconds.
fn two_in_ten_seconds() -> LoadRateLimit {
    LoadRateLimit::new(RequestBudget { window: 10.0, free: 2.0, earned_per_request: 0.0 })
}

/// The fraction changes exactly at its expiry, without another call to set it.
#[test]
fn quota_fraction_expires_by_itself() {
    let mut limit = two_in_ten_seconds();
    limit.set_quota_fraction(2.0, 0.5, 5.0);
    assert!((0..4).all(|n| limit.try_send(f64::from(n))) && !limit.try_send(4.0));
    assert!(!limit.try_send(12.0));
    assert!(limit.try_send(20.0) && !limit.try_send(20.0));
}

/// The adjustment changes exactly at its expiry: what was held on lease ends, while what was leased to others still
/// reduces the limit.
#[test]
fn adjustment_expires_by_itself() {
    let mut limit = two_in_ten_seconds();
    limit.set_adjustment(1.0, -1.0, 5.0);
    assert!((0..3).all(|n| limit.try_send(f64::from(n))) && !limit.try_send(3.0));
    assert!(!limit.try_send(11.0) && !limit.try_send(11.9));
    assert!(limit.try_send(20.0) && !limit.try_send(20.0));
}
