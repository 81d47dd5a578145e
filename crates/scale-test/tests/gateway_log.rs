//! Parsing of the log lines of a real gateway.

use milletpath_scale_test::children::{LoggedObservation, applied_number, membership_observation};
use milletpath_scale_test::membership_tracker::ReportedState;
use test_case::test_case;

fn observation(subject: usize, state: ReportedState) -> LoggedObservation {
    LoggedObservation { subject, state }
}

#[test_case("a gateway joined", "gateway-7", Some(observation(7, ReportedState::Alive)))]
#[test_case("a gateway is declared dead", "gateway-12", Some(observation(12, ReportedState::Dead)))]
#[test_case("a gateway left", "gateway-0", Some(observation(0, ReportedState::Dead)))]
#[test_case(
    "a gateway that was declared dead returned",
    "gateway-3",
    Some(observation(3, ReportedState::Alive))
)]
#[test_case("a gateway does not answer", "gateway-3", Some(observation(3, ReportedState::Suspected)))]
#[test_case("a gateway joined", "another", None; "of another fleet")]
fn a_line_of_the_log_reports_the_state_of_another_gateway(
    message: &str,
    name: &str,
    expected: Option<LoggedObservation>,
) {
    let line = format!(r#"{{"level":"INFO","fields":{{"message":"{message}","name":"{name}"}}}}"#);
    assert_eq!(membership_observation(&line), expected);
    assert_eq!(membership_observation(&line[1..]), None, "no JSON");
}

#[test_case("configuration changes are applied", "\"number\":12", Some(12))]
#[test_case("configuration changes are applied", "\"other\":12", None; "no number")]
#[test_case("the last known state is applied", "\"number\":12", None; "of something else")]
fn a_line_of_the_log_reports_the_number_that_is_applied(message: &str, field: &str, expected: Option<u64>) {
    let line = format!(r#"{{"level":"INFO","fields":{{"message":"{message}",{field}}}}}"#);
    assert_eq!(applied_number(&line), expected);
    assert_eq!(applied_number(&line[1..]), None, "no JSON");
}
