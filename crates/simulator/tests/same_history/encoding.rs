//! The canonical encoding of a history: a number for each kind of event, then its figures. The numbers are written out
//! here, so that names of variants and fields may change and the order of their declaration too.

use super::digest::Digest;
use milletpath_history_checker::{Broken, Effect, Ended, Record, Saw};
use milletpath_simulator::Came;

fn outcome_number(how: Ended) -> u64 {
    match how {
        Ended::Handled => 1,
        Ended::Bounced => 2,
        Ended::Terminated => 3,
        Ended::Unreached => 4,
        Ended::Broken => 5,
        Ended::Unanswered => 6,
        Ended::Left => 7,
    }
}

fn effect_number(effect: Effect) -> u64 {
    match effect {
        Effect::Pure => 1,
        Effect::Receipted => 2,
        Effect::Effectful => 3,
    }
}

/// A number that may be missing: 0 where it is, else the number and one more.
fn optional(number: Option<usize>) -> u64 {
    number.map_or(0, |number| number as u64 + 1)
}

/// Adds one event to the digest.
pub fn encode_event(record: &Record, digest: &mut Digest) {
    digest.figure(record.at);
    match record.saw {
        Saw::Asked { call, attempt, gateway, patience } => {
            numbers(digest, [1, call, u64::from(attempt), gateway as u64]);
            digest.figure(patience);
        }
        Saw::Call { call, group, importance, due, effect, trouble } => {
            numbers(digest, [2, call, group as u64, effect_number(effect), optional(trouble)]);
            digest.figure(importance);
            digest.figure(due);
        }
        Saw::Ended { call, attempt, gateway, how } => {
            numbers(digest, [3, call, u64::from(attempt), gateway as u64, outcome_number(how)]);
        }
        Saw::Came { call, attempt, gateway, worker, work } => {
            numbers(digest, [4, call, u64::from(attempt), gateway as u64, worker as u64]);
            digest.figure(work);
        }
        Saw::Over { gateway, worker } => numbers(digest, [5, gateway as u64, worker as u64]),
        Saw::Ran { call, worker } => numbers(digest, [6, call, worker as u64]),
        Saw::Ordered { gateway, worker } => numbers(digest, [7, gateway as u64, worker as u64]),
        Saw::Started { worker, capacity, warm } => {
            numbers(digest, [8, worker as u64, u64::from(warm)]);
            digest.figure(capacity);
        }
        Saw::Told { gateway, worker, ready } => {
            numbers(digest, [9, gateway as u64, worker as u64, u64::from(ready)]);
        }
        Saw::Killed { gateway } => numbers(digest, [10, gateway as u64]),
        Saw::Back { gateway } => numbers(digest, [11, gateway as u64]),
        Saw::Still { gateway } => numbers(digest, [12, gateway as u64]),
        Saw::Moves { gateway } => numbers(digest, [13, gateway as u64]),
        Saw::Sent { gateway, bytes } => numbers(digest, [14, gateway as u64, bytes as u64]),
        Saw::Lives { gateway, life } => numbers(digest, [15, gateway as u64, life]),
        Saw::Says { gateway, about, life, state } => {
            numbers(digest, [16, gateway as u64, about as u64, life, u64::from(state)]);
        }
        Saw::Mended => numbers(digest, [17]),
    }
}

fn numbers<const N: usize>(digest: &mut Digest, numbers: [u64; N]) {
    numbers.into_iter().for_each(|number| digest.number(number));
}

/// Adds the figures of a report, without its history.
pub fn encode_report(came: &Came, digest: &mut Digest) {
    for Broken { rule, at, what } in &came.broken {
        digest.number(u64::from(*rule));
        digest.figure(*at);
        what.bytes().for_each(|byte| digest.number(u64::from(byte)));
    }
    let counts = &came.whole;
    numbers(digest, [counts.calls, counts.handled, counts.late, counts.bounced, counts.terminated]);
    numbers(digest, [counts.unanswered, counts.tries]);
    digest.figure(counts.asked);
    digest.figure(counts.earned);
    numbers(digest, [came.fetches, came.refusals]);
    digest.figure(came.warm);
    numbers(digest, [came.tally.attempts, came.tally.load_requests, came.tally.health_checks]);
    digest.figure(came.bytes);
}
