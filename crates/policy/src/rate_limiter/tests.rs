use super::*;

/// Two ten seconds apart, the first of which was done late: the second waits for the window.
#[test]
fn an_action_counts_from_when_it_was_done() {
    let mut ration = Ration::new((10.0, 1.0, 0.0), 0.05);
    assert!(ration.may(0.2, 1.0));
    ration.done(0.2);
    assert!(!ration.may(10.01, 1.0) && !ration.may(10.24, 1.0) && ration.may(10.26, 1.0));
}

#[test]
fn requests_earn_actions_for_one_window() {
    let mut ration = Ration::new((10.0, 0.0, 0.5), 0.05);
    assert!(!ration.may(0.0, 0.0));
    (0..4).for_each(|n| ration.take(f64::from(n)));
    for _ in 0..2 {
        assert!(ration.may(4.0, 0.0));
        ration.done(4.0);
    }
    assert!(!ration.may(4.0, 0.0) && ration.used(4.0) == 0.0);
    // The activations have left the window before what was done has.
    assert!(!ration.may(13.9, 0.0) && ration.used(13.9) == 2.0);
}
