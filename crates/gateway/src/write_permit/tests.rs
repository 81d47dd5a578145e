use super::*;

/// A time that lies so far back that the permission of a decision made then has expired.
fn expired() -> Instant {
    Instant::now()
        .checked_sub(Duration::from_secs_f64(2.0 * STALL_THRESHOLD))
        .expect("the machine runs for longer")
}

/// The permission counts from the decision: what happened between it and the grant uses it up.
#[test]
fn a_permission_counts_from_the_decision() {
    let permit = WritePermit::default();
    permit.grant(expired());
    assert!(permit.check().is_err());
    assert!(permit.was_refused());
    permit.grant(Instant::now());
    assert!(permit.check().is_ok());
}

/// A write that accepted no byte leaves the permission pending, so that the next one is checked as well.
#[test]
fn a_permission_is_used_up_by_the_first_byte_only() {
    let permit = WritePermit::default();
    permit.grant(expired());
    permit.record_write(&Poll::Pending);
    permit.record_write(&Poll::Ready(Ok(0)));
    permit.record_write(&Poll::Ready(Err(io::ErrorKind::Interrupted.into())));
    assert!(permit.check().is_err());
    permit.record_write(&Poll::Ready(Ok(1)));
    assert!(permit.check().is_ok());
}

/// Without a pending permission, writes are not restricted.
#[test]
fn writes_are_free_without_a_permission() {
    let permit = WritePermit::default();
    assert!(permit.check().is_ok());
    assert!(!permit.was_refused());
}
