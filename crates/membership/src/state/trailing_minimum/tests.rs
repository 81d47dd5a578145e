use super::*;

const FLOOR: f64 = 0.5;

fn update(minimum: &mut TrailingMinimum, now: f64, value: f64) -> f64 {
    minimum.update(now, value, FLOOR, f64::INFINITY)
}

#[test]
fn a_value_counts_only_after_the_window_has_passed() {
    let mut minimum = TrailingMinimum::new(10.0, 0.0);
    assert_eq!(update(&mut minimum, 1.0, 0.8), FLOOR);
    assert_eq!(update(&mut minimum, 10.9, 0.8), FLOOR);
    assert_eq!(update(&mut minimum, 11.0, 0.8), 0.8);
}

#[test]
fn a_lower_value_counts_at_once_and_for_the_length_of_the_window() {
    let mut minimum = TrailingMinimum::new(10.0, 0.0);
    update(&mut minimum, 1.0, 0.9);
    assert_eq!(update(&mut minimum, 20.0, 0.9), 0.9);
    assert_eq!(update(&mut minimum, 21.0, 0.6), 0.6);
    assert_eq!(update(&mut minimum, 22.0, 0.9), 0.6);
    assert_eq!(update(&mut minimum, 31.9, 0.9), 0.6);
    assert_eq!(update(&mut minimum, 32.0, 0.9), 0.9);
}

#[test]
fn a_value_that_ran_out_counts_as_the_floor_since_then() {
    let mut minimum = TrailingMinimum::new(10.0, 0.0);
    minimum.update(1.0, 0.9, FLOOR, f64::INFINITY);
    assert_eq!(minimum.update(20.0, 0.9, FLOOR, 25.0), 0.9);
    assert_eq!(minimum.update(30.0, 0.9, FLOOR, f64::INFINITY), FLOOR);
    assert_eq!(minimum.update(39.9, 0.9, FLOOR, f64::INFINITY), FLOOR);
    assert_eq!(minimum.update(40.0, 0.9, FLOOR, f64::INFINITY), 0.9);
}
