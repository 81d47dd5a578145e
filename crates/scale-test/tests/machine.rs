//! What the system tells of cores, and how figures of many spread.

use milletpath_scale_test::book::Says;
use milletpath_scale_test::children::{believes, holds};
use milletpath_scale_test::machine::{Cores, memory, used};
use milletpath_scale_test::spread::{Spread, Times};
use test_case::test_case;

#[test]
fn cores_are_in_use_when_they_neither_idle_nor_wait() {
    let then = Cores::from("cpu  100 0 100 700 100 0 0 0 0 0\ncpu0 1 1 1 1\n").expect("read");
    let now = Cores::from("cpu  250 0 150 800 100 0 0 0 50 0\n").expect("read");
    assert_eq!((then.busy, then.all), (2.0, 10.0));
    assert!((now.since(then) - 200.0 / 300.0).abs() < 1e-9);
    assert_eq!(Cores::from("intr 1 2 3"), None);
}

#[test]
fn a_process_has_memory_and_one_that_is_not_there_has_none() {
    assert!(memory(std::process::id()).is_some_and(|mb| mb > 0.1));
    assert_eq!(memory(u32::MAX), None);
    assert_eq!(used(u32::MAX), 0.0);
}

#[test]
fn the_worst_of_many_is_one_of_them() {
    assert_eq!(Spread::of(Vec::new()), None);
    assert_eq!(Spread::of(vec![3.0]), Some(Spread { p50: 3.0, p99: 3.0, worst: 3.0 }));
    let all = (1..=200).rev().map(f64::from).collect();
    assert_eq!(Spread::of(all), Some(Spread { p50: 100.0, p99: 198.0, worst: 200.0 }));
}

#[test]
fn what_nobody_had_to_learn_is_not_told() {
    assert_eq!(Times::default().known(), None);
    let known = Times { seconds: Vec::new(), never: 2 }.known().expect("told");
    assert_eq!((known.spread, known.learnt, known.never), (None, 0, 2));
}

#[test_case("a gateway is there", "gateway-7", Some((7, Says::Here)))]
#[test_case("a gateway counts as gone", "gateway-12", Some((12, Says::Gone)))]
#[test_case("a gateway has left", "gateway-0", Some((0, Says::Gone)))]
#[test_case("a gateway that counted as gone is there", "gateway-3", Some((3, Says::Here)))]
#[test_case("a gateway does not answer", "gateway-3", Some((3, Says::Doubted)))]
#[test_case("a gateway is there", "another", None; "of another fleet")]
fn a_line_of_the_log_says_who_is_there(message: &str, name: &str, says: Option<(usize, Says)>) {
    let line = format!(r#"{{"level":"INFO","fields":{{"message":"{message}","name":"{name}"}}}}"#);
    assert_eq!(believes(&line), says);
    assert_eq!(believes(&line[1..]), None, "no JSON");
}

#[test_case("changes are in force", "\"number\":12", Some(12))]
#[test_case("changes are in force", "\"other\":12", None; "no number")]
#[test_case("the last known state is in force", "\"number\":12", None; "of something else")]
fn a_line_of_the_log_says_up_to_which_number_all_is_in_force(
    message: &str,
    field: &str,
    wanted: Option<u64>,
) {
    let line = format!(r#"{{"level":"INFO","fields":{{"message":"{message}",{field}}}}}"#);
    assert_eq!(holds(&line), wanted);
    assert_eq!(holds(&line[1..]), None, "no JSON");
}
