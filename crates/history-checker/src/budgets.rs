//! Budgets of the whole fleet, judged from what workers, clients and the days themselves saw. Each bound is the budget and
//! a slack that follows from how gateways keep it (`docs/design/shared-budgets.md`).

use crate::fleet::{BoundReport, SharedBudgetBounds};
use crate::{HistoryEvent, HistoryRecord};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Seconds for which loans last at most.
const LOAN: f64 = 2.1;

/// Times of what happened, within some seconds.
#[derive(Default)]
struct Lately(VecDeque<f64>);

impl Lately {
    fn add(&mut self, at: f64) {
        self.0.push_back(at);
    }

    fn within(&mut self, at: f64, seconds: f64) -> f64 {
        while self.0.front().is_some_and(|when| at - when > seconds) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}

/// What is rationed within a window, over all gateways: the free ones, and a share of what all took. An account counts
/// what was taken when something is done; at another moment as much of that may have left the window as is in the one
/// before it. For each process that was killed there is once more the part of the one that takes its place, whose account
/// begins empty; until what was borrowed of the former has ended as well.
struct Rationed<'s> {
    shared: &'s SharedBudgetBounds,
    window: f64,
    free: f64,
    part: f64,
    share: f64,
    taken: Lately,
    done: Lately,
    killed: Lately,
}

impl<'s> Rationed<'s> {
    fn new(shared: &'s SharedBudgetBounds, (window, free, share): (f64, f64, f64), part: f64) -> Self {
        let [taken, done, killed] = [(); 3].map(|()| Lately::default());
        Self { shared, window, free, part, share, taken, done, killed }
    }

    /// One more is done; gives how many that are within the window, and how many may be.
    fn did(&mut self, at: f64) -> (f64, f64) {
        let (window, lag) = (self.window, self.shared.lag);
        self.done.add(at);
        // What lags behind may have been sent up to so much earlier, within another window.
        let done = self.done.within(at, window - lag);
        let earned =
            self.share * self.taken.within(at, if self.share > 0.0 { 2.0 * window + lag } else { 0.0 });
        let killed = self.killed.within(at, window + LOAN + lag);
        (done, self.free + earned + self.part * killed)
    }
}

/// Orders of the whole fleet in any window.
pub fn orders(
    records: &[HistoryRecord],
    shared: &SharedBudgetBounds,
    (window, free, share): (f64, f64, f64),
) -> BoundReport {
    let mut bound = BoundReport::default();
    let mut rationed = Rationed::new(shared, (window, free * shared.gateways as f64, share), free);
    for HistoryRecord { at, event } in records {
        match event {
            HistoryEvent::AttemptSent { .. } => rationed.taken.add(*at),
            HistoryEvent::GatewayKilled { .. } => rationed.killed.add(*at),
            HistoryEvent::LoadRequested { .. } => {
                let (orders, most) = rationed.did(*at);
                bound.see(*at, orders, most, || {
                    format!(
                        "all gateways together gave {orders} orders within {window} s, for {most:.1} at most"
                    )
                });
            }
            _ => {}
        }
    }
    bound
}

/// Shots beyond the first of each try, of the whole fleet in any window.
pub fn retries(
    records: &[HistoryRecord],
    shared: &SharedBudgetBounds,
    (window, free, share): (f64, f64, f64),
) -> BoundReport {
    let mut bound = BoundReport::default();
    let mut rationed = Rationed::new(shared, (window, free, share), free / shared.gateways as f64);
    let mut came = BTreeSet::new();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::AttemptSent { .. } => rationed.taken.add(*at),
            HistoryEvent::GatewayKilled { .. } => rationed.killed.add(*at),
            HistoryEvent::AttemptReceived { call, attempt, .. } if !came.insert((call, attempt)) => {
                let (shots, most) = rationed.did(*at);
                bound.see(*at, shots, most, || {
                    format!("{shots} further shots within {window} s, for {most:.1} at most")
                });
            }
            _ => {}
        }
    }
    bound
}

/// Calls of each client group that reached a worker, in any ten seconds. A gateway may use half a second of what it may
/// at once, or one call where that is less; what it let through is sent within half a second, or the time for a
/// connection after that.
pub fn ceilings(records: &[HistoryRecord], shared: &SharedBudgetBounds) -> BoundReport {
    const WINDOW: f64 = 10.0;
    const AT_ONCE: f64 = 0.5;
    const SENT: f64 = 0.75;
    let mut bound = BoundReport::default();
    let mut groups: BTreeMap<u64, usize> = BTreeMap::new();
    let mut came = BTreeSet::new();
    let mut lately: BTreeMap<usize, Lately> = BTreeMap::new();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::RequestIssued { call, group, .. } => {
                groups.insert(call, group);
            }
            HistoryEvent::AttemptReceived { call, attempt, .. } if came.insert((call, attempt)) => {
                let Some(&group) = groups.get(&call) else { continue };
                let Some(ceiling) = shared.ceilings.get(group).copied().flatten() else { continue };
                let calls = lately.entry(group).or_default();
                calls.add(*at);
                let calls = calls.within(*at, WINDOW);
                let seconds = WINDOW + AT_ONCE + SENT + 2.0 * shared.lag;
                let most = ceiling * seconds + shared.gateways as f64;
                bound.see(*at, calls, most, || {
                    format!("{calls} calls of group {group} within {WINDOW} s, for {most:.1} at most")
                });
            }
            _ => {}
        }
    }
    bound
}

/// Shots at each worker at a time. What ended a moment ago may not have been noticed there.
pub fn in_flight(records: &[HistoryRecord], shared: &SharedBudgetBounds, most: f64) -> BoundReport {
    let mut bound = BoundReport::default();
    let ended = |r: &HistoryRecord| match r.event {
        HistoryEvent::AttemptFinished { worker, .. } => Some((r.at - 2.0 * shared.lag, worker, -1.0)),
        _ => None,
    };
    let began = |r: &HistoryRecord| match r.event {
        HistoryEvent::AttemptReceived { worker, .. } => Some((r.at, worker, 1.0)),
        _ => None,
    };
    let mut events: Vec<(f64, usize, f64)> =
        records.iter().filter_map(|r| ended(r).or_else(|| began(r))).collect();
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut out: BTreeMap<usize, f64> = BTreeMap::new();
    for (at, worker, change) in events {
        let out = out.entry(worker).or_default();
        *out += change;
        let shots = *out;
        if change > 0.0 {
            bound.see(at, shots, most, || format!("{shots} shots at worker {worker}, for {most} at most"));
        }
    }
    bound
}

#[cfg(test)]
mod tests;
