//! The five rules. Each check walks the records once, in the order of time, with tables bounded by the records.

use crate::{AttemptOutcome, HistoryEvent, HistoryRecord, Idempotency};
use std::collections::{BTreeMap, VecDeque};

/// The figures that the rules state, and how exactly sockets can be watched.
#[derive(Clone, Copy, Debug)]
pub struct RuleParameters {
    /// Seconds after word of a drain past which nothing new is sent.
    pub grace: f64,
    /// A cold worker's part of its capacity at the start, and the seconds until it is warm.
    pub initial_capacity: f64,
    pub warm_up: f64,
    /// Sent more than this multiple of what it can do, for so many seconds, a cold worker falls over.
    pub overload_multiple: f64,
    pub overload_window: f64,
    /// Orders to load: window, free ones, and orders for each activation taken.
    pub load_rate_limit: Option<(f64, f64, f64)>,
    /// Seconds by which a stand-in's reading may lag behind what was written.
    pub lag: f64,
}

/// One place where a rule is broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: u8,
    pub at: f64,
    pub what: String,
}

/// All places where a rule is broken. Records are in the order of time.
pub fn check(records: &[HistoryRecord], terms: &RuleParameters) -> Vec<Violation> {
    let mut broken = Vec::new();
    answered_once(records, terms, &mut broken);
    no_effect_twice(records, &mut broken);
    drains_kept(records, terms, &mut broken);
    cold_not_pushed_over(records, terms, &mut broken);
    orders_rationed(records, terms, &mut broken);
    broken.sort_by(|a, b| a.at.total_cmp(&b.at));
    broken
}

/// When a try was asked, and when and how it ended.
type Tries = BTreeMap<(u64, u32), (f64, Option<(f64, AttemptOutcome)>)>;

/// Seconds after a client has closed or cancelled in which an attempt for it may still begin.
const CLIENT_GONE: f64 = 0.1;

/// Rule 1: every try that a gateway took gets one final answer within the client's time, and nothing is sent for
/// it afterwards; once its client has gone for 0.1 s at the most, however late the stand-ins of a day may be. A try whose
/// gateway was killed meanwhile is its client's to repeat.
fn answered_once(records: &[HistoryRecord], terms: &RuleParameters, broken: &mut Vec<Violation>) {
    let mut killed: BTreeMap<usize, f64> = BTreeMap::new();
    // When a gateway last moved again after it had stood still; endless while it does.
    let mut moved: BTreeMap<usize, f64> = BTreeMap::new();
    let mut tries: Tries = BTreeMap::new();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::GatewayKilled { gateway } => {
                killed.insert(gateway, *at);
            }
            HistoryEvent::GatewayPaused { gateway } => {
                moved.insert(gateway, f64::INFINITY);
            }
            HistoryEvent::GatewayResumed { gateway } => {
                moved.insert(gateway, *at);
            }
            HistoryEvent::AttemptSent { call, attempt, .. } => {
                let twice = tries.insert((call, attempt), (*at, None));
                broken.extend(twice.map(|_| Violation {
                    rule: 1,
                    at: *at,
                    what: format!("call {call}.{attempt} asked twice"),
                }));
            }
            HistoryEvent::AttemptEnded { call, attempt, gateway, how } => {
                let Some((asked, ended)) = tries.get_mut(&(call, attempt)) else {
                    broken.push(Violation {
                        rule: 1,
                        at: *at,
                        what: format!("call {call}.{attempt} ended unasked"),
                    });
                    continue;
                };
                if let Some((_, before)) = ended.replace((*at, how)) {
                    let (before, how) = (before.word(), how.word());
                    let what = format!("call {call}.{attempt} ended as {before} and again as {how}");
                    broken.push(Violation { rule: 1, at: *at, what });
                }
                let fell = killed.get(&gateway).is_some_and(|k| *k >= *asked - terms.lag);
                // While it stands still no process can answer; what is due as it moves is due at once.
                let stood = how == AttemptOutcome::Unanswered
                    && moved.get(&gateway).is_some_and(|m| *m >= at - 2.0 * terms.lag);
                if matches!(how, AttemptOutcome::Unanswered | AttemptOutcome::ConnectionLost)
                    && !fell
                    && !stood
                {
                    let how = how.word();
                    let what = format!("call {call}.{attempt} at gateway {gateway} got no answer: {how}");
                    broken.push(Violation { rule: 1, at: *at, what });
                }
            }
            HistoryEvent::AttemptReceived { call, attempt, gateway, worker, .. } => {
                let ended = tries.get(&(call, attempt)).and_then(|(_, ended)| *ended);
                let slack = |how| match how {
                    AttemptOutcome::Abandoned | AttemptOutcome::Unanswered => terms.lag.min(CLIENT_GONE),
                    _ => terms.lag,
                };
                if let Some((when, how)) = ended.filter(|(when, how)| at - when > slack(*how)) {
                    let (late, how) = (at - when, how.word());
                    let what = format!(
                        "call {call}.{attempt} was {how}, and {late:.3} s later gateway {gateway} sent it to \
                         worker {worker}"
                    );
                    broken.push(Violation { rule: 1, at: *at, what });
                }
            }
            _ => {}
        }
    }
    let last = records.last().map_or(0.0, |r| r.at);
    for ((call, attempt), (asked, ended)) in tries {
        if ended.is_none() {
            let what = format!("call {call}.{attempt} of {asked:.3} s has no end");
            broken.push(Violation { rule: 1, at: last, what });
        }
    }
}

