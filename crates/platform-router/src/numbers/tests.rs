use super::*;

#[test]
fn a_number_counts_once_in_whatever_order() {
    let mut numbers = Numbers::default();
    let took: Vec<_> = [1, 3, 2, 2, 3, 200, 199, 137, 136, 1].map(|n| numbers.take(n)).into();
    assert_eq!(took, [true, true, true, false, false, true, true, true, false, false]);
}
