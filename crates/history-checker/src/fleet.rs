//! What gateways that share things keep together: bounds over the whole fleet, and what it costs them to know each
//! other. Like the rules it goes by what passed on the sockets of clients, workers and links alone.

use crate::rules::{SlowStartWindow, slow_start_windows};
use crate::{HistoryEvent, HistoryRecord, RuleParameters, Violation, budgets};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the gateways of a day share.
#[derive(Clone, Debug)]
pub struct SharedBudgetBounds {
    /// Gateways that there may be.
    pub gateways: usize,
    /// The ration of each: window, free orders, orders for each activation taken. The fleet's is their sum.
    pub load_rate_limit: Option<(f64, f64, f64)>,
    /// Further shots of all: window, free ones, a share of one for each try taken.
    pub retries: Option<(f64, f64, f64)>,
    /// Calls a second that each client group may have sent at all.
    pub ceilings: Vec<Option<f64>>,
    /// Shots at one worker.
    pub in_flight: Option<f64>,
    /// What a worker that started lately may be sent.
    pub rules: RuleParameters,
    /// Seconds by which a stand-in's reading may lag behind what was written.
    pub lag: f64,
}

/// Bytes of a letter, and bytes a second that a gateway may send to others.
const LETTER: f64 = 1400.0;
const BYTES: f64 = 20_000.0;

/// One bound: the case that came nearest to it or went furthest over it, and how often it was broken.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BoundReport {
    pub most: f64,
    pub bound: f64,
    pub broken: u64,
    /// The first places, for people.
    #[serde(skip)]
    pub places: Vec<Violation>,
}

impl BoundReport {
    /// Places that are told.
    const PLACES: usize = 5;

    pub(crate) fn see(&mut self, at: f64, seen: f64, bound: f64, what: impl FnOnce() -> String) {
        if self.bound == 0.0 || seen - bound > self.most - self.bound {
            (self.most, self.bound) = (seen, bound);
        }
        if seen > bound {
            self.broken += 1;
            if self.places.len() < Self::PLACES {
                self.places.push(Violation { rule: 0, at, what: what() });
            }
        }
    }
}

/// All bounds by name. Records are in the order of time.
pub fn bounds(records: &[HistoryRecord], shared: &SharedBudgetBounds) -> BTreeMap<&'static str, BoundReport> {
    let mut bounds = BTreeMap::from([
        ("letter-bytes", BoundReport::default()),
        ("letters-a-second", BoundReport::default()),
    ]);
    datagrams(records, &mut bounds);
    let (mut work, mut calls) = (BoundReport::default(), BoundReport::default());
    slow_start_windows(
        records,
        &shared.rules,
        |SlowStartWindow { at, worker, shots, sum, most, most_shots, .. }| {
            work.see(at, sum, most, || format!("worker {worker} was sent {sum:.2} s of work for {most:.2}"));
            calls.see(at, shots as f64, most_shots, || {
                format!("worker {worker} was sent {shots} calls for {most_shots:.1}")
            });
        },
    );
    bounds.extend([("cold", work), ("cold-calls", calls)]);
    bounds.extend(
        shared
            .load_rate_limit
            .map(|load_rate_limit| ("orders", budgets::orders(records, shared, load_rate_limit))),
    );
    bounds.extend(shared.retries.map(|retries| ("retries", budgets::retries(records, shared, retries))));
    bounds.extend(shared.in_flight.map(|most| ("in-flight", budgets::in_flight(records, shared, most))));
    if shared.ceilings.iter().any(Option::is_some) {
        bounds.insert("ceiling", budgets::ceilings(records, shared));
    }
    bounds
}

/// The size of each letter, and what each gateway sends within ten seconds.
fn datagrams(records: &[HistoryRecord], bounds: &mut BTreeMap<&'static str, BoundReport>) {
    const WINDOW: f64 = 10.0;
    let mut sent: BTreeMap<usize, (VecDeque<(f64, usize)>, usize)> = BTreeMap::new();
    for HistoryRecord { at, event } in records {
        let HistoryEvent::DatagramSent { gateway, bytes } = *event else { continue };
        let (datagrams, sum) = sent.entry(gateway).or_default();
        datagrams.push_back((*at, bytes));
        *sum += bytes;
        while datagrams.front().is_some_and(|(when, _)| at - when > WINDOW) {
            *sum -= datagrams.pop_front().map_or(0, |(_, bytes)| bytes);
        }
        let rate = *sum as f64 / WINDOW;
        if let Some(bound) = bounds.get_mut("letter-bytes") {
            bound.see(*at, bytes as f64, LETTER, || {
                format!("gateway {gateway} sent a letter of {bytes} bytes")
            });
        }
        if let Some(bound) = bounds.get_mut("letters-a-second") {
            bound.see(*at, rate, BYTES, || format!("gateway {gateway} sent {rate:.0} bytes a second"));
        }
    }
}

/// Seconds that something took, over all gateways that it was about.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DetectionTimes {
    pub p50: Option<f64>,
    pub p99: Option<f64>,
    /// How many learnt it, and how many that were there had not when the day ended.
    pub learnt: usize,
    pub never: usize,
}

