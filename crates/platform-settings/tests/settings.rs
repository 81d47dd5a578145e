//! Tests for the platform's settings: a valid object yields its values, and the error for a missing or invalid setting
//! names its path.

use milletpath_platform_settings::{self as platform_settings, ProfileSettings};
use milletpath_policy::{Idempotency, KeyScope, LoadReport, RequestBudget, SizeMeaning};
use serde_json::Value;
use test_case::test_case;

const VALID: &str = r#"{
    "Balancers": 3, "Tick": 1000, "RegistryMode": "subscribe", "OverShareWorth": 0.25, "Kinds": ["small", "large"],
    "Classes": [
        {"Name": "check", "Effect": "free", "Objective": 1000000, "HardLimit": 3000000, "Gain": 4},
        {"Name": "order", "Effect": "guarded", "KeyScope": "zone", "DedupWindow": 60000000, "Objective": 500000,
            "HardLimit": 1500000},
        {"Name": "pay", "Effect": "single_shot", "Objective": 500000, "HardLimit": 1500000}
    ],
    "Tenants": [{"Name": "acme", "QuotaPerS": 44}, {"Name": "other"}],
    "Limits": {"MaxAttempts": 4, "Cancelling": true, "Probing": true, "RetryAfter": true, "MaxRetryAfter": 2000000,
        "ConnectTimeout": 250000, "OpenCap": 500, "StreamsPerConn": 0},
    "FamilyInfo": {"PlacementCalls": true, "MissMode": "miss", "KeepAlive": 10000000, "LoadPeriod": 10000000,
        "FreeLoads": 2, "LoadShare": 0.1, "MemoryMbByKind": [4096, 8192]},
    "Telemetry": {"Via": "answers", "Names": ["rif", "q"]},
    "Rules": {"StartCapacity": 0.2, "WarmUp": 15000000, "TipMultiple": 2.5, "OverloadFor": 1000000,
        "DrainGrace": 500000}
}"#;

fn valid() -> Value {
    platform_settings::parse(VALID.as_bytes()).expect("valid JSON")
}

/// Returns the valid settings with the value at `path` replaced, or removed if `value` is `None`.
fn changed(path: &str, value: Option<&str>) -> Value {
    let mut settings = valid();
    let (object, key) = path.rsplit_once('/').expect("a path");
    let object = settings.pointer_mut(object).and_then(Value::as_object_mut).expect("the object exists");
    match value {
        Some(value) => object.insert(key.into(), serde_json::from_str(value).expect("JSON")),
        None => object.remove(key),
    };
    settings
}

/// `Weights` tells what the sizes of workers state.
#[test_case(None, SizeMeaning::Capacity; "not stated")]
#[test_case(Some(r#""off""#), SizeMeaning::Capacity; "all alike")]
#[test_case(Some(r#""nominal""#), SizeMeaning::Capacity; "as registered")]
#[test_case(Some(r#""rough""#), SizeMeaning::Capacity; "approximate")]
#[test_case(Some(r#""live""#), SizeMeaning::FreeCapacity; "what the load leaves")]
fn the_meaning_of_sizes_is_read(weights: Option<&str>, expected: SizeMeaning) {
    let config = platform_settings::policy_config(&changed("/Weights", weights), 9).expect("valid");
    assert_eq!(config.size_meaning, expected);
}

#[test]
fn valid_settings_yield_the_policy_configuration() {
    let config = platform_settings::policy_config(&valid(), 9).expect("valid");
    assert_eq!((config.seed, config.routers, config.max_attempts, config.clock_resolution), (9, 3, 4, 0.001));
    assert_eq!(config.profiles[0].idempotency, Idempotency::Idempotent);
    assert_eq!(
        config.profiles[1].idempotency,
        Idempotency::IdempotentWithKey { scope: KeyScope::Zone, retention: 60.0 }
    );
    assert_eq!(
        (config.profiles[2].idempotency, config.profiles[2].latency_objective),
        (Idempotency::NonIdempotent, 0.5)
    );
    assert_eq!(config.quotas, [44.0, f64::INFINITY]);
    assert_eq!(
        (config.load_budget, config.retry_budget),
        (Some(RequestBudget { window: 10.0, free: 2.0, earned_per_request: 0.1 }), None)
    );
    assert_eq!(
        (config.max_retry_after, config.keep_alive, config.load_request_timeout),
        (Some(2.0), 10.0, f64::INFINITY)
    );
    assert_eq!((config.memory, config.over_quota_weight), (vec![4096.0, 8192.0], 0.25));
    assert!(
        config.can_cancel
            && config.can_request_loads
            && config.reports_missing_functions
            && config.watches_on_request
            && config.can_check_health
            && config.health_checks_report_load
    );
}

