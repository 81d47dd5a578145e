//! Tests for reading the bootstrap file: a valid file yields the configuration, and the error for an invalid one names
//! the field.

use milletpath_platform_protocol::bootstrap;
use serde_json::{Value, json};
use test_case::test_case;

fn valid() -> Value {
    json!({
        "listen": "127.0.0.1:8080", "bulletin": "127.0.0.1:9000", "seed": "1f",
        "limits": {"memory_mb": 64, "sockets": 500},
        "known": {"no": 41, "items": [
            {"no": 40, "roster": {"complete": true, "members": [
                {"id": "w1", "phase": "active", "host_port": "10.0.0.7:9001"},
                {"id": "w2", "phase": "active", "host_port": "10.0.0.8:9001"}]}},
            {"no": 41, "roster": {"members": [{"id": "w2", "phase": "left"}]}},
            {"no": 41}]},
        "settings": {
            "Balancers": 2, "Tick": 1000, "Kinds": ["small"], "Tenants": [{"Name": "acme", "QuotaPerS": 44}],
            "Classes": [{"Name": "p", "Effect": "free", "Objective": 500000, "HardLimit": 1500000, "Gain": 4}],
            "Limits": {"MaxAttempts": 4, "ConnectTimeout": 250000, "Keepalive": 30000000, "OpenCap": 1e6,
                "StreamsPerConn": 8},
            "Telemetry": {"Names": ["rif"]},
            "Rules": {"StartCapacity": 0.2, "WarmUp": 15000000, "TipMultiple": 2.5, "OverloadFor": 1000000,
                "DrainGrace": 500000}}
    })
}

/// Returns the valid file with the value at `path` replaced.
fn changed(path: &str, value: Value) -> Vec<u8> {
    let mut file = valid();
    *file.pointer_mut(path).expect("the path exists") = value;
    file.to_string().into_bytes()
}

#[test]
fn a_valid_file_gives_the_configuration() {
    let read = bootstrap::read(valid().to_string().as_bytes()).expect("valid");
    assert_eq!((read.discovery.port(), read.last_event, read.descriptors), (9000, 41, 500));
    assert_eq!((read.memory_bytes, read.streams_per_connection, read.load_reports), (64_000_000, 8, true));
    let lists: Vec<_> = read.worker_lists.iter().map(|list| (list.complete, list.entries.len())).collect();
    assert_eq!(lists, [(true, 2), (false, 1)]);
    let config = read.config;
    assert_eq!((config.listen.port(), config.policy.seed, config.policy.routers), (8080, 0x1f, 2));
    let profile = &config.profiles[0];
    assert_eq!((profile.name.as_str(), profile.deadline, profile.importance), ("p", 1.5, 4.0));
    assert_eq!((config.clients, config.worker_kinds), (vec!["acme".into()], vec!["small".into()]));
    let limits = config.limits;
    assert_eq!(
        (limits.connect_timeout, limits.health_check_timeout, limits.idle_timeout),
        (0.25, 0.25, 30.0)
    );
    // Capped at 20,000 whatever the settings say, because more open requests would exhaust memory.
    assert_eq!((limits.drain_grace, limits.max_open_requests, limits.cores), (0.5, 20_000, 1));
}

#[test]
fn missing_limits_default_to_the_minimum_that_the_platform_grants() {
    let read = bootstrap::read(&changed("/limits", Value::Null)).expect("valid");
    assert_eq!((read.memory_bytes, read.descriptors), (32_000_000, 256));
}

#[test_case("/listen", json!("localhost"), "listen: is missing or not an address with a port"; "no port")]
#[test_case("/bulletin", Value::Null, "bulletin: is missing or not an address with a port"; "no discovery address")]
#[test_case("/seed", json!("xyz"), "seed: is missing or not a hexadecimal number"; "an invalid seed")]
#[test_case("/known/no", json!(-1), "known.no: is not a non-negative integer"; "a negative event number")]
#[test_case("/known/items/0/roster/members/1/phase", json!("gone"),
    "members[1].phase: is missing or invalid"; "an unknown state of a worker")]
#[test_case("/settings/Classes/0/HardLimit", Value::Null,
    "settings: the setting HardLimit is missing or senseless"; "no deadline")]
#[test_case("/settings/Rules/DrainGrace", json!("soon"),
    "settings: the setting Rules.DrainGrace is missing or senseless"; "a time that is not a number")]
fn an_invalid_file_is_rejected_with_its_field(path: &str, value: Value, message: &str) {
    let error = bootstrap::read(&changed(path, value)).expect_err("invalid");
    assert_eq!(error.to_string(), message);
}
