//! Configuration texts of gateways and control machines.

use super::{control_text, gateway_name, gateway_number, gateway_text, hollow_gateway_config, parse};
use crate::host_protocol::AddressMap;
use crate::plan::{Plan, read};
use milletpath_config::WorkerSource;
use std::net::SocketAddr;
use test_case::test_case;

fn plan() -> Plan {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../plans/size-small.hcl");
    let text = std::fs::read_to_string(path).expect("the plan is in the repository");
    read(&text, None).unwrap_or_else(|errors| panic!("{errors:?}"))
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn addresses(plan: &Plan) -> AddressMap {
    AddressMap {
        gateways: (0..plan.gateways as u16).map(|gateway| loopback(1_000 + gateway)).collect(),
        control_machines: (0..plan.control_machines as u16)
            .map(|machine| loopback(2_000 + machine))
            .collect(),
        folder: "/run".into(),
    }
}

#[test_case("gateway-0", Some(0))]
#[test_case("gateway-1099", Some(1099))]
#[test_case("gateway-", None; "no number")]
#[test_case("another", None; "of another fleet")]
fn a_name_contains_the_number(name: &str, number: Option<usize>) {
    assert_eq!(gateway_number(name), number);
    if let Some(number) = number {
        assert_eq!(gateway_name(number), name);
    }
}

#[test]
fn a_real_gateway_has_the_parameters_of_the_plan() {
    let plan = plan();
    let text = gateway_text(&plan, 7, &addresses(&plan), &[loopback(3_000)]);
    let config = parse(&text).unwrap_or_else(|e| panic!("{e}\n{text}"));
    let membership = config.membership.expect("the plan has membership");
    assert_eq!((membership.period, membership.lease), (plan.membership.period, plan.membership.lease));
    assert_eq!(membership.name, "gateway-7");
    let config_log = config.config_log.expect("the plan has configuration changes");
    assert_eq!(config_log.control.len(), plan.control_machines);
}

#[test]
fn a_hollow_gateway_has_an_empty_endpoint_list() {
    let plan = plan();
    let config = hollow_gateway_config(&plan, 3, &addresses(&plan)).unwrap_or_else(|e| panic!("{e}"));
    assert!(matches!(config.source, WorkerSource::List(endpoints) if endpoints.is_empty()));
}

#[test]
fn a_control_machine_has_the_addresses_of_all() {
    let plan = plan();
    let addresses = addresses(&plan);
    let text = control_text(&addresses.control_machines, &addresses);
    let config = parse(&text).unwrap_or_else(|e| panic!("{e}\n{text}"));
    assert_eq!(config.config_log.expect("a section changes").control, addresses.control_machines);
}

#[test]
fn the_errors_of_an_invalid_text_are_all_reported() {
    let error = parse("listen = 3\nunknown = 4\n").expect_err("it is not valid").to_string();
    assert!(error.starts_with("the configuration is not valid; "), "{error}");
    assert!(error.contains("unknown"), "{error}");
}
