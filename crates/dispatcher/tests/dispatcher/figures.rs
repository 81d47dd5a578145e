//! Figures of functions that change while the desk runs, and what it does by them.

use super::{EFFECTS, PROBELESS, acts, arrive, desk, entry, house, shots};
use milletpath_config::{ConfigChange, FunctionConfig, GatewayConfig};
use milletpath_dispatcher::dispatcher::Dispatcher;
use milletpath_protocol::registry::Standing;
use test_case::test_case;

fn amendment(house: &GatewayConfig, key: &str, text: Option<&str>) -> ConfigChange {
    house.amendment(key, text).unwrap_or_else(|m| panic!("{m:#?}"))
}

fn amend(desk: &mut Dispatcher<u32>, house: &GatewayConfig, key: &str, text: Option<&str>) {
    desk.amend(&amendment(house, key, text), &house.functions);
}

/// One worker takes as many calls at a time as its instance has lanes by what is in force: two by the
/// charter.
#[test_case(&[], 2; "by the charter")]
#[test_case(&[("function f", Some("function \"f\" { lanes = 3 }"))], 3; "by a change")]
#[test_case(&[("functions", Some("functions { lanes = 1 }"))], 1; "by a change of all")]
#[test_case(&[("functions", Some("functions { lanes = 4 }")), ("function f", Some("function \"f\" {}"))], 4; "of all, its own silent")]
#[test_case(&[("function f", Some("function \"f\" { lanes = 3 }")), ("function f", None)], 2; "taken back")]
fn lanes_are_those_in_force(changes: &[(&str, Option<&str>)], lanes: usize) {
    let house = house(EFFECTS[0], PROBELESS);
    let mut desk = desk(EFFECTS[0], PROBELESS, 1);
    changes.iter().for_each(|(key, text)| amend(&mut desk, &house, key, *text));
    for _ in 0..6 {
        arrive(&mut desk, 1.0, 2.0);
    }
    assert_eq!(shots(&acts(&mut desk)).len(), lanes);
}

/// A call in hand keeps what it came with; the next goes by what is in force by then.
#[test]
fn a_change_counts_for_calls_that_come_after_it() {
    let house = house(EFFECTS[0], PROBELESS);
    let mut desk = desk(EFFECTS[0], PROBELESS, 1);
    amend(&mut desk, &house, "function f", Some("function \"f\" { lanes = 1 }"));
    arrive(&mut desk, 1.0, 2.0);
    arrive(&mut desk, 1.0, 2.0);
    assert_eq!(shots(&acts(&mut desk)).len(), 1);
    amend(&mut desk, &house, "function f", Some("function \"f\" { lanes = 3 }"));
    assert_eq!(acts(&mut desk), [], "a change alone sends nothing");
    arrive(&mut desk, 1.001, 2.0);
    let out = shots(&acts(&mut desk)).len();
    assert!((1..=2).contains(&out), "{out}");
}

/// The decisions broke and begin anew: what changes said is in force as it was.
#[test]
fn changes_outlive_a_desk_that_breaks() {
    let house = house(EFFECTS[0], PROBELESS);
    let mut desk = desk(EFFECTS[0], PROBELESS, 1);
    amend(&mut desk, &house, "function f", Some("function \"f\" { lanes = 3 }"));
    amend(&mut desk, &house, "functions", Some("functions { memory = 77 }"));
    desk.begin_anew(&house, 5.0);
    let of = FunctionConfig { lanes: 3.0, memory: 77.0, load: None, profile: None };
    assert_eq!((desk.figures("f"), desk.figures("g")), (of, FunctionConfig { lanes: 1.0, ..of }));
    desk.list(5.0, true, &[entry(0, Standing::Ready, None)]);
    acts(&mut desk);
    for _ in 0..6 {
        arrive(&mut desk, 6.0, 2.0);
    }
    assert_eq!(shots(&acts(&mut desk)).len(), 3);
    amend(&mut desk, &house, "functions", None);
    amend(&mut desk, &house, "function f", None);
    assert_eq!(desk.figures("f"), house.functions.of("f"));
}
