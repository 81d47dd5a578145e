//! What is written is read back, and any bytes give a value or a fault.

use http::{HeaderMap, HeaderValue, Method};
use milletpath_protocol::registry::{EndpointStatus, Entry};
use milletpath_protocol::{invoke, is_name, orca, registry, worker};
use proptest::prelude::*;
use test_case::test_case;

fn names() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9._~:-]{1,40}".prop_filter("no dots alone", |n| is_name(n))
}

fn entries() -> impl Strategy<Value = Entry> {
    let standing =
        prop_oneof![Just(EndpointStatus::Ready), Just(EndpointStatus::Draining), Just(EndpointStatus::Gone)];
    let place = (any::<[u8; 4]>(), any::<u16>());
    let part = || prop_oneof![Just(String::new()), names()];
    let parts = (part(), part(), part());
    (names(), place, proptest::option::of(0.0..2e9), 0.01..100.0, parts, standing).prop_map(
        |(name, (ip, port), started, size, (kind, zone, cell), state)| Entry {
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
    fn lists_are_read_as_written(edition: u64, whole: bool, mut list in proptest::collection::vec(entries(), 0..20)) {
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list.dedup_by(|a, b| a.name == b.name);
        let line = registry::write(edition, whole, &list);
        prop_assert_eq!(registry::read(&line), Ok((edition, whole, list)));
    }

    #[test]
    fn half_a_list_is_no_list(list in proptest::collection::vec(entries(), 1..4), part in 0.0..1.0) {
        let line = registry::write(3, true, &list);
        let cut = ((line.len() - 1) as f64 * part) as usize;
        prop_assert!(registry::read(&line[..cut.min(line.len() - 2)]).is_err());
    }

    #[test]
    fn reports_are_read_as_written(figures in proptest::collection::vec(("[a-z_.]{1,20}", 0.0..1e12), 0..30)) {
        let text = orca::write(figures.iter().map(|(n, x)| (n.as_str(), *x)));
        let mut read = Vec::new();
        orca::read(&text, |name, x| read.push((name.to_owned(), x))).unwrap();
        prop_assert_eq!(read, figures);
    }

    #[test]
    fn any_bytes_give_a_value_or_a_fault(bytes in proptest::collection::vec(any::<u8>(), 0..300), text in ".{0,200}") {
        let _ = registry::read(&bytes);
        let mut figures = 0;
        for form in ["", "TEXT ", "JSON "] {
            let _ = orca::read(&format!("{form}{text}"), |_, x| {
                figures += 1;
                assert!(x.is_finite() && x >= 0.0);
            });
        }
        prop_assert!(figures <= 3 * 64);
        let _ = worker::wanted(&text);
        let _ = invoke::wanted(&Method::POST, &text);
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_bytes(&bytes) {
            for name in [&invoke::PATIENCE, &invoke::REPEAT, &invoke::CLIENT, &worker::FOUND, &worker::COMPANY] {
                headers.insert(name, value.clone());
            }
            if let Ok(Some(seconds)) = invoke::patience(&headers) {
                prop_assert!(seconds > 0.0 && seconds <= 86_400.0);
            }
            let _ = (invoke::repeat(&headers), invoke::name(&headers, &invoke::CLIENT));
            let _ = (worker::found(&headers), worker::count(&headers, &worker::COMPANY));
        }
    }

    #[test]
    fn paths_are_read_as_written(name in names()) {
        let path = invoke::path(&name);
        prop_assert_eq!(invoke::wanted(&Method::POST, &path), Ok(invoke::Wanted::Activation(&name)));
        let paths = [worker::infer(&name), worker::load(&name), worker::unload(&name)];
        let wanted = paths.each_ref().map(|path| worker::wanted(path).unwrap());
        let [infer, load, unload] = [worker::Wanted::Infer, worker::Wanted::Load, worker::Wanted::Unload];
        prop_assert_eq!(wanted, [infer(&name), load(&name), unload(&name)]);
    }
}

#[test_case("0", None; "nothing left")]
#[test_case("-1", None; "negative")]
#[test_case("inf", None; "without end")]
#[test_case("1e3", None; "exponents are no plain figures")]
#[test_case("0.2", Some(0.2); "a fraction")]
#[test_case("999999", Some(86_400.0); "more than a day")]
fn patience_is_a_time(text: &str, seconds: Option<f64>) {
    let mut headers = HeaderMap::new();
    headers.insert(&invoke::PATIENCE, HeaderValue::from_str(text).unwrap());
    assert_eq!(invoke::patience(&headers).ok().flatten(), seconds);
}

/// Two readers of a request could each believe another of two values.
#[test]
fn a_field_that_comes_twice_is_refused() {
    let mut headers = HeaderMap::new();
    headers.append(&invoke::PATIENCE, HeaderValue::from_static("1"));
    headers.append(&invoke::PATIENCE, HeaderValue::from_static("9"));
    assert!(invoke::patience(&headers).is_err());
}

/// Only the worker's exact word proves that nothing ran.
#[test_case("full", Some(worker::Refused::Full))]
#[test_case("Full", None; "another case")]
#[test_case("full, draining", None; "two words")]
fn a_refusal_is_believed_in_its_own_words(text: &str, is: Option<worker::Refused>) {
    let mut headers = HeaderMap::new();
    headers.insert(&worker::REFUSED, HeaderValue::from_str(text).unwrap());
    assert_eq!(worker::refused(&headers), is);
}

#[test_case("/v1/functions//activations", Err(invoke::Unknown::Name); "no name")]
#[test_case("/v1/functions/a%2Fb/activations", Err(invoke::Unknown::Name); "escapes")]
#[test_case("/v1/functions/a/b/activations", Err(invoke::Unknown::Name); "two parts")]
#[test_case("/v1/functions/../activations", Err(invoke::Unknown::Name); "dots")]
#[test_case("/v2/functions/a/activations", Err(invoke::Unknown::Path); "another version")]
#[test_case("/health/ready", Err(invoke::Unknown::Method("GET")); "a health check posted")]
fn other_paths_ask_for_nothing(path: &str, is: Result<invoke::Wanted<'_>, invoke::Unknown>) {
    assert_eq!(invoke::wanted(&Method::POST, path), is);
}
