//! Reasons of denials, with and without a position.

use super::*;
use test_case::test_case;

#[test_case("3:7: unknown key", 3, 7, "unknown key"; "line and column")]
#[test_case("3:7: a: b", 3, 7, "a: b"; "a reason with a colon")]
#[test_case("no such profile", 1, 1, "no such profile"; "no position")]
#[test_case("3: no column", 1, 1, "3: no column"; "a line alone")]
#[test_case("0:7: line 0", 1, 1, "0:7: line 0"; "a line that does not exist")]
fn a_denial_has_position_and_reason(denial: &str, line: usize, column: usize, expected: &str) {
    let CommitError::Denied { position, reason } = parse_denial(denial) else { panic!("no denial") };
    assert_eq!((position, reason.as_str()), (Position { line, column }, expected));
}
