//! Figures of functions that change while the desk runs, and what it does by them.

use super::{EFFECTS, NO_HEALTH_CHECKS, actions, attempts, dispatcher, entry, gateway_config, submit};
use milletpath_config::{ConfigChange, FunctionConfig, GatewayConfig};
use milletpath_dispatcher::dispatcher::Dispatcher;
use milletpath_protocol::registry::Standing;
use test_case::test_case;

fn config_change(config: &GatewayConfig, key: &str, text: Option<&str>) -> ConfigChange {
    config.amendment(key, text).unwrap_or_else(|m| panic!("{m:#?}"))
}

fn apply_change(dispatcher: &mut Dispatcher<u32>, config: &GatewayConfig, key: &str, text: Option<&str>) {
    dispatcher.apply_config_change(&config_change(config, key, text), &config.functions);
}

/// One worker takes as many calls at a time as its instance has lanes by what is in force: two by the
/// charter.
#[test_case(&[], 2; "by the charter")]
#[test_case(&[("function f", Some("function \"f\" { lanes = 3 }"))], 3; "by a change")]
#[test_case(&[("functions", Some("functions { lanes = 1 }"))], 1; "by a change of all")]
#[test_case(&[("functions", Some("functions { lanes = 4 }")), ("function f", Some("function \"f\" {}"))], 4; "of all, its own silent")]
#[test_case(&[("function f", Some("function \"f\" { lanes = 3 }")), ("function f", None)], 2; "taken back")]
fn attempts_in_flight_follow_the_lanes_in_force(changes: &[(&str, Option<&str>)], lanes: usize) {
    let config = gateway_config(EFFECTS[0], NO_HEALTH_CHECKS);
    let mut dispatcher = dispatcher(EFFECTS[0], NO_HEALTH_CHECKS, 1);
    changes.iter().for_each(|(key, text)| apply_change(&mut dispatcher, &config, key, *text));
    for _ in 0..6 {
        submit(&mut dispatcher, 1.0, 2.0);
    }
    assert_eq!(attempts(&actions(&mut dispatcher)).len(), lanes);
}

/// A call in hand keeps what it came with; the next goes by what is in force by then.
#[test]
fn config_change_applies_to_later_requests() {
    let config = gateway_config(EFFECTS[0], NO_HEALTH_CHECKS);
    let mut dispatcher = dispatcher(EFFECTS[0], NO_HEALTH_CHECKS, 1);
    apply_change(&mut dispatcher, &config, "function f", Some("function \"f\" { lanes = 1 }"));
    submit(&mut dispatcher, 1.0, 2.0);
    submit(&mut dispatcher, 1.0, 2.0);
    assert_eq!(attempts(&actions(&mut dispatcher)).len(), 1);
    apply_change(&mut dispatcher, &config, "function f", Some("function \"f\" { lanes = 3 }"));
    assert_eq!(actions(&mut dispatcher), [], "a change alone sends nothing");
    submit(&mut dispatcher, 1.001, 2.0);
    let in_flight = attempts(&actions(&mut dispatcher)).len();
    assert!((1..=2).contains(&in_flight), "{in_flight}");
}

/// The decisions broke and begin anew: what changes said is in force as it was.
#[test]
fn config_changes_survive_a_restart() {
    let config = gateway_config(EFFECTS[0], NO_HEALTH_CHECKS);
    let mut dispatcher = dispatcher(EFFECTS[0], NO_HEALTH_CHECKS, 1);
    apply_change(&mut dispatcher, &config, "function f", Some("function \"f\" { lanes = 3 }"));
    apply_change(&mut dispatcher, &config, "functions", Some("functions { memory = 77 }"));
    assert_eq!(dispatcher.restart(&config, 5.0), []);
    let of = FunctionConfig { lanes: 3.0, memory: 77.0, load: None, profile: None };
    assert_eq!(
        (dispatcher.function_config("f"), dispatcher.function_config("g")),
        (of, FunctionConfig { lanes: 1.0, ..of })
    );
    dispatcher.update_endpoints(5.0, true, &[entry(0, Standing::Ready, None)]);
    actions(&mut dispatcher);
    for _ in 0..6 {
        submit(&mut dispatcher, 6.0, 2.0);
    }
    assert_eq!(attempts(&actions(&mut dispatcher)).len(), 3);
    apply_change(&mut dispatcher, &config, "functions", None);
    apply_change(&mut dispatcher, &config, "function f", None);
    assert_eq!(dispatcher.function_config("f"), config.functions.of("f"));
}