/// Rule 2: no effectful or receipted call runs twice, and a bounce means that nothing ran.
fn no_effect_twice(records: &[HistoryRecord], broken: &mut Vec<Violation>) {
    let mut effects: BTreeMap<u64, Idempotency> = BTreeMap::new();
    let mut ran: BTreeMap<u64, usize> = BTreeMap::new();
    let mut bounced: BTreeMap<u64, f64> = BTreeMap::new();
    let mut tries: BTreeMap<u64, u32> = BTreeMap::new();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::RequestIssued { call, effect, .. } => {
                effects.insert(call, effect);
            }
            HistoryEvent::AttemptSent { call, attempt, .. } => {
                tries.insert(call, attempt);
            }
            HistoryEvent::RequestExecuted { call, worker } => {
                let effect = effects.get(&call).copied().unwrap_or(Idempotency::NonIdempotent);
                let times = ran.entry(call).or_default();
                *times += 1;
                if effect != Idempotency::Idempotent && *times > 1 {
                    let what = format!(
                        "{} call {call} ran for the {times}th time, on worker {worker}",
                        effect.word()
                    );
                    broken.push(Violation { rule: 2, at: *at, what });
                }
                if effect == Idempotency::NonIdempotent
                    && bounced.contains_key(&call)
                    && tries.get(&call) == Some(&0)
                {
                    let what = format!("effectful call {call} ran on worker {worker} after it was bounced");
                    broken.push(Violation { rule: 2, at: *at, what });
                }
            }
            HistoryEvent::AttemptEnded { call, how: AttemptOutcome::Rejected, .. } => {
                bounced.insert(call, *at);
                let effectful = effects.get(&call) == Some(&Idempotency::NonIdempotent);
                if effectful && ran.contains_key(&call) {
                    let what = format!("effectful call {call} was bounced though it had run");
                    broken.push(Violation { rule: 2, at: *at, what });
                }
            }
            _ => {}
        }
    }
}

/// Rule 3: no shot or order to a worker later than the grace after the gateway was told that it drains or is gone.
fn drains_kept(records: &[HistoryRecord], terms: &RuleParameters, broken: &mut Vec<Violation>) {
    let mut told: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    for HistoryRecord { at, event } in records {
        let (gateway, worker, kind) = match *event {
            HistoryEvent::EndpointNotified { gateway, worker, ready: true } => {
                told.remove(&(gateway, worker));
                continue;
            }
            HistoryEvent::EndpointNotified { gateway, worker, ready: false } => {
                told.entry((gateway, worker)).or_insert(*at);
                continue;
            }
            // A new process knows nothing of what the old one was told.
            HistoryEvent::GatewayKilled { gateway } => {
                told.retain(|(g, _), _| *g != gateway);
                continue;
            }
            HistoryEvent::AttemptReceived { gateway, worker, .. } => (gateway, worker, "a shot"),
            HistoryEvent::LoadRequested { gateway, worker } => (gateway, worker, "an order"),
            _ => continue,
        };
        if let Some(when) = told.get(&(gateway, worker)).filter(|when| at - **when > terms.grace + terms.lag)
        {
            let late = at - when;
            let what =
                format!("{kind} of gateway {gateway} came to worker {worker}, {late:.3} s after its drain");
            broken.push(Violation { rule: 3, at: *at, what });
        }
    }
}

/// Rule 4: what all gateways send a worker that started lately stays, over any window, within the multiple of what
/// it can do at that moment: by the work of the calls, and by their number. It binds however few or many gateways there
/// are, and whether or not they had been notified of the start.
fn cold_not_pushed_over(records: &[HistoryRecord], terms: &RuleParameters, broken: &mut Vec<Violation>) {
    let mut fallen: BTreeMap<usize, f64> = BTreeMap::new();
    slow_start_windows(
        records,
        terms,
        |SlowStartWindow { at, worker, shots, sum, most, most_shots, .. }| {
            let over = sum > most || shots as f64 > most_shots;
            // It has fallen once, until it starts anew.
            if over && fallen.insert(worker, at).is_none_or(|before| at - before > terms.warm_up) {
                let what = format!(
                    "worker {worker} was sent {sum:.2} s of work while cold, for {most:.2}, in {shots} calls, for \
                 {most_shots:.1}"
                );
                broken.push(Violation { rule: 4, at, what });
            }
        },
    );
}

