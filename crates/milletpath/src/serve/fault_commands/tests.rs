//! Parsing of valid and invalid fault commands.

use super::*;
use test_case::test_case;

#[test_case("0 stall 0.5", 0, FaultInjection::Stall(0.5); "stall")]
#[test_case(" 3  stall  60 ", 3, FaultInjection::Stall(60.0); "the longest stall")]
#[test_case("1 panic", 1, FaultInjection::Panic; "panic")]
#[test_case("2 break 9", 2, FaultInjection::DispatcherPanic; "dispatcher panic with an argument")]
fn a_line_names_core_and_fault(line: &str, core: usize, fault: FaultInjection) {
    assert_eq!(line.parse(), Ok(FaultCommand { core, fault }));
}

#[test_case("", FaultCommandError::InvalidCore; "empty")]
#[test_case("panic", FaultCommandError::InvalidCore; "no core")]
#[test_case("-1 panic", FaultCommandError::InvalidCore; "a core below 0")]
#[test_case("0 sleep", FaultCommandError::InvalidFault; "an unknown fault")]
#[test_case("0 stall", FaultCommandError::InvalidFault; "a stall without seconds")]
#[test_case("0 stall 60.1", FaultCommandError::InvalidFault; "a stall that is too long")]
#[test_case("0 stall NaN", FaultCommandError::InvalidFault; "a stall that is not a number")]
fn a_malformed_line_is_an_error(line: &str, error: FaultCommandError) {
    assert_eq!(line.parse::<FaultCommand>(), Err(error));
}
