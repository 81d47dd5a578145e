//! Judges a day by what was seen on the sockets of clients and workers.

use crate::client::{CallEnd, CallRecord, PATIENCE, router_of};
use crate::day::Day;
use crate::lateness::{Lateness, latest_near};
use milletpath_test_support::platform_rig::{TimedFrame, WorkerCondition};
use milletpath_test_support::worker_frames::request;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

/// The grace for draining workers in the rig's settings.
const GRACE: Duration = Duration::from_millis(500);
/// Slack of every time limit.
const SLACK: Duration = Duration::from_millis(50);
/// How long after its time an answer still counts.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long after its client left an attempt may begin.
const GONE_SLACK: Duration = Duration::from_millis(100);
/// A request that crosses the end of its connection within this is sent once more.
const CROSSING: Duration = Duration::from_millis(50);

/// A time in which events count as told to a router only at its end.
#[derive(Clone, Copy, Debug)]
pub struct Notice {
    pub router: usize,
    pub from: Instant,
    pub until: Instant,
}

impl Notice {
    /// After a silence, and after a change of discovery's address.
    pub const LONGEST: Duration = Duration::from_secs(4);
}

/// A change of a worker that discovery has an event for.
#[derive(Clone, Copy, Debug)]
pub struct WorkerChange {
    pub worker: usize,
    pub condition: WorkerCondition,
    pub at: Instant,
}

/// A time in which a router was stopped by SIGSTOP.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    pub router: usize,
    pub from: Instant,
    pub until: Instant,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Observations {
    pub calls: Vec<CallRecord>,
    /// The frames that each worker received.
    pub frames: Vec<Vec<TimedFrame>>,
    pub changes: Vec<WorkerChange>,
    pub notices: Vec<Notice>,
    /// Times in which a router was stopped by SIGSTOP.
    pub pauses: Vec<Pause>,
    /// Routers that were killed outright, without SIGTERM.
    pub kills: Vec<(usize, Instant)>,
    pub lateness: Vec<Lateness>,
}

/// A rule that was broken.
#[derive(Debug)]
pub struct Break {
    rule: &'static str,
    second: f64,
    what: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:.3} s: {}", self.rule, self.second, self.what)
    }
}

/// What a day came to.
#[derive(Debug)]
pub struct Verdict {
    pub breaks: Vec<Break>,
    /// Breaks that the machine's lateness explains.
    excused: usize,
    calls: usize,
    served: usize,
    rejected: usize,
    drains: usize,
    restarts: usize,
    routers: usize,
    health_checks: usize,
    latest: Duration,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { calls, served, rejected, drains, restarts, routers, health_checks, .. } = self;
        write!(
            f,
            "{routers} routers, {calls} calls, {served} served, {rejected} rejected, {drains} drains, {restarts} restarts, \
             {health_checks} health checks, {} breaks, {} by a late machine ({} ms at most)",
            self.breaks.len(),
            self.excused,
            self.latest.as_millis()
        )
    }
}

struct Judge<'o> {
    began: Instant,
    seen: &'o Observations,
    breaks: Vec<Break>,
    excused: usize,
}

/// Judges a day that began then.
pub fn judge(day: &Day, began: Instant, seen: &Observations) -> Verdict {
    let mut judge = Judge { began, seen, breaks: Vec::new(), excused: 0 };
    judge.every_call_is_answered();
    judge.drains_are_kept();
    judge.nothing_begins_for_clients_that_left();
    judge.deadlines_sent_on_are_what_is_left();
    if !day.effect.is_repeatable {
        judge.nothing_runs_twice();
    }
    let count = |end| seen.calls.iter().filter(|call| call.end == end).count();
    let changes = |condition| seen.changes.iter().filter(|change| change.condition == condition).count();
    let is_check = |frame: &&TimedFrame| {
        matches!(frame.frame.code, request::HEALTH_CHECK | request::HEALTH_CHECK_WITH_LOAD)
    };
    Verdict {
        breaks: judge.breaks,
        excused: judge.excused,
        calls: seen.calls.len(),
        served: count(CallEnd::Served),
        rejected: count(CallEnd::Rejected),
        drains: changes(WorkerCondition::Draining),
        restarts: changes(WorkerCondition::Gone),
        routers: day.routers,
        health_checks: seen.frames.iter().flatten().filter(is_check).count(),
        latest: latest_near_any(&seen.lateness),
    }
}

fn latest_near_any(records: &[Lateness]) -> Duration {
    records.iter().map(|record| record.late()).max().unwrap_or_default()
}

