//! Progress and errors of a rollout, derived from the reports of control machines.

use super::*;
use milletpath_config_log::message::ApplyError;

/// Number of the change that is rolled out.
const NUMBER: u64 = 7;

fn gateway(name: &str, number: u64, state: GatewayState) -> GatewayStatus {
    GatewayStatus { name: name.into(), number, seconds_since_contact: 0.0, state, apply_error: None }
}

fn refusing(name: &str, error_number: u64) -> GatewayStatus {
    let apply_error = Some(ApplyError { number: error_number, reason: "unknown profile".into() });
    GatewayStatus { apply_error, ..gateway(name, NUMBER, GatewayState::Refusing) }
}

/// A rollout as of an overview without any control machine that answers, so that gateways may be missing.
fn rollout(gateways: Vec<GatewayStatus>) -> Rollout {
    let overview = ControlOverview {
        head: NUMBER,
        digest: String::new(),
        confirmed_age: None,
        control: Vec::new(),
        gateways,
    };
    Rollout { overview, number: NUMBER }
}

#[test]
fn silent_gateways_do_not_count() {
    let gateways = vec![
        gateway("current", NUMBER, GatewayState::Current),
        gateway("behind", NUMBER - 1, GatewayState::Behind),
        gateway("silent", NUMBER - 1, GatewayState::Silent),
        refusing("refusing", NUMBER),
        refusing("refusing-an-earlier-one", NUMBER - 1),
    ];
    let rollout = rollout(gateways);
    assert!(rollout.progress() == Progress { in_force: 2, reachable: 4 });
    assert!(!rollout.has_reached_all());
    assert_eq!(
        rollout.error().to_string(),
        "refusing could not apply it: unknown profile\nbehind is at number 6\n\
         not all control machines answer, or some have just started: there may be more gateways"
    );
}

#[test]
fn a_change_without_reachable_gateways_is_in_force_nowhere() {
    let rollout = rollout(vec![gateway("silent", NUMBER, GatewayState::Silent)]);
    assert!(!rollout.has_reached_all());
    assert_eq!(rollout.error().to_string(), "no gateway is reachable from the control machines that answer");
}
