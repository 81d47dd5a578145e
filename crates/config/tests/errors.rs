//! Errors in configuration files: all of them are reported at once, each with its position.

#[path = "support/expect.rs"]
mod expect;

use expect::assert_has_error;
use milletpath_config::{WorkerSource, read};
use milletpath_policy::{Idempotency, KeyScope, RequestBudget};
use proptest::prelude::*;
use test_case::test_case;

const VALID: &str = r#"
listen   = "127.0.0.1:0"
gateways = 2
seed     = 5

profile "refill-check" {
  due     = 1.0
  cut_off = 3.0
  effect  = "pure"
}
profile "order" {
  due    = 0.5
  effect = "receipted"
  group  = "zone"
  memory = 60
}
client "clinic" {
  quota   = 44
  ceiling = 60
}
functions {
  lanes  = 2
  memory = 400
}
function "packs-a" { load = 0.7 }
workers {
  drain_grace = 0.5
  kind "std" { memory = 9856 }
  worker "w1" {
    address = "127.0.0.1:9001"
    kind    = "std"
    zone    = "room"
  }
  worker "w2" { address = "127.0.0.1:9002" }
}
limits {
  shots     = 3
  in_flight = 40
  retries {
    window = 5
    free   = 8
    share  = 0.2
  }
  ration {
    window = 10
    free   = 2
    share  = 0.1
  }
}
"#;

#[test]
fn a_valid_file_gives_its_settings() {
    let config = read(VALID).unwrap();
    assert_eq!((config.policy.routers, config.policy.max_attempts, config.policy.seed), (2, 3, 5));
    assert_eq!(
        config.policy.profiles[1].idempotency,
        Idempotency::IdempotentWithKey { scope: KeyScope::Zone, retention: 60.0 }
    );
    assert_eq!(
        config.policy.load_budget,
        Some(RequestBudget { window: 10.0, free: 2.0, earned_per_request: 0.1 })
    );
    assert_eq!((config.policy.quotas[0], config.clients[0].as_str()), (44.0, "clinic"));
    assert_eq!((config.policy.rate_limits[0], config.policy.max_in_flight), (60.0, 40.0));
    // Free retries are configured for the whole fleet; each of the two gateways gets half of them.
    assert_eq!(
        config.policy.retry_budget,
        Some(RequestBudget { window: 5.0, free: 4.0, earned_per_request: 0.2 })
    );
    assert_eq!(
        (config.functions.resolve("packs-a").concurrency, config.functions.resolve("packs-a").load_time),
        (2.0, Some(0.7))
    );
    assert_eq!(config.functions.resolve("another").memory, 400.0);
    assert_eq!((config.limits.drain_grace, config.profiles[1].deadline), (0.5, 1.5));
    let WorkerSource::List(list) = config.source else { panic!("a list") };
    assert_eq!((list[0].kind.as_str(), list[1].kind.as_str()), ("std", ""));
}

/// Each case is one edit of a valid file, and the line, column and text of the resulting error.
#[test_case("shots     = 3", "shotz = 3", 37, 3, "did you mean shots?"; "a misspelt key")]
#[test_case("shots     = 3", "shots = 3.5", 37, 3, "must be a whole number"; "a fractional number of attempts")]
#[test_case("in_flight = 40", "in_flight = 1", 38, 3, "less than one attempt for each of 2"; "fewer attempts than gateways")]
#[test_case("shots     = 3", "shots = -3", 37, 3, "from 1 to 16"; "a negative number")]
#[test_case("due    = 0.5", "", 11, 1, "has no latency_objective"; "no latency objective")]
#[test_case("memory = 60", "", 11, 1, "has no memory"; "an idempotency key without memory")]
#[test_case("\"receipted\"", "\"pure\"", 14, 3, "not receipted"; "a group without an idempotency key")]
#[test_case("cut_off = 3.0", "cut_off = 0.3", 8, 3, "is shorter than its latency objective"; "a deadline shorter than the latency objective")]
#[test_case("127.0.0.1:9002", "127.0.0.1:9001", 34, 17, "address of another"; "two workers with the same address")]
#[test_case("worker \"w2\"", "worker \"w1\"", 34, 3, "more than once"; "a duplicate worker")]
#[test_case("\"std\"\n", "\"fast\"\n", 31, 5, "name of a kind above"; "an unknown kind")]
#[test_case("127.0.0.1:0", "localhost", 2, 1, "listen = \"127.0.0.1:8080\""; "an address without a port")]
#[test_case("drain_grace = 0.5", "registry = \"127.0.0.1:1\"", 27, 3, "both"; "both a list and a registry")]
#[test_case("profile \"order\"", "profile \"or der\"", 11, 1, "needs one label, which is a name"; "a label with a space")]
#[test_case("quota   = 44", "quota = 1e99", 18, 3, "from 0 to"; "a quota out of bounds")]
#[test_case("free   = 2", "free   = [2]", 46, 5, "must be a number"; "a list instead of a number")]
#[test_case("gateways = 2", "gateways = ", 3, 12, "invalid HCL"; "a syntax error")]
fn an_error_is_reported_at_its_position(
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
fn a_rate_limit_without_a_window_gets_a_single_error() {
    let errors = read(&VALID.replacen("    window = 10\n", "", 1)).unwrap_err();
    let messages: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(messages, ["44:3: ration has no window; add window = 10"]);
}

#[test]
fn all_errors_are_reported_in_the_order_of_the_text() {
    let text = VALID
        .replace("seed ", "sead ")
        .replace("due     = 1.0", "due = \"soon\"")
        .replace("lanes ", "lines ");
    let errors = read(&text).unwrap_err();
    assert_eq!(errors.iter().map(|e| e.line).collect::<Vec<_>>(), [4, 7, 22], "{errors:#?}");
}

proptest! {
    /// A file that is truncated or corrupted anywhere is either read or rejected, and never causes a panic.
    #[test]
    fn corrupted_text_never_panics(at in 0..VALID.len(), replacement in ".{0,8}", cut in 0..40usize) {
        let end = (at + cut).min(VALID.len());
        let _ = read(&format!("{}{replacement}{}", &VALID[..at], &VALID[end..]));
    }

    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,200}") {
        let _ = read(&text);
    }
}
