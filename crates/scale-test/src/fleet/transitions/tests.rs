//! Pending starts and stops of gateways.

use super::Transitions;

#[test]
fn a_transition_is_pending_until_the_gateway_started_or_stopped() {
    let mut transitions = Transitions::default();
    assert!(transitions.is_empty());
    transitions.begin(3);
    transitions.begin(4);
    transitions.started(3);
    assert!(!transitions.is_empty());
    assert!(!transitions.stopped(4), "no restart was requested");
    assert!(transitions.is_empty());
}

#[test]
fn a_requested_restart_happens_once() {
    let mut transitions = Transitions::default();
    transitions.begin_restart(3);
    assert!(transitions.stopped(3));
    transitions.begin(3);
    assert!(!transitions.stopped(3), "the restart has already happened");
}
