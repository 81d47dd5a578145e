use super::*;
use std::collections::BTreeSet;
use test_case::test_case;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the members 1 to 6 by hash, and the sum of the hashes of `instance_ids`.
fn members_and_sum(instance_ids: &[u64]) -> (BTreeMap<u64, u64>, u64) {
    let member_hash = |instance_id: u64| xxh3_64_with_seed(&instance_id.to_le_bytes(), 7);
    let members_by_hash = (1..=6).map(|instance_id| (member_hash(instance_id), instance_id)).collect();
    (
        members_by_hash,
        instance_ids.iter().fold(0u64, |sum, instance_id| sum.wrapping_add(member_hash(*instance_id))),
    )
}

#[test_case(&[1, 2, 3], &[], &[]; "the same")]
#[test_case(&[1, 2, 3, 4], &[4], &[]; "one more")]
#[test_case(&[1, 3], &[], &[2]; "one fewer")]
#[test_case(&[1, 2, 4], &[4], &[3]; "one for another")]
#[test_case(&[1, 2, 3, 4, 5], &[4, 5], &[]; "two more")]
#[test_case(&[2], &[], &[1, 3]; "two fewer")]
fn a_hash_sum_reveals_up_to_two_differing_members(other: &[u64], added: &[u64], removed: &[u64]) {
    let (members_by_hash, own) = members_and_sum(&[1, 2, 3]);
    let found =
        difference(&members_by_hash, own, members_and_sum(other).1).expect("at most two members differ");
    let ids = |some: [Option<u64>; 2]| some.into_iter().flatten().collect::<BTreeSet<_>>();
    assert_eq!(ids(found.added), added.iter().copied().collect());
    assert_eq!(ids(found.removed), removed.iter().copied().collect());
}

#[test_case(&[4, 5, 6]; "all others")]
#[test_case(&[1, 2, 3, 4, 5, 6]; "three more")]
#[test_case(&[]; "nobody")]
fn a_hash_sum_that_differs_by_more_reveals_nothing(other: &[u64]) {
    let (members_by_hash, own) = members_and_sum(&[1, 2, 3]);
    assert_eq!(difference(&members_by_hash, own, members_and_sum(other).1), None);
}