impl Judge<'_> {
    /// Records something that happened at `at`, by `excess` past its limit. The machine explains it where it was late by
    /// more than that around then.
    fn broken(&mut self, rule: &'static str, at: Instant, excess: Duration, what: String) {
        if excess <= latest_near(&self.seen.lateness, at) {
            self.excused += 1;
            return;
        }
        let second = (at.max(self.began) - self.began).as_secs_f64();
        self.breaks.push(Break { rule, second, what });
    }

    /// Each call has one final answer, in its time.
    fn every_call_is_answered(&mut self) {
        for call in &self.seen.calls {
            let age = call.ended_at - call.sent_at;
            match call.end {
                CallEnd::Served | CallEnd::Rejected | CallEnd::Failed => {
                    let limit = self.answer_limit(call);
                    if call.ended_at > limit {
                        let excess = call.ended_at - limit;
                        self.broken("answered in time", call.ended_at, excess, format!("{call:?}"));
                    }
                }
                CallEnd::GivenUp => {}
                CallEnd::ConnectionEnded if age <= CROSSING || self.was_killed(call) => {}
                CallEnd::ConnectionEnded => {
                    let excess = age - CROSSING;
                    self.broken("answered", call.ended_at, excess, format!("{call:?}"));
                }
                CallEnd::Nothing | CallEnd::WrongAnswer => {
                    if !self.was_killed(call) {
                        let second = (call.ended_at - self.began).as_secs_f64();
                        let what = format!("{call:?}");
                        self.breaks.push(Break { rule: "answered", second, what });
                    }
                }
            }
        }
    }

    /// When its answer has to have come. A router that was stopped at that time answers once it goes on.
    fn answer_limit(&self, call: &CallRecord) -> Instant {
        let limit = call.sent_at + PATIENCE + ANSWER_SLACK + SLACK;
        let of_router = self.seen.pauses.iter().filter(|pause| pause.router == call.router);
        let spanning = of_router.filter(|pause| pause.from <= limit && pause.until >= call.sent_at);
        spanning.map(|pause| pause.until + ANSWER_SLACK + SLACK).fold(limit, Instant::max)
    }

    /// Whether the call was open when its router was killed outright.
    fn was_killed(&self, call: &CallRecord) -> bool {
        let is_its_kill = |&(router, at): &(usize, Instant)| {
            router == call.router && at >= call.sent_at && at <= call.ended_at
        };
        self.seen.kills.iter().any(is_its_kill)
    }

    /// When a change counts as told to a router.
    fn told_at(&self, router: usize, at: Instant) -> Instant {
        let of_router = self.seen.notices.iter().filter(|notice| notice.router == router);
        let applies = of_router.filter(|notice| notice.from <= at + SLACK && at <= notice.until);
        applies.map(|notice| notice.until).fold(at, Instant::max)
    }

    /// No new work goes to a worker that drains or is gone, from a grace after that counts as told.
    fn drains_are_kept(&mut self) {
        for (worker, frames) in self.seen.frames.iter().enumerate() {
            let changes: Vec<_> = self.seen.changes.iter().filter(|change| change.worker == worker).collect();
            for (index, change) in changes.iter().enumerate() {
                if !matches!(change.condition, WorkerCondition::Draining | WorkerCondition::Gone) {
                    continue;
                }
                let ends = changes.get(index + 1).map(|next| next.at);
                let is_within = |frame: &&TimedFrame| {
                    frame.at > change.at && ends.is_none_or(|end| frame.at < end) && frame.is_new_work()
                };
                for frame in frames.iter().filter(is_within) {
                    let told = self.told_at(frame.listener, change.at);
                    let limit = told + GRACE + SLACK;
                    if frame.at > limit {
                        let what = format!(
                            "worker {worker} {:?} got {:?} of router {}, told {:.3} s before",
                            change.condition,
                            frame.frame,
                            frame.listener,
                            (frame.at - told).as_secs_f64()
                        );
                        self.broken("drain", frame.at, frame.at - limit, what);
                    }
                }
            }
        }
    }

    /// No attempt begins for a client that has left.
    fn nothing_begins_for_clients_that_left(&mut self) {
        let left: BTreeMap<u64, Instant> = self
            .seen
            .calls
            .iter()
            .filter(|call| call.end == CallEnd::GivenUp)
            .map(|call| (call.id, call.ended_at))
            .collect();
        for frame in self.seen.frames.iter().flatten().filter(|frame| frame.frame.code == request::ATTEMPT) {
            let Some(&left_at) = left.get(&frame.frame.id) else { continue };
            let limit = left_at + GONE_SLACK + SLACK;
            if frame.at > limit {
                self.broken("client left", frame.at, frame.at - limit, format!("{:?}", frame.frame));
            }
        }
    }

    /// The time that is sent on to a worker is at most what its client has left.
    fn deadlines_sent_on_are_what_is_left(&mut self) {
        let sent: BTreeMap<u64, Instant> =
            self.seen.calls.iter().map(|call| (call.id, call.sent_at)).collect();
        for frame in self.seen.frames.iter().flatten().filter(|frame| frame.frame.code == request::ATTEMPT) {
            let Some(&sent_at) = sent.get(&frame.frame.id) else { continue };
            let budget = frame.frame.fields.split(',').find_map(|field| field.strip_prefix("budget="));
            let Some(budget) = budget.and_then(|budget| budget.parse().ok()).map(Duration::from_millis)
            else {
                continue;
            };
            let ends = frame.at + budget;
            // The router counts from when it read the call; a pause of up to a quarter of a second is not seen.
            let limit = sent_at + PATIENCE + SLACK + Duration::from_millis(150);
            if ends > limit {
                self.broken("deadline sent on", frame.at, ends - limit, format!("{:?}", frame.frame));
            }
        }
    }

    /// A call that must not be repeated runs once: a worker that was ready has it, or one that hung may have.
    fn nothing_runs_twice(&mut self) {
        let mut run = BTreeSet::new();
        let attempts = self.seen.frames.iter().flatten().filter(|frame| frame.frame.code == request::ATTEMPT);
        let may_run =
            |frame: &&TimedFrame| matches!(frame.condition, WorkerCondition::Ready | WorkerCondition::Hung);
        for frame in attempts.filter(may_run) {
            if !run.insert(frame.frame.id) {
                let second = (frame.at - self.began).as_secs_f64();
                let what = format!("{:?} by router {}", frame.frame, router_of(frame.frame.id));
                self.breaks.push(Break { rule: "runs once", second, what });
            }
        }
    }
}
