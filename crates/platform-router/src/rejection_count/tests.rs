use super::*;

#[test]
fn rejections_are_logged_at_a_limited_rate() {
    let mut rejections = RejectionCount::new();
    assert_eq!(rejections.take_due(1.0), None);
    rejections.record();
    assert_eq!(rejections.take_due(1.0), Some(1));
    rejections.record();
    rejections.record();
    assert_eq!((rejections.take_due(10.9), rejections.take_due(11.0)), (None, Some(2)));
}
