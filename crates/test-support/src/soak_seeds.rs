//! Seeds of a soak test that is run by hand.

use std::ops::RangeInclusive;

/// Seeds that are played where the variable is not set.
const DEFAULT: &str = "1..3";

/// The seeds that an environment variable names: a range such as `1..50`, both ends included, or a single number. Panics
/// if it names something else.
pub fn seeds_from_environment(variable: &str) -> RangeInclusive<u64> {
    let text = std::env::var(variable).unwrap_or_else(|_| DEFAULT.to_owned());
    let (first, last) = text.split_once("..").unwrap_or((&text, &text));
    let number = |text: &str| {
        text.trim().parse::<u64>().unwrap_or_else(|_| panic!("{variable} is FIRST..LAST or one seed"))
    };
    number(first)..=number(last)
}
