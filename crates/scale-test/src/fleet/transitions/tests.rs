//! Gateways on their way.

use super::Transitions;

#[test]
fn a_gateway_is_on_its_way_until_it_started_or_stopped() {
    let mut transitions = Transitions::default();
    assert!(transitions.is_empty());
    transitions.begin(3);
    transitions.begin(4);
    transitions.started(3);
    assert!(!transitions.is_empty());
    assert!(!transitions.stopped(4), "it was not to start again");
    assert!(transitions.is_empty());
}

#[test]
fn a_restart_is_asked_for_once() {
    let mut transitions = Transitions::default();
    transitions.begin_restart(3);
    assert!(transitions.stopped(3));
    transitions.begin(3);
    assert!(!transitions.stopped(3), "it has started again already");
}
