//! Tests that the codecs read back what they write, and that arbitrary input yields a value or an error, never a panic.

use http::{HeaderMap, HeaderValue, Method};
use milletpath_protocol::registry::{EndpointEntry, EndpointListUpdate, EndpointStatus};
use milletpath_protocol::{invoke, is_name, orca, registry, worker};
use proptest::prelude::*;
use test_case::test_case;

fn names() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9._~:-]{1,40}".prop_filter("not only dots", |n| is_name(n))
}

fn entries() -> impl Strategy<Value = EndpointEntry> {
    let status =
        prop_oneof![Just(EndpointStatus::Ready), Just(EndpointStatus::Draining), Just(EndpointStatus::Gone)];
    let address = (any::<[u8; 4]>(), any::<u16>());
    let optional_name = || prop_oneof![Just(String::new()), names()];
    let location = (optional_name(), optional_name(), optional_name());
    (names(), address, proptest::option::of(0.0..2e9), 0.01..100.0, location, status).prop_map(
        |(name, (ip, port), started, size, (kind, zone, cell), state)| EndpointEntry {
            name,
            address: (ip, port).into(),
            started,
            size,
            kind,
            zone,
            cell,
            state,
        },
    )
}

proptest! {
    #[test]
    fn endpoint_lists_are_read_as_written(revision: u64, complete: bool, mut endpoints in proptest::collection::vec(entries(), 0..20)) {
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        endpoints.dedup_by(|a, b| a.name == b.name);
        let line = registry::write(revision, complete, &endpoints);
        prop_assert_eq!(registry::read(&line), Ok(EndpointListUpdate { revision, complete, endpoints }));
    }

    #[test]
    fn a_truncated_list_is_rejected(endpoints in proptest::collection::vec(entries(), 1..4), fraction in 0.0..1.0) {
        let line = registry::write(3, true, &endpoints);
        let cut = ((line.len() - 1) as f64 * fraction) as usize;
        prop_assert!(registry::read(&line[..cut.min(line.len() - 2)]).is_err());
    }

    #[test]
    fn reports_are_read_as_written(metrics in proptest::collection::vec(("[a-z_.]{1,20}", 0.0..1e12), 0..30)) {
        let text = orca::write(metrics.iter().map(|(n, x)| (n.as_str(), *x)));
        let mut read = Vec::new();
        orca::read(&text, |name, x| read.push((name.to_owned(), x))).unwrap();
        prop_assert_eq!(read, metrics);
    }

    #[test]
    fn any_bytes_give_a_value_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..300), text in ".{0,200}") {
        let _ = registry::read(&bytes);
        let mut metrics = 0;
        for form in ["", "TEXT ", "JSON "] {
            let _ = orca::read(&format!("{form}{text}"), |_, x| {
                metrics += 1;
                assert!(x.is_finite() && x >= 0.0);
            });
        }
        prop_assert!(metrics <= 3 * 64);
        let _ = worker::route(&text);
        let _ = invoke::route(&Method::POST, &text);
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_bytes(&bytes) {
            for name in [&invoke::TIMEOUT, &invoke::CLIENT_RETRY, &invoke::CLIENT_GROUP, &worker::INSTANCE_STATE, &worker::CONCURRENT_REQUESTS] {
                headers.insert(name, value.clone());
            }
            if let Ok(Some(seconds)) = invoke::timeout(&headers) {
                prop_assert!(seconds > 0.0 && seconds <= 86_400.0);
            }
            let _ = (invoke::is_client_retry(&headers), invoke::name_field(&headers, &invoke::CLIENT_GROUP));
            let _ = (worker::instance_state(&headers), worker::count_field(&headers, &worker::CONCURRENT_REQUESTS));
        }
    }

    #[test]
    fn paths_are_read_as_written(name in names()) {
        let path = invoke::request_path(&name);
        prop_assert_eq!(invoke::route(&Method::POST, &path), Ok(invoke::Route::Invoke(&name)));
        let paths = [worker::infer_path(&name), worker::load_path(&name), worker::unload_path(&name)];
        let routes = paths.each_ref().map(|path| worker::route(path).unwrap());
        let [infer, load, unload] = [worker::Route::Infer, worker::Route::Load, worker::Route::Unload];
        prop_assert_eq!(routes, [infer(&name), load(&name), unload(&name)]);
    }
}

#[test_case("0", None; "zero")]
#[test_case("-1", None; "negative")]
#[test_case("inf", None; "infinity")]
#[test_case("1e3", None; "an exponent")]
#[test_case("0.2", Some(0.2); "a fraction")]
#[test_case("999999", Some(86_400.0); "more than a day")]
fn a_timeout_is_a_plain_number_of_seconds(text: &str, seconds: Option<f64>) {
    let mut headers = HeaderMap::new();
    headers.insert(&invoke::TIMEOUT, HeaderValue::from_str(text).unwrap());
    assert_eq!(invoke::timeout(&headers).ok().flatten(), seconds);
}

/// If a field could occur twice, two components that parse the same request could each use a different value.
#[test]
fn a_field_that_occurs_twice_is_an_error() {
    let mut headers = HeaderMap::new();
    headers.append(&invoke::TIMEOUT, HeaderValue::from_static("1"));
    headers.append(&invoke::TIMEOUT, HeaderValue::from_static("9"));
    assert!(invoke::timeout(&headers).is_err());
}

/// Only an exact value proves that the request did not run.
#[test_case("full", Some(worker::Rejection::Full))]
#[test_case("Full", None; "wrong case")]
#[test_case("full, draining", None; "two values")]
fn a_rejection_is_read_only_from_exact_values(text: &str, expected: Option<worker::Rejection>) {
    let mut headers = HeaderMap::new();
    headers.insert(&worker::REJECTION, HeaderValue::from_str(text).unwrap());
    assert_eq!(worker::rejection(&headers), expected);
}

#[test_case("/v1/functions//activations", Err(invoke::RouteError::InvalidFunctionName); "an empty name")]
#[test_case("/v1/functions/a%2Fb/activations", Err(invoke::RouteError::InvalidFunctionName); "an escaped slash")]
#[test_case("/v1/functions/a/b/activations", Err(invoke::RouteError::InvalidFunctionName); "two path segments")]
#[test_case("/v1/functions/../activations", Err(invoke::RouteError::InvalidFunctionName); "a dot segment")]
#[test_case("/v2/functions/a/activations", Err(invoke::RouteError::UnknownPath); "an unsupported version")]
#[test_case("/health/ready", Err(invoke::RouteError::MethodNotAllowed("GET")); "a health check with POST")]
fn other_paths_are_not_routed(path: &str, expected: Result<invoke::Route<'_>, invoke::RouteError>) {
    assert_eq!(invoke::route(&Method::POST, path), expected);
}
