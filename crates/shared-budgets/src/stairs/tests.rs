use super::*;
use proptest::prelude::*;

#[test]
fn a_lower_promise_counts_once_the_higher_has_ended() {
    let mut stairs = Stairs::default();
    stairs.give(2.0, 5.0);
    stairs.give(3.0, 1.0);
    assert_eq!([1.0, 2.0, 3.0].map(|t| stairs.at(t)), [5.0, 1.0, 0.0]);
    stairs.cap(0.5);
    assert_eq!([1.0, 2.0, 3.0].map(|t| stairs.at(t)), [0.5, 0.5, 0.0]);
    stairs.cap(0.0);
    assert_eq!(stairs, Stairs::default());
}

proptest! {
    /// However many promises come, in whatever order: what was given is never less than the highest that holds, and
    /// what was got never more.
    #[test]
    fn what_was_promised_is_kept(
        all in prop::collection::vec((0.0..10.0f64, 0.0..10.0f64), 0..40),
        at in 0.0..10.0f64,
    ) {
        let (mut given, mut got) = (Stairs::default(), Stairs::default());
        all.iter().for_each(|(end, level)| given.give(*end, *level));
        all.iter().for_each(|(end, level)| got.get(*end, *level));
        let highest = all.iter().filter(|(end, _)| *end > at).map(|(_, l)| *l).fold(0.0, f64::max);
        prop_assert!(given.at(at) >= highest && got.at(at) <= highest);
        // To the letter while there are few enough of them to be told apart.
        if all.len() <= STEPS {
            prop_assert_eq!((given.at(at), got.at(at)), (highest, highest));
        }
    }
}
