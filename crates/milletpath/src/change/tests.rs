//! Conversion of positions in statements, and parsing of `--wait`.

use super::*;
use test_case::test_case;

#[test_case((1, 1), (4, 3); "the first character")]
#[test_case((1, 5), (4, 7); "in the first line, behind what stands before the statement")]
#[test_case((2, 5), (5, 5); "in a later line")]
fn a_position_in_a_statement_is_converted(relative: (usize, usize), expected: (usize, usize)) {
    let position = |(line, column)| Position { line, column };
    assert_eq!(position_in_file(position((4, 3)), position(relative)), position(expected));
}

#[test_case("0", Some(0.0); "no wait")]
#[test_case("0.25", Some(0.25); "a fraction")]
#[test_case("86400", Some(86_400.0); "the longest")]
#[test_case("86400.1", None; "too long")]
#[test_case("-1", None; "negative")]
#[test_case("NaN", None; "not a number")]
#[test_case("10s", None; "with a unit")]
fn a_wait_is_a_number_of_seconds_within_bounds(text: &str, seconds: Option<f64>) {
    assert_eq!(parse_wait(text).ok().map(|wait| wait.as_secs_f64()), seconds);
}
