//! Service: the importance answered within the due time over the importance asked for. A client's further tries
//! count with its first one; late answers and calls beyond a group's share count as stated.

use crate::{AttemptOutcome, HistoryEvent, HistoryRecord};
use std::collections::BTreeMap;

/// How service is counted.
#[derive(Clone, Debug, Default)]
pub struct ServiceWeights {
    /// Part of the importance that an answer after the due time earns.
    pub late: f64,
    /// Calls a second that each client group may make within its share; none is boundless.
    pub quotas: Vec<Option<f64>>,
    /// Part of the importance of a call beyond its group's share.
    pub over_share: f64,
}

/// What was asked for and what came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCounts {
    pub calls: u64,
    pub handled: u64,
    pub late: u64,
    pub bounced: u64,
    pub terminated: u64,
    /// Never answered: their gateway was killed or not reached, or they left.
    pub unanswered: u64,
    pub tries: u64,
    pub asked: f64,
    pub earned: f64,
}

impl ServiceCounts {
    /// Importance earned over importance asked for; 1 where nothing was asked for.
    pub fn service(&self) -> f64 {
        if self.asked > 0.0 { self.earned / self.asked } else { 1.0 }
    }
}

/// Seconds from a try to its handled answer, at each of the parts (0.5 is the median); none where nothing was handled.
pub fn latencies<const N: usize>(records: &[HistoryRecord], parts: [f64; N]) -> Option<[f64; N]> {
    let mut asked = BTreeMap::new();
    let mut took = Vec::new();
    for record in records {
        match record.event {
            HistoryEvent::AttemptSent { call, attempt, .. } => {
                asked.insert((call, attempt), record.at);
            }
            HistoryEvent::AttemptEnded { call, attempt, how: AttemptOutcome::Succeeded, .. } => {
                took.extend(asked.remove(&(call, attempt)).map(|at| record.at - at));
            }
            _ => {}
        }
    }
    took.sort_by(f64::total_cmp);
    let last = took.len().checked_sub(1)?;
    Some(parts.map(|part| took[(part * last as f64).round() as usize]))
}

/// The whole day, and the calls asked for under each trouble.
pub fn count_service(
    records: &[HistoryRecord],
    account: &ServiceWeights,
) -> (ServiceCounts, BTreeMap<usize, ServiceCounts>) {
    struct Call {
        asked: f64,
        due: f64,
        importance: f64,
        fault: Option<usize>,
        tries: u64,
        ended: Option<(f64, AttemptOutcome)>,
    }
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    // What each group may still ask for within its share, as of when.
    let mut left: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::RequestIssued { call, group, importance, due, fault, .. } => {
                let over = account.quotas.get(group).copied().flatten().is_some_and(|quota| {
                    let (left, since) = left.entry(group).or_insert((quota, *at));
                    *left = (*left + (at - *since) * quota).min(quota.max(1.0));
                    *since = *at;
                    let over = *left < 1.0;
                    *left -= if over { 0.0 } else { 1.0 };
                    over
                });
                let importance = importance * if over { account.over_share } else { 1.0 };
                calls.insert(call, Call { asked: *at, due, importance, fault, tries: 0, ended: None });
            }
            HistoryEvent::AttemptSent { call, .. } => {
                if let Some(c) = calls.get_mut(&call) {
                    c.tries += 1;
                }
            }
            HistoryEvent::AttemptEnded { call, how, .. } => {
                if let Some(c) = calls.get_mut(&call)
                    && c.ended.is_none_or(|(_, before)| before != AttemptOutcome::Succeeded)
                {
                    c.ended = Some((*at, how));
                }
            }
            _ => {}
        }
    }
    let (mut whole, mut by_fault) = (ServiceCounts::default(), BTreeMap::<usize, ServiceCounts>::new());
    for call in calls.values() {
        let under = call.fault.map(|t| by_fault.entry(t).or_default());
        for counts in [Some(&mut whole), under].into_iter().flatten() {
            counts.calls += 1;
            counts.tries += call.tries;
            counts.asked += call.importance;
            match call.ended {
                Some((at, AttemptOutcome::Succeeded)) if at - call.asked <= call.due => {
                    counts.handled += 1;
                    counts.earned += call.importance;
                }
                Some((_, AttemptOutcome::Succeeded)) => {
                    counts.late += 1;
                    counts.earned += call.importance * account.late;
                }
                Some((_, AttemptOutcome::Rejected)) => counts.bounced += 1,
                Some((_, AttemptOutcome::Failed)) => counts.terminated += 1,
                _ => counts.unanswered += 1,
            }
        }
    }
    (whole, by_fault)
}
