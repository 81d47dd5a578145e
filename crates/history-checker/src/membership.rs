//! What gateways knew of each other: how soon they noticed starts, ends and healed partitions, what they suspected wrongly,
//! and how many datagrams that took.

mod detection;
mod timeline;

pub use detection::DetectionTimes;

use crate::event::HistoryRecord;
use detection::Detection;
use serde::Serialize;
use timeline::{ALIVE, DEAD, Process, Timeline};

/// What membership cost in a history, and how soon gateways learnt of changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MembershipObservations {
    /// Datagrams a second of a gateway, on average while it was up.
    #[serde(rename = "letters")]
    pub datagrams_per_second: f64,
    /// Their bytes a second.
    #[serde(rename = "bytes")]
    pub bytes_per_second: f64,
    /// Times that a gateway stated another to be suspect whose process ran.
    pub false_suspicions: usize,
    /// Times that a gateway stated another to be dead whose process ran.
    pub false_deaths: usize,
    /// From a process's end until another gateway stated it to be dead.
    pub death: DetectionTimes,
    /// From a process's start until another gateway stated it to be alive.
    pub join: DetectionTimes,
    /// From the healing of a partition until a gateway stated one to be alive that it had taken for dead.
    pub healing: DetectionTimes,
}

/// What the gateways of a history knew of each other. Records are in the order of time.
pub fn membership_observations(records: &[HistoryRecord], gateways: usize) -> MembershipObservations {
    let timeline = Timeline::from_records(records);
    let uptime = timeline.uptime().max(1e-9);
    MembershipObservations {
        datagrams_per_second: timeline.datagrams / uptime,
        bytes_per_second: timeline.bytes / uptime,
        false_suspicions: timeline.false_suspicions,
        false_deaths: timeline.false_deaths,
        death: DetectionTimes::from_detections(deaths(&timeline, gateways)),
        join: DetectionTimes::from_detections(joins(&timeline, gateways)),
        healing: DetectionTimes::from_detections(healings(&timeline, gateways)),
    }
}

fn other_gateways(gateway: usize, gateways: usize) -> impl Iterator<Item = usize> {
    (0..gateways).filter(move |other| *other != gateway)
}

fn deaths(timeline: &Timeline, gateways: usize) -> Vec<Detection> {
    let ended = timeline.processes.iter().filter(|process| process.ended.is_finite());
    let detected = |process: &Process| -> Vec<_> {
        let is_dead = |state| state >= DEAD;
        let others = other_gateways(process.gateway, gateways);
        others.filter_map(|o| timeline.detection(o, process.incarnation, process.ended, is_dead)).collect()
    };
    ended.flat_map(detected).collect()
}

fn joins(timeline: &Timeline, gateways: usize) -> Vec<Detection> {
    let detected = |process: &Process| -> Vec<_> {
        let is_alive = |state| state == ALIVE;
        let others = other_gateways(process.gateway, gateways);
        others.filter_map(|o| timeline.detection(o, process.incarnation, process.started, is_alive)).collect()
    };
    timeline.processes.iter().flat_map(detected).collect()
}

fn healings(timeline: &Timeline, gateways: usize) -> Vec<Detection> {
    let mut detections = Vec::new();
    for &healed in &timeline.healed {
        for process in timeline.processes.iter().filter(|process| process.runs_at(healed)) {
            let incarnation = process.incarnation;
            let had_reported_dead = |other: &usize| timeline.last_reported_dead(*other, incarnation, healed);
            let others = other_gateways(process.gateway, gateways).filter(had_reported_dead);
            detections.extend(
                others.filter_map(|o| timeline.detection(o, incarnation, healed, |state| state == ALIVE)),
            );
        }
    }
    detections
}
