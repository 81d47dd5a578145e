use super::*;
use test_case::test_case;

/// Marks of lives 1 to 6, and the sum of some.
fn sum(lives: &[u64]) -> (BTreeMap<u64, u64>, u64) {
    let mark = |life: u64| xxh3_64_with_seed(&life.to_le_bytes(), 7);
    let marks = (1..=6).map(|life| (mark(life), life)).collect();
    (marks, lives.iter().fold(0u64, |sum, life| sum.wrapping_add(mark(*life))))
}

#[test_case(&[1, 2, 3], &[], &[]; "the same")]
#[test_case(&[1, 2, 3, 4], &[4], &[]; "one more")]
#[test_case(&[1, 3], &[], &[2]; "one fewer")]
#[test_case(&[1, 2, 4], &[4], &[3]; "one for another")]
#[test_case(&[1, 2, 3, 4, 5], &[4, 5], &[]; "two more")]
#[test_case(&[2], &[], &[1, 3]; "two fewer")]
fn a_sum_tells_how_a_set_differs(other: &[u64], more: &[u64], fewer: &[u64]) {
    let (marks, own) = sum(&[1, 2, 3]);
    let found = differs(&marks, own, sum(other).1).expect("found out");
    let lives = |some: [Option<u64>; 2]| some.into_iter().flatten().collect::<BTreeSet<_>>();
    assert_eq!(lives(found.more), more.iter().copied().collect());
    assert_eq!(lives(found.fewer), fewer.iter().copied().collect());
}

#[test_case(&[4, 5, 6]; "all others")]
#[test_case(&[1, 2, 3, 4, 5, 6]; "three more")]
#[test_case(&[]; "nobody")]
fn what_differs_by_more_says_nothing(other: &[u64]) {
    let (marks, own) = sum(&[1, 2, 3]);
    assert_eq!(differs(&marks, own, sum(other).1), None);
}