/// Calls of mean work within one window at which a worker in slow start falls over, where the settings allow it `allowed`.
pub fn slow_start_limit(allowed: f64) -> f64 {
    /// Under so many calls chance is allowed more.
    const FEW: f64 = 30.0;
    if allowed < FEW { allowed + 3.0 * allowed.sqrt() + 3.0 } else { allowed + 2.0 * allowed.sqrt() + 2.0 }
}

/// What a cold worker was sent in the stated window up to a shot: how many shots, of how much work; what it may be by its
/// budget, and the most that chance beyond that explains, in work and in shots of mean work.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartWindow {
    pub at: f64,
    pub worker: usize,
    pub shots: usize,
    pub sum: f64,
    pub budget: f64,
    pub most: f64,
    pub most_shots: f64,
}

/// The windows of workers that started lately: one at each shot that came.
pub fn slow_start_windows(
    records: &[HistoryRecord],
    terms: &RuleParameters,
    mut see: impl FnMut(SlowStartWindow),
) {
    /// Shots of chance beyond the budget: work is known by its mean alone.
    const CHANCE: f64 = 3.0;
    struct Cold {
        started: f64,
        capacity: f64,
        sent: VecDeque<(f64, f64)>,
        sum: f64,
    }
    let mut cold: BTreeMap<usize, Cold> = BTreeMap::new();
    let (mut works, mut shots) = (0.0, 0.0);
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::WorkerStarted { worker, warm: true, .. } => {
                cold.remove(&worker);
            }
            HistoryEvent::WorkerStarted { worker, capacity, warm: false } => {
                cold.insert(worker, Cold { started: *at, capacity, sent: VecDeque::new(), sum: 0.0 });
            }
            HistoryEvent::AttemptReceived { worker, work, .. } => {
                works += work;
                shots += 1.0;
                let Some(c) = cold.get_mut(&worker) else { continue };
                let age = at - c.started;
                if age > terms.warm_up {
                    cold.remove(&worker);
                    continue;
                }
                c.sent.push_back((*at, work));
                c.sum += work;
                while c.sent.front().is_some_and(|(when, _)| at - when > terms.overload_window) {
                    c.sum -= c.sent.pop_front().map_or(0.0, |(_, work)| work);
                }
                let warmth =
                    terms.initial_capacity + (1.0 - terms.initial_capacity) * age / terms.warm_up.max(1e-9);
                let budget = terms.overload_multiple * c.capacity * warmth * terms.overload_window;
                let mean = works / shots;
                let (most, most_shots) = (budget + CHANCE * mean, slow_start_limit(budget / mean.max(1e-9)));
                see(SlowStartWindow {
                    at: *at,
                    worker,
                    shots: c.sent.len(),
                    sum: c.sum,
                    budget,
                    most,
                    most_shots,
                });
            }
            _ => {}
        }
    }
}

/// Rule 5: at each order of a gateway, its orders within the window stay within the free ones and the share of what
/// it took.
fn orders_rationed(records: &[HistoryRecord], terms: &RuleParameters, broken: &mut Vec<Violation>) {
    let Some((window, free, share)) = terms.load_rate_limit else { return };
    let mut taken: BTreeMap<usize, VecDeque<f64>> = BTreeMap::new();
    let mut orders: BTreeMap<usize, VecDeque<f64>> = BTreeMap::new();
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::GatewayKilled { gateway } => {
                taken.remove(&gateway);
                orders.remove(&gateway);
            }
            HistoryEvent::AttemptSent { gateway, .. } => taken.entry(gateway).or_default().push_back(*at),
            HistoryEvent::LoadRequested { gateway, .. } => {
                let ordered = orders.entry(gateway).or_default();
                ordered.push_back(*at);
                // What lags behind may have been sent up to so much earlier, within another window.
                while ordered.front().is_some_and(|when| at - when > window - terms.lag) {
                    ordered.pop_front();
                }
                let taken = taken.entry(gateway).or_default();
                while taken.front().is_some_and(|when| at - when > window + terms.lag) {
                    taken.pop_front();
                }
                let most = free + share * taken.len() as f64;
                if ordered.len() as f64 > most {
                    let count = ordered.len();
                    let what = format!(
                        "gateway {gateway} gave {count} orders within {window} s, for {most:.1} at most"
                    );
                    broken.push(Violation { rule: 5, at: *at, what });
                }
            }
            _ => {}
        }
    }
}
