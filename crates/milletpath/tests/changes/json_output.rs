//! The JSON output of `milletpath changes`, which operators' scripts parse.

use milletpath_test_support::control_rig::Installation;
use milletpath_test_support::json_fields::field_paths;

/// The fixtures are the output of an earlier version.
#[test]
fn changes_json_keeps_its_fields() {
    let here = include_str!("../fixtures/status/here.json");
    let status: milletpath_gateway::ConfigStatus =
        serde_json::from_str(here).expect("the fixture has the current format");
    assert_eq!(serde_json::to_string(&status).unwrap(), here);
    let changes = include_str!("../fixtures/status/changes.json");
    let parsed = |text| field_paths(&serde_json::from_str(text).expect("valid JSON"));
    let installation = Installation::running(1, 1);
    assert_eq!(field_paths(&installation.status()), parsed(changes));
    assert_eq!(field_paths(&installation.gateway_status(0)), parsed(here));
}
