//! Comparison of sets of which only the sum of their members' hashes is known. The difference from the local set can
//! be determined if it consists of at most two members. A set that differs by more cannot be used in a proof until the
//! member tables of both gateways agree again.

use std::collections::BTreeMap;

/// Difference between another gateway's set and the local set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct SetDifference {
    /// Instance ids of members that are only in the other set.
    pub added: [Option<u64>; 2],
    /// Instance ids of members that are only in the local set.
    pub removed: [Option<u64>; 2],
}

impl SetDifference {
    fn added(added: [Option<u64>; 2]) -> Self {
        Self { added, ..Self::default() }
    }

    fn removed(removed: [Option<u64>; 2]) -> Self {
        Self { removed, ..Self::default() }
    }
}

/// Compares sets with one local set and caches the results, since most gateways assert one of a few sums.
pub(super) struct SetComparisons<'m> {
    members_by_hash: &'m BTreeMap<u64, u64>,
    own_sum: u64,
    cache: BTreeMap<u64, Option<SetDifference>>,
}

impl<'m> SetComparisons<'m> {
    pub(super) fn new(members_by_hash: &'m BTreeMap<u64, u64>, own_sum: u64) -> Self {
        Self { members_by_hash, own_sum, cache: BTreeMap::new() }
    }

    /// Difference between the set with this sum and the local set; `None` if it cannot be determined.
    pub(super) fn difference(&mut self, other_sum: u64) -> Option<SetDifference> {
        let (members_by_hash, own_sum) = (self.members_by_hash, self.own_sum);
        *self.cache.entry(other_sum).or_insert_with(|| difference(members_by_hash, own_sum, other_sum))
    }
}

/// Determines the difference of two sets of known members from their sums.
fn difference(members_by_hash: &BTreeMap<u64, u64>, own_sum: u64, other_sum: u64) -> Option<SetDifference> {
    if own_sum == other_sum {
        return Some(SetDifference::default());
    }
    let increase = other_sum.wrapping_sub(own_sum);
    let decrease = own_sum.wrapping_sub(other_sum);
    let one_added = || Some(SetDifference::added([Some(member_of(members_by_hash, increase)?), None]));
    let one_removed = || Some(SetDifference::removed([Some(member_of(members_by_hash, decrease)?), None]));
    let two_added = || Some(SetDifference::added(pair_of(members_by_hash, increase)?));
    let two_removed = || Some(SetDifference::removed(pair_of(members_by_hash, decrease)?));
    one_added()
        .or_else(one_removed)
        .or_else(|| replacement(members_by_hash, increase))
        .or_else(two_added)
        .or_else(two_removed)
}

/// Finds the member with this hash.
fn member_of(members_by_hash: &BTreeMap<u64, u64>, hash: u64) -> Option<u64> {
    members_by_hash.get(&hash).copied()
}

/// Finds two members whose hashes add up to this sum.
fn pair_of(members_by_hash: &BTreeMap<u64, u64>, sum: u64) -> Option<[Option<u64>; 2]> {
    members_by_hash.iter().find_map(|(hash, member)| {
        let other = member_of(members_by_hash, sum.wrapping_sub(*hash)).filter(|other| other != member)?;
        Some([Some(*member), Some(other)])
    })
}

/// Finds a pair of members of which one replaced the other, from the increase of the sum.
fn replacement(members_by_hash: &BTreeMap<u64, u64>, increase: u64) -> Option<SetDifference> {
    members_by_hash.iter().find_map(|(hash, removed)| {
        let added =
            member_of(members_by_hash, increase.wrapping_add(*hash)).filter(|added| added != removed)?;
        Some(SetDifference { added: [Some(added), None], removed: [Some(*removed), None] })
    })
}

#[cfg(test)]
mod tests;
