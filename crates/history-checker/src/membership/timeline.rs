//! When gateway processes ran, and the states that each gateway reported of the others.

use super::detection::Detection;
use crate::event::{HistoryEvent, HistoryRecord};
use std::collections::{BTreeMap, BTreeSet};

/// Member states as encoded in datagrams.
pub(super) const ALIVE: u8 = 0;
const SUSPECT: u8 = 1;
/// This state and higher ones (3 is left) mean that the process is gone.
pub(super) const DEAD: u8 = 2;

/// A gateway process. Times are in seconds.
pub(super) struct Process {
    pub incarnation: u64,
    pub gateway: usize,
    pub started: f64,
    /// Infinity while the process is running.
    pub ended: f64,
}

impl Process {
    pub fn runs_at(&self, at: f64) -> bool {
        self.started <= at && at < self.ended
    }
}

/// A gateway's report of the state of a process.
struct StateReport {
    at: f64,
    state: u8,
}

#[derive(Default)]
pub(super) struct Timeline {
    pub processes: Vec<Process>,
    /// Each gateway's reports of each incarnation, in chronological order.
    reports: BTreeMap<(usize, u64), Vec<StateReport>>,
    /// Times at which partitions healed.
    pub healed: Vec<f64>,
    paused: BTreeSet<usize>,
    pub datagrams: f64,
    pub bytes: f64,
    pub false_suspicions: usize,
    pub false_deaths: usize,
    end: f64,
}

impl Timeline {
    pub fn from_records(records: &[HistoryRecord]) -> Self {
        let mut timeline = Self { end: records.last().map_or(0.0, |record| record.at), ..Self::default() };
        for HistoryRecord { at, event } in records {
            timeline.observe(*at, event);
        }
        timeline
    }

    fn observe(&mut self, at: f64, event: &HistoryEvent) {
        match *event {
            HistoryEvent::IncarnationObserved { gateway, incarnation } => {
                self.processes.push(Process { incarnation, gateway, started: at, ended: f64::INFINITY });
            }
            HistoryEvent::GatewayKilled { gateway } => self.end_processes(at, gateway),
            HistoryEvent::GatewayPaused { gateway } => {
                self.paused.insert(gateway);
            }
            HistoryEvent::GatewayResumed { gateway } => {
                self.paused.remove(&gateway);
            }
            HistoryEvent::DatagramSent { bytes, .. } => {
                self.datagrams += 1.0;
                self.bytes += bytes as f64;
            }
            HistoryEvent::LinksHealed => self.healed.push(at),
            HistoryEvent::MemberStateReported { gateway, about, incarnation, state } => {
                if self.is_running(incarnation) && !self.paused.contains(&about) {
                    self.false_suspicions += usize::from(state == SUSPECT);
                    self.false_deaths += usize::from(state == DEAD);
                }
                self.reports.entry((gateway, incarnation)).or_default().push(StateReport { at, state });
            }
            _ => {}
        }
    }

    fn end_processes(&mut self, at: f64, gateway: usize) {
        let running = |process: &&mut Process| process.gateway == gateway && process.ended.is_infinite();
        self.processes.iter_mut().filter(running).for_each(|process| process.ended = at);
    }

    /// Whether a process is running at the current position in the history.
    fn is_running(&self, incarnation: u64) -> bool {
        self.processes.iter().any(|process| process.incarnation == incarnation && process.ended.is_infinite())
    }

    /// Total uptime of all processes, in seconds.
    pub fn uptime(&self) -> f64 {
        self.processes.iter().map(|process| process.ended.min(self.end) - process.started).sum()
    }

    /// Seconds from `from` until a gateway first reported a state of a process that matches `is_state`. `None` if the gateway
    /// was not running at `from` or was killed before it reported such a state.
    pub fn detection(
        &self,
        gateway: usize,
        incarnation: u64,
        from: f64,
        is_state: impl Fn(u8) -> bool,
    ) -> Option<Detection> {
        let observer =
            self.processes.iter().find(|process| process.gateway == gateway && process.runs_at(from))?;
        let mut reports = self.reports_of(gateway, incarnation);
        let first = reports.find(|report| report.at >= from && is_state(report.state));
        match first.filter(|report| report.at <= observer.ended) {
            Some(report) => Some(Detection::After(report.at - from)),
            None if observer.ended.is_finite() => None,
            None => Some(Detection::Never),
        }
    }

    /// Whether a gateway's last report of a process up to a time was that it is gone.
    pub fn last_reported_dead(&self, gateway: usize, incarnation: u64, at: f64) -> bool {
        let until = self.reports_of(gateway, incarnation).take_while(|report| report.at <= at);
        until.last().is_some_and(|report| report.state >= DEAD)
    }

    fn reports_of(&self, gateway: usize, incarnation: u64) -> impl Iterator<Item = &StateReport> {
        self.reports.get(&(gateway, incarnation)).into_iter().flatten()
    }
}
