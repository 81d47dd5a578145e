//! Changes of function configuration at runtime.

use super::support::*;
use milletpath_config::{FunctionConfig, GatewayConfig};
use milletpath_dispatcher::dispatcher::Dispatcher;
use test_case::test_case;

fn config() -> GatewayConfig {
    gateway_config(Effect::Idempotent.setting(), ATTEMPTS_ONLY)
}

fn apply_change(dispatcher: &mut Dispatcher<u32>, key: &str, text: Option<&str>) {
    let config = config();
    let change = config.parse_change(key, text).unwrap_or_else(|errors| panic!("{errors:#?}"));
    dispatcher.apply_config_change(&change, &config.functions);
}

/// An instance executes as many requests concurrently as it has lanes in the effective configuration; the initial
/// configuration has two.
#[test_case(&[], 2; "initially")]
#[test_case(&[("function f", Some("function \"f\" { lanes = 3 }"))], 3; "changed for the function")]
#[test_case(&[("functions", Some("functions { lanes = 1 }"))], 1; "changed for all functions")]
#[test_case(&[("functions", Some("functions { lanes = 4 }")), ("function f", Some("function \"f\" {}"))], 4; "changed for all functions and not set for the function")]
#[test_case(&[("function f", Some("function \"f\" { lanes = 3 }")), ("function f", None)], 2; "change removed")]
fn attempts_in_flight_follow_the_lanes_in_force(changes: &[(&str, Option<&str>)], lanes: usize) {
    let mut dispatcher = dispatcher(Effect::Idempotent, 1);
    for (key, text) in changes {
        apply_change(&mut dispatcher, key, *text);
    }
    for _ in 0..6 {
        submit(&mut dispatcher, 1.0, 2.0);
    }
    assert_eq!(take_attempts(&mut dispatcher).len(), lanes);
}

/// A request in flight keeps the configuration with which it arrived; later requests use the new one.
#[test]
fn config_change_applies_to_later_requests() {
    let mut dispatcher = dispatcher(Effect::Idempotent, 1);
    apply_change(&mut dispatcher, "function f", Some("function \"f\" { lanes = 1 }"));
    submit(&mut dispatcher, 1.0, 2.0);
    submit(&mut dispatcher, 1.0, 2.0);
    assert_eq!(take_attempts(&mut dispatcher).len(), 1);
    apply_change(&mut dispatcher, "function f", Some("function \"f\" { lanes = 3 }"));
    assert_eq!(take_actions(&mut dispatcher), [], "a configuration change alone must send nothing");
    submit(&mut dispatcher, 1.001, 2.0);
    let sent = take_attempts(&mut dispatcher).len();
    assert!((1..=2).contains(&sent), "{sent}");
}

/// Configuration changes stay in effect after a restart.
#[test]
fn config_changes_survive_a_restart() {
    let mut dispatcher = dispatcher(Effect::Idempotent, 1);
    apply_change(&mut dispatcher, "function f", Some("function \"f\" { lanes = 3 }"));
    apply_change(&mut dispatcher, "functions", Some("functions { memory = 77 }"));
    assert_eq!(dispatcher.restart(&config(), 5.0), []);
    let changed = FunctionConfig { concurrency: 3.0, memory: 77.0, load_time: None, profile: None };
    assert_eq!(dispatcher.function_config("f"), changed);
    assert_eq!(dispatcher.function_config("g"), FunctionConfig { concurrency: 1.0, ..changed });
    dispatcher.update_endpoints(5.0, true, &ready_entries(1));
    take_actions(&mut dispatcher);
    for _ in 0..6 {
        submit(&mut dispatcher, 6.0, 2.0);
    }
    assert_eq!(take_attempts(&mut dispatcher).len(), 3);
    apply_change(&mut dispatcher, "functions", None);
    apply_change(&mut dispatcher, "function f", None);
    assert_eq!(dispatcher.function_config("f"), config().functions.resolve("f"));
}
