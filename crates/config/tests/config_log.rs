//! Settings of the configuration log: defaults, names, and the addresses of the control machines.

#[path = "support/expect.rs"]
mod expect;
mod support;

use expect::assert_has_error;
use milletpath_config::read;
use support::{VALID, config};
use test_case::test_case;

#[test]
fn settings_of_the_config_log_have_defaults() {
    let changes = config().config_log.expect("a configured log");
    assert_eq!(changes.control.len(), 3);
    assert_eq!(
        (changes.key_file.to_str(), changes.state_file.to_str()),
        (Some("changes.key"), Some("changes.state"))
    );
    assert_eq!((changes.listen.to_string(), changes.name), ("0.0.0.0:0".into(), "10.1.0.3:8080".into()));
    let ipv6 = VALID.replace("10.0.0.1", "[::1]").replace("10.0.1.1", "[::2]").replace("10.0.2.1", "[::3]");
    assert_eq!(read(&ipv6).unwrap().config_log.unwrap().listen.to_string(), "[::]:0");
    let without = VALID.split("changes {").next().unwrap();
    assert_eq!(read(without).unwrap().config_log, None);
}

/// A configuration log without a name of its own uses the name of the gateway in the membership.
#[test]
fn the_name_of_membership_is_the_default_of_the_config_log() {
    let peers =
        "gateways = 2\npeers {\n  listen = \"10.1.0.3:7400\"\n  name = \"g-3\"\n  key = \"peers.key\"\n}\n";
    let text = format!("{peers}{VALID}");
    assert_eq!(read(&text).unwrap().config_log.unwrap().name, "g-3");
    let with_name = text.replace("changes {", "changes {\n  name = \"other\"");
    assert_eq!(read(&with_name).unwrap().config_log.unwrap().name, "other");
}

#[test_case("\"10.0.1.1:7500\"", "\"10.0.0.1:7500\"", 23, 3, "listed as two"; "a duplicate address")]
#[test_case("\"10.0.1.1:7500\"", "\"10.0.0.1:0\"", 23, 3, "can't be the address of a control"; "no port")]
#[test_case("\"10.0.1.1:7500\"", "\"0.0.0.0:7500\"", 23, 3, "can't be the address of a control"; "an unspecified address")]
#[test_case("\"10.0.1.1:7500\"", "\"[::1]:7500\"", 23, 3, "all by IPv4 or all by IPv6"; "two address families")]
#[test_case("\"10.0.1.1:7500\"", "\"host\"", 23, 3, "has an invalid item"; "a host name")]
#[test_case("[\"10.0.0.1:7500\", \"10.0.1.1:7500\", \"10.0.2.1:7500\"]", "[]", 23, 3, "has 0 control"; "no control machines")]
#[test_case("  key     = \"changes.key\"", "", 22, 1, "has no key"; "no key")]
#[test_case("  key ", "  listen = \"[::]:0\"\n  key ", 24, 3, "can't reach"; "a listen address of another address family")]
#[test_case("\"10.1.0.3:8080\"", "\"0.0.0.0:8080\"", 22, 1, "has no name"; "a wildcard listen address and no name")]
#[test_case("  key ", "  name = \"a b\"\n  key ", 24, 3, "up to 64 letters"; "an invalid name")]
#[test_case("  key ", "  kay = 1\n  key ", 24, 3, "did you mean key?"; "a misspelt key")]
fn an_error_in_the_config_log_is_reported_at_its_position(
    from: &str,
    to: &str,
    line: usize,
    column: usize,
    expected_text: &str,
) {
    assert!(VALID.contains(from));
    let errors = read(&VALID.replacen(from, to, 1)).unwrap_err();
    assert_has_error(&errors, line, column, expected_text);
}

#[test]
fn at_most_seven_control_machines_are_accepted() {
    let addresses: Vec<_> = (1..=8).map(|n| format!("\"10.0.0.{n}:7500\"")).collect();
    let three_addresses = "[\"10.0.0.1:7500\", \"10.0.1.1:7500\", \"10.0.2.1:7500\"]";
    let config_with =
        |n: usize| read(&VALID.replace(three_addresses, &format!("[{}]", addresses[..n].join(", "))));
    assert_eq!(config_with(7).unwrap().config_log.unwrap().control.len(), 7);
    assert!(config_with(8).unwrap_err()[0].to_string().contains("has 8 control machines"));
}
