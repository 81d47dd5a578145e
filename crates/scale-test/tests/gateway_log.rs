//! What is read from the log of a real gateway.

use milletpath_scale_test::children::{applied_number, membership_observation};
use milletpath_scale_test::membership_tracker::ReportedState;
use test_case::test_case;

#[test_case("a gateway joined", "gateway-7", Some((7, ReportedState::Alive)))]
#[test_case("a gateway is declared dead", "gateway-12", Some((12, ReportedState::Dead)))]
#[test_case("a gateway left", "gateway-0", Some((0, ReportedState::Dead)))]
#[test_case("a gateway that was declared dead returned", "gateway-3", Some((3, ReportedState::Alive)))]
#[test_case("a gateway does not answer", "gateway-3", Some((3, ReportedState::Suspected)))]
#[test_case("a gateway joined", "another", None; "of another fleet")]
fn a_line_of_the_log_says_who_is_there(message: &str, name: &str, says: Option<(usize, ReportedState)>) {
    let line = format!(r#"{{"level":"INFO","fields":{{"message":"{message}","name":"{name}"}}}}"#);
    assert_eq!(membership_observation(&line), says);
    assert_eq!(membership_observation(&line[1..]), None, "no JSON");
}

#[test_case("configuration changes are applied", "\"number\":12", Some(12))]
#[test_case("configuration changes are applied", "\"other\":12", None; "no number")]
#[test_case("the last known state is applied", "\"number\":12", None; "of something else")]
fn a_line_of_the_log_says_up_to_which_number_all_is_in_force(
    message: &str,
    field: &str,
    wanted: Option<u64>,
) {
    let line = format!(r#"{{"level":"INFO","fields":{{"message":"{message}",{field}}}}}"#);
    assert_eq!(applied_number(&line), wanted);
    assert_eq!(applied_number(&line[1..]), None, "no JSON");
}