#[test]
fn valid_settings_yield_names_and_limits() {
    let settings = valid();
    let profiles = platform_settings::profile_settings(&settings).expect("valid");
    let check = ProfileSettings { name: "check".into(), deadline: 3.0, importance: 4.0 };
    assert_eq!((profiles.len(), &profiles[0], profiles[1].importance), (3, &check, 1.0));
    assert_eq!(platform_settings::client_groups(&settings), ["acme", "other"]);
    assert_eq!(platform_settings::worker_kinds(&settings), ["small", "large"]);
    assert_eq!(platform_settings::load_report_names(&settings), ["rif", "q"]);
    assert_eq!(platform_settings::time_limit(&settings, "ConnectTimeout").ok(), Some(0.25));
    assert_eq!(platform_settings::drain_grace(&settings).ok(), Some(0.5));
    assert_eq!(platform_settings::count_limit(&settings, "OpenCap", 7), 500);
    assert_eq!(platform_settings::count_limit(&settings, "StreamsPerConn", 7), 7);
}

#[test_case("/Balancers", None, "Balancers"; "a missing number of routers")]
#[test_case("/Balancers", Some("0"), "Balancers"; "a router count of zero")]
#[test_case("/Classes", Some("7"), "Classes"; "classes that are not a list")]
#[test_case("/Classes/1/KeyScope", None, "Classes[1].KeyScope"; "a key without a scope")]
#[test_case("/Classes/1/DedupWindow", Some("-1"), "Classes[1].DedupWindow"; "a negative window")]
#[test_case("/Classes/2/Effect", Some("\"odd\""), "Classes[2].Effect"; "an unknown effect")]
#[test_case("/Classes/0/Objective", Some("\"soon\""), "Classes[0].Objective"; "an objective that is not a number")]
#[test_case("/Limits/MaxAttempts", None, "Limits.MaxAttempts"; "a missing number of attempts")]
#[test_case("/Rules/WarmUp", None, "Rules.WarmUp"; "a missing warm-up time")]
fn an_invalid_policy_setting_is_named(path: &str, value: Option<&str>, setting: &str) {
    let error = platform_settings::policy_config(&changed(path, value), 9).expect_err("invalid");
    assert_eq!(error.to_string(), format!("the setting {setting} is missing or senseless"));
}

#[test_case("/Classes/1/Name", "Classes[1].Name"; "a profile without a name")]
#[test_case("/Classes/1/HardLimit", "HardLimit"; "a profile without a deadline")]
fn an_invalid_profile_setting_is_named(path: &str, setting: &str) {
    let error = platform_settings::profile_settings(&changed(path, None)).expect_err("invalid");
    assert_eq!(error.to_string(), format!("the setting {setting} is missing or senseless"));
}

#[test]
fn invalid_json_is_rejected_with_its_position() {
    let error = platform_settings::parse(b"{\n  oops").expect_err("invalid JSON");
    assert!(error.to_string().starts_with("the settings are no JSON: "), "{error}");
    assert!(error.to_string().contains("line 2 column 3"), "{error}");
}

#[test]
fn unknown_and_infinite_values_of_a_load_report_are_ignored() {
    let mut report = LoadReport::default();
    for (name, value) in [("rif", 2.0), ("q", f64::INFINITY), ("x0", 0.5), ("other", 9.0)] {
        platform_settings::set_report_value(&mut report, name, value);
    }
    assert_eq!((report.in_flight, report.queued, report.memory), (Some(2.0), None, Some(0.5)));
}
