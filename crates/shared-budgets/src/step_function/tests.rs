use super::*;
use proptest::prelude::*;

#[test]
fn a_lower_step_counts_once_the_higher_has_ended() {
    let mut levels = StepFunction::default();
    levels.add_granted(2.0, 5.0);
    levels.add_granted(3.0, 1.0);
    assert_eq!([1.0, 2.0, 3.0].map(|t| levels.level_at(t)), [5.0, 1.0, 0.0]);
    levels.cap(0.5);
    assert_eq!([1.0, 2.0, 3.0].map(|t| levels.level_at(t)), [0.5, 0.5, 0.0]);
    levels.cap(0.0);
    assert_eq!(levels, StepFunction::default());
}

proptest! {
    /// However many promises come, in whatever order: what was given is never less than the highest that holds, and
    /// what was got never more.
    #[test]
    fn granted_is_never_understated_and_held_never_overstated(
        all in prop::collection::vec((0.0..10.0f64, 0.0..10.0f64), 0..40),
        time in 0.0..10.0f64,
    ) {
        let (mut granted, mut held) = (StepFunction::default(), StepFunction::default());
        all.iter().for_each(|(until, level)| granted.add_granted(*until, *level));
        all.iter().for_each(|(until, level)| held.add_held(*until, *level));
        let highest = all.iter().filter(|(until, _)| *until > time).map(|(_, l)| *l).fold(0.0, f64::max);
        prop_assert!(granted.level_at(time) >= highest && held.level_at(time) <= highest);
        // To the letter while there are few enough of them to be told apart.
        if all.len() <= MAX_STEPS {
            prop_assert_eq!((granted.level_at(time), held.level_at(time)), (highest, highest));
        }
    }
}