impl DetectionTimes {
    fn of(times: impl IntoIterator<Item = Option<f64>>) -> Self {
        let (learnt, never): (Vec<_>, Vec<_>) = times.into_iter().partition(Option::is_some);
        let mut learnt: Vec<f64> = learnt.into_iter().flatten().collect();
        learnt.sort_by(f64::total_cmp);
        let at =
            |part: f64| learnt.get((part * learnt.len().saturating_sub(1) as f64).round() as usize).copied();
        Self { p50: at(0.5), p99: at(0.99), learnt: learnt.len(), never: never.len() }
    }
}

/// What knowing each other costs, and how soon what is known.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MembershipObservations {
    /// Letters and bytes a second of a gateway, on average while it was up.
    #[serde(rename = "letters")]
    pub datagrams: f64,
    pub bytes: f64,
    /// Times that a gateway told of another as suspect, or as dead, whose process ran.
    pub false_suspicions: usize,
    pub false_deaths: usize,
    pub death: DetectionTimes,
    pub join: DetectionTimes,
    pub healing: DetectionTimes,
}

/// A process's life, as far as the sockets tell.
struct Life {
    number: u64,
    gateway: usize,
    from: f64,
    until: f64,
}

/// What the gateways knew of each other on a day.
pub fn membership_observations(records: &[HistoryRecord], gateways: usize) -> MembershipObservations {
    let last = records.last().map_or(0.0, |r| r.at);
    let mut lives: Vec<Life> = Vec::new();
    let mut killed: Vec<(usize, f64)> = Vec::new();
    let mut still: BTreeSet<usize> = BTreeSet::new();
    let mut says: BTreeMap<(usize, u64), Vec<(f64, u8)>> = BTreeMap::new();
    let mut known = MembershipObservations::default();
    let (mut datagrams, mut bytes, mut mended) = (0.0, 0.0, Vec::new());
    for HistoryRecord { at, event } in records {
        match *event {
            HistoryEvent::IncarnationObserved { gateway, life } => {
                lives.push(Life { number: life, gateway, from: *at, until: f64::INFINITY });
            }
            HistoryEvent::GatewayKilled { gateway } => {
                killed.push((gateway, *at));
                let ends = lives.iter_mut().filter(|l| l.gateway == gateway && l.until.is_infinite());
                ends.for_each(|l| l.until = *at);
            }
            HistoryEvent::GatewayPaused { gateway } => {
                still.insert(gateway);
            }
            HistoryEvent::GatewayResumed { gateway } => {
                still.remove(&gateway);
            }
            HistoryEvent::DatagramSent { bytes: size, .. } => {
                datagrams += 1.0;
                bytes += size as f64;
            }
            HistoryEvent::LinksHealed => mended.push(*at),
            HistoryEvent::MemberStateReported { gateway, about, life, state } => {
                let runs = lives.iter().any(|l| l.number == life && l.until.is_infinite());
                if runs && !still.contains(&about) {
                    known.false_suspicions += usize::from(state == 1);
                    known.false_deaths += usize::from(state == 2);
                }
                says.entry((gateway, life)).or_default().push((*at, state));
            }
            _ => {}
        }
    }
    let up: f64 = lives.iter().map(|l| l.until.min(last) - l.from).sum();
    (known.datagrams, known.bytes) = (datagrams / up.max(1e-9), bytes / up.max(1e-9));
    // When a gateway, up from then on without a break, first said so.
    let first = |gateway: usize, life: u64, from: f64, such: &dyn Fn(u8) -> bool| {
        let up = lives.iter().find(|l| l.gateway == gateway && l.from <= from && from < l.until)?;
        let said = says.get(&(gateway, life)).into_iter().flatten();
        let found = said.filter(|(at, state)| *at >= from && such(*state)).map(|(at, _)| *at).next();
        match found.filter(|at| *at <= up.until) {
            Some(at) => Some(Some(at - from)),
            // Killed before it could: nobody's.
            None if up.until.is_finite() => None,
            None => Some(None),
        }
    };
    let others = |gateway: usize| (0..gateways).filter(move |other| *other != gateway);
    let deaths = lives.iter().filter(|l| l.until.is_finite());
    known.death = DetectionTimes::of(deaths.flat_map(|l| {
        others(l.gateway).filter_map(|other| first(other, l.number, l.until, &|state| state >= 2))
    }));
    known.join = DetectionTimes::of(lives.iter().flat_map(|l| {
        others(l.gateway).filter_map(|other| first(other, l.number, l.from, &|state| state == 0))
    }));
    let lost = |gateway: usize, life: u64, at: f64| {
        let before = says.get(&(gateway, life)).into_iter().flatten().take_while(|(when, _)| *when <= at);
        before.last().is_some_and(|(_, state)| *state >= 2)
    };
    known.healing = DetectionTimes::of(mended.iter().flat_map(|at| {
        let there = lives.iter().filter(|l| l.from <= *at && *at < l.until);
        there.flat_map(|l| {
            let lost = others(l.gateway).filter(|other| lost(*other, l.number, *at));
            lost.filter_map(|other| first(other, l.number, *at, &|state| state == 0)).collect::<Vec<_>>()
        })
    }));
    known
}
