use super::*;

/// A part of the free orders holds until its time and not a moment longer, whoever looks.
#[test]
fn quota_fraction_expires_by_itself() {
    let mut limit = LoadRateLimit::new((10.0, 2.0, 0.0));
    limit.set_quota_fraction(2.0, 0.5, 5.0);
    assert!((0..4).all(|n| limit.try_send(f64::from(n))) && !limit.try_send(4.0));
    assert!(!limit.try_send(12.0));
    assert!(limit.try_send(20.0) && !limit.try_send(20.0));
}

/// So does what was borrowed; what was lent is gone until its time.
#[test]
fn adjustment_expires_by_itself() {
    let mut limit = LoadRateLimit::new((10.0, 2.0, 0.0));
    limit.set_adjustment(1.0, -1.0, 5.0);
    assert!((0..3).all(|n| limit.try_send(f64::from(n))) && !limit.try_send(3.0));
    assert!(!limit.try_send(11.0) && !limit.try_send(11.9));
    assert!(limit.try_send(20.0) && !limit.try_send(20.0));
}
