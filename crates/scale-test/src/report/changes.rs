//! Of a report what is about changes: what is in force at the end, and the bounds that changes broke.

use super::short;
use crate::change_propagation::ChangeOutcomes;
use std::collections::BTreeMap;

/// What is in force at the end of a run: the latest number that was made, and how many have the state that
/// most have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FinalState {
    pub latest: u64,
    pub number: u64,
    pub digest: u64,
    pub gateways: (usize, usize),
    pub control: (usize, usize),
}

impl FinalState {
    /// From number and digest of each gateway and each control machine, none where one does not say.
    pub fn of(gateways: Vec<Option<(u64, u64)>>, control: Vec<Option<(u64, u64)>>, latest: u64) -> Self {
        let mut counts: BTreeMap<(u64, u64), usize> = BTreeMap::new();
        gateways.iter().flatten().for_each(|state| *counts.entry(*state).or_default() += 1);
        let most = counts.into_iter().max_by_key(|(_, n)| *n).map_or((0, 0), |(state, _)| state);
        let equal = |all: &[Option<(u64, u64)>]| {
            (all.iter().filter(|state| **state == Some(most)).count(), all.len())
        };
        let (number, digest) = most;
        Self { latest, number, digest, gateways: equal(&gateways), control: equal(&control) }
    }

    /// What is not as it should be.
    pub fn wrong(&self) -> Option<String> {
        let Self { latest, number, digest, gateways: (equal, of), control: (agree, machines) } = *self;
        if equal < of || agree < machines {
            return Some(format!(
                "state: {equal} of {of} gateways and {agree} of {machines} control machines are at number {number} \
                 with digest {digest:016x}"
            ));
        }
        (number < latest).then(|| format!("state: all are at number {number}, and {latest} was made"))
    }
}

/// The bounds that a play's changes broke.
pub(super) fn judge(label: &str, made: &ChangeOutcomes, most: Option<f64>) -> Vec<String> {
    let mut broken = Vec::new();
    if let Some(why) = made.uncommitted.first() {
        let (proposed, made) = (made.proposed, made.committed_count);
        broken.push(format!("changes in {label}: {made} of {proposed} are known to be made; {why}"));
    }
    if made.propagation_times.never > 0 {
        let (never, without) = (made.propagation_times.never, made.gateways_without);
        broken.push(format!(
            "changes in {label}: never in force, {never} times of a change and a gateway, at {without} gateways"
        ));
    }
    if made.catch_up_times.never > 0 {
        let never = made.catch_up_times.never;
        broken
            .push(format!("changes in {label}: {never} that began anew never had all that was made before"));
    }
    let worst = made.propagation_times.summary().and_then(|k| k.distribution);
    if let (Some(worst), Some(most)) = (worst.map(|s| s.worst), most)
        && worst > most
    {
        let late = made.propagation_times.seconds.iter().filter(|s| f64::from(**s) > most).count();
        let of = made.propagation_times.seconds.len();
        broken.push(format!(
            "known.change in {label}: {} s where {} are granted, later at {late} of {of} changes and gateways",
            short(worst),
            short(most),
        ));
    }
    broken
}
