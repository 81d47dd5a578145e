use super::*;

/// Numbers may arrive out of order and are accepted once each; numbers older than the window are rejected.
#[test]
fn a_sequence_number_is_accepted_once() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(5) && window.accept(3) && window.accept(4));
    assert!(!window.accept(5) && !window.accept(3));
    assert!(window.accept(300) && !window.accept(300) && !window.accept(4) && !window.accept(100));
    assert!(window.accept(173) && !window.accept(173) && !window.accept(172));
}
