use super::*;

/// Overtaken letters are taken once each; what is older than the window can tell is not.
#[test]
fn a_letter_is_taken_once() {
    let mut window = Window::default();
    assert!(window.take(5) && window.take(3) && window.take(4));
    assert!(!window.take(5) && !window.take(3));
    assert!(window.take(300) && !window.take(300) && !window.take(4) && !window.take(100));
    assert!(window.take(173) && !window.take(173) && !window.take(172));
}
