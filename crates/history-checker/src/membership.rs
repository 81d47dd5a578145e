//! The membership that gateways observed of each other: detection times for starts, ends and healed partitions, false
//! suspicions, and datagram traffic.

mod detection;
mod timeline;

pub use detection::DetectionTimes;

use crate::event::HistoryRecord;
use detection::Detection;
use serde::Serialize;
use timeline::{ALIVE, DEAD, Process, Timeline};

/// The cost of membership in a history, and how soon gateways detected changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MembershipObservations {
    /// Datagrams per second that a gateway sent, averaged over its uptime.
    #[serde(rename = "letters")]
    pub datagrams_per_second: f64,
    /// Bytes per second of those datagrams.
    #[serde(rename = "bytes")]
    pub bytes_per_second: f64,
    /// How often a gateway reported another as suspect although its process was running.
    pub false_suspicions: usize,
    /// How often a gateway reported another as dead although its process was running.
    pub false_deaths: usize,
    /// Time from a process's end until another gateway reported it as dead.
    pub death: DetectionTimes,
    /// Time from a process's start until another gateway reported it as alive.
    pub join: DetectionTimes,
    /// Time from the healing of a partition until a gateway reported as alive one that it had considered dead.
    pub healing: DetectionTimes,
}

/// Measures the membership that the gateways observed. `records` must be in chronological order.
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
