use super::*;

fn at(seconds: f64, processor_seconds: f64) -> Elapsed {
    Elapsed { seconds, processor_seconds }
}

/// A loop that spins is told from one that lacks processor time by the processor time of the stall.
#[test]
fn a_stall_is_reported_with_its_processor_time_and_less_often_the_longer_it_is() {
    let mut detector = StallDetector::new(at(0.0, 0.0));
    assert_eq!(detector.observe(1, at(0.5, 0.1)), None);
    assert_eq!(detector.observe(1, at(1.0, 0.6)), None);
    assert_eq!(detector.observe(1, at(1.5, 1.1)), Some(Report::Stalled(at(1.0, 1.0))));
    assert_eq!(detector.observe(1, at(2.0, 1.6)), None);
    assert_eq!(detector.observe(1, at(2.5, 2.1)), Some(Report::Stalled(at(2.0, 2.0))));
    assert_eq!(detector.observe(2, at(3.0, 2.6)), Some(Report::Resumed(at(2.5, 2.5))));
    assert_eq!(detector.observe(3, at(3.5, 2.7)), None);
}
