use super::*;

/// A part of the free orders holds until its time and not a moment longer, whoever looks.
#[test]
fn a_part_ends_by_itself() {
    let mut ration = LoadRateLimit::new((10.0, 2.0, 0.0));
    ration.share([2.0, 0.5], 5.0);
    assert!((0..4).all(|n| ration.send(f64::from(n))) && !ration.send(4.0));
    assert!(!ration.send(12.0));
    assert!(ration.send(20.0) && !ration.send(20.0));
}

/// So does what was borrowed; what was lent is gone until its time.
#[test]
fn what_is_allotted_ends_by_itself() {
    let mut ration = LoadRateLimit::new((10.0, 2.0, 0.0));
    ration.allot([1.0, -1.0], 5.0);
    assert!((0..3).all(|n| ration.send(f64::from(n))) && !ration.send(3.0));
    assert!(!ration.send(11.0) && !ration.send(11.9));
    assert!(ration.send(20.0) && !ration.send(20.0));
}
