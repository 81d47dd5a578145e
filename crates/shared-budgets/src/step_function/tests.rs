use super::*;
use proptest::prelude::*;

#[test]
fn a_lower_step_counts_once_the_higher_has_ended() {
    let mut levels = StepFunction::default();
    levels.add_granted(2.0, 5.0);
    levels.add_granted(3.0, 1.0);
    assert_eq!([1.0, 2.0, 3.0].map(|time| levels.level_at(time)), [5.0, 1.0, 0.0]);
    levels.cap(0.5);
    assert_eq!([1.0, 2.0, 3.0].map(|time| levels.level_at(time)), [0.5, 0.5, 0.0]);
    levels.cap(0.0);
    assert_eq!(levels, StepFunction::default());
}

proptest! {
    /// Holds for any number of leases in any order.
    #[test]
    fn granted_is_never_understated_and_held_never_overstated(
        leases in prop::collection::vec((0.0..10.0f64, 0.0..10.0f64), 0..40),
        time in 0.0..10.0f64,
    ) {
        let (mut granted, mut held) = (StepFunction::default(), StepFunction::default());
        leases.iter().for_each(|(end, level)| granted.add_granted(*end, *level));
        leases.iter().for_each(|(end, level)| held.add_held(*end, *level));
        let highest = leases.iter().filter(|(end, _)| *end > time).map(|(_, level)| *level).fold(0.0, f64::max);
        prop_assert!(granted.level_at(time) >= highest && held.level_at(time) <= highest);
        // The level is exact as long as each lease can have a step of its own.
        if leases.len() <= MAX_STEPS {
            prop_assert_eq!((granted.level_at(time), held.level_at(time)), (highest, highest));
        }
    }
}
