//! Judges a day by what was seen on the sockets of clients and workers.

use crate::client::{CALL_TIMEOUT, CallEnd, CallRecord, router_of};
use crate::day::Day;
use crate::scheduling_delay::{SchedulingDelay, max_delay_near};
use milletpath_test_support::platform_rig::{TimedFrame, WorkerCondition};
use milletpath_test_support::worker_frames::request;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

/// The grace for draining workers in the rig's settings.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Slack of every time limit.
const SLACK: Duration = Duration::from_millis(50);
/// How long after its time an answer still counts.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long after its client left an attempt may begin.
const DEPARTURE_SLACK: Duration = Duration::from_millis(100);
/// A request that crosses the end of its connection within this is sent once more.
const CROSSING_WINDOW: Duration = Duration::from_millis(50);

/// A time in which events count as told to a router only at its end.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryDelay {
    pub router: usize,
    pub from: Instant,
    pub until: Instant,
}

impl DeliveryDelay {
    /// After a silence, and after a change of discovery's address.
    pub const MAX: Duration = Duration::from_secs(4);
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
    pub delivery_delays: Vec<DeliveryDelay>,
    /// Times in which a router was stopped by SIGSTOP.
    pub pauses: Vec<Pause>,
    /// Routers that were killed outright, without SIGTERM.
    pub kills: Vec<(usize, Instant)>,
    pub scheduling_delays: Vec<SchedulingDelay>,
}

/// A rule that was broken.
#[derive(Debug)]
pub struct Violation {
    rule: &'static str,
    second: f64,
    what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:.3} s: {}", self.rule, self.second, self.what)
    }
}

/// What a day came to.
#[derive(Debug)]
pub struct SoakResult {
    pub violations: Vec<Violation>,
    /// Breaks that the machine's lateness explains.
    attributed_to_delay: usize,
    calls: usize,
    served: usize,
    rejected: usize,
    drains: usize,
    restarts: usize,
    routers: usize,
    health_checks: usize,
    max_delay: Duration,
}

impl fmt::Display for SoakResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { calls, served, rejected, drains, restarts, routers, health_checks, .. } = self;
        write!(
            f,
            "{routers} routers, {calls} calls, {served} served, {rejected} rejected, {drains} drains, {restarts} restarts, \
             {health_checks} health checks, {} breaks, {} by a late machine ({} ms at most)",
            self.violations.len(),
            self.attributed_to_delay,
            self.max_delay.as_millis()
        )
    }
}

struct RuleChecker<'o> {
    began: Instant,
    seen: &'o Observations,
    violations: Vec<Violation>,
    attributed_to_delay: usize,
}

/// Judges a day that began then.
pub fn check_rules(day: &Day, began: Instant, seen: &Observations) -> SoakResult {
    let mut checker = RuleChecker { began, seen, violations: Vec::new(), attributed_to_delay: 0 };
    checker.check_answers();
    checker.check_drains();
    checker.check_departed_clients();
    checker.check_forwarded_deadlines();
    if !day.effect.is_repeatable {
        checker.check_single_runs();
    }
    let count = |end| seen.calls.iter().filter(|call| call.end == end).count();
    let changes = |condition| seen.changes.iter().filter(|change| change.condition == condition).count();
    let is_health_check = |frame: &&TimedFrame| {
        matches!(frame.frame.code, request::HEALTH_CHECK | request::HEALTH_CHECK_WITH_LOAD)
    };
    SoakResult {
        violations: checker.violations,
        attributed_to_delay: checker.attributed_to_delay,
        calls: seen.calls.len(),
        served: count(CallEnd::Served),
        rejected: count(CallEnd::Rejected),
        drains: changes(WorkerCondition::Draining),
        restarts: changes(WorkerCondition::Gone),
        routers: day.routers,
        health_checks: seen.frames.iter().flatten().filter(is_health_check).count(),
        max_delay: max_delay(&seen.scheduling_delays),
    }
}

fn max_delay(records: &[SchedulingDelay]) -> Duration {
    records.iter().map(|record| record.delay()).max().unwrap_or_default()
}

impl RuleChecker<'_> {
    /// Records something that happened at `at`, by `excess` past its limit. The machine explains it where it was late
    /// by more than that around then.
    fn record_violation(&mut self, rule: &'static str, at: Instant, excess: Duration, what: String) {
        if excess <= max_delay_near(&self.seen.scheduling_delays, at) {
            self.attributed_to_delay += 1;
            return;
        }
        let second = (at.max(self.began) - self.began).as_secs_f64();
        self.violations.push(Violation { rule, second, what });
    }

    /// Each call has one final answer, in its time.
    fn check_answers(&mut self) {
        for call in &self.seen.calls {
            let age = call.ended_at - call.sent_at;
            match call.end {
                CallEnd::Served | CallEnd::Rejected | CallEnd::Failed => {
                    let limit = self.answer_limit(call);
                    if call.ended_at > limit {
                        let excess = call.ended_at - limit;
                        self.record_violation("answered in time", call.ended_at, excess, format!("{call:?}"));
                    }
                }
                CallEnd::GivenUp => {}
                CallEnd::ConnectionEnded if age <= CROSSING_WINDOW || self.was_killed(call) => {}
                CallEnd::ConnectionEnded => {
                    let excess = age - CROSSING_WINDOW;
                    self.record_violation("answered", call.ended_at, excess, format!("{call:?}"));
                }
                CallEnd::Nothing | CallEnd::WrongAnswer => {
                    if !self.was_killed(call) {
                        let second = (call.ended_at - self.began).as_secs_f64();
                        let what = format!("{call:?}");
                        self.violations.push(Violation { rule: "answered", second, what });
                    }
                }
            }
        }
    }

    /// When its answer has to have come. A router that was stopped at that time answers once it goes on.
    fn answer_limit(&self, call: &CallRecord) -> Instant {
        let limit = call.sent_at + CALL_TIMEOUT + ANSWER_SLACK + SLACK;
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
    fn delivered_at(&self, router: usize, at: Instant) -> Instant {
        let of_router = self.seen.delivery_delays.iter().filter(|delay| delay.router == router);
        let applies = of_router.filter(|delay| delay.from <= at + SLACK && at <= delay.until);
        applies.map(|delay| delay.until).fold(at, Instant::max)
    }

    /// No new work goes to a worker that drains or is gone, from a grace after that counts as told.
    fn check_drains(&mut self) {
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
                    let delivered = self.delivered_at(frame.listener, change.at);
                    let limit = delivered + DRAIN_GRACE + SLACK;
                    if frame.at > limit {
                        let what = format!(
                            "worker {worker} {:?} got {:?} of router {}, told {:.3} s before",
                            change.condition,
                            frame.frame,
                            frame.listener,
                            (frame.at - delivered).as_secs_f64()
                        );
                        self.record_violation("drain", frame.at, frame.at - limit, what);
                    }
                }
            }
        }
    }

    /// No attempt begins for a client that has left.
    fn check_departed_clients(&mut self) {
        let left: BTreeMap<u64, Instant> = self
            .seen
            .calls
            .iter()
            .filter(|call| call.end == CallEnd::GivenUp)
            .map(|call| (call.id, call.ended_at))
            .collect();
        for frame in self.seen.frames.iter().flatten().filter(|frame| frame.frame.code == request::ATTEMPT) {
            let Some(&left_at) = left.get(&frame.frame.id) else { continue };
            let limit = left_at + DEPARTURE_SLACK + SLACK;
            if frame.at > limit {
                self.record_violation(
                    "client left",
                    frame.at,
                    frame.at - limit,
                    format!("{:?}", frame.frame),
                );
            }
        }
    }

    /// The time that is sent on to a worker is at most what its client has left.
    fn check_forwarded_deadlines(&mut self) {
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
            let limit = sent_at + CALL_TIMEOUT + SLACK + Duration::from_millis(150);
            if ends > limit {
                self.record_violation(
                    "deadline sent on",
                    frame.at,
                    ends - limit,
                    format!("{:?}", frame.frame),
                );
            }
        }
    }

    /// A call that must not be repeated runs once: a worker that was ready has it, or one that hung may have.
    fn check_single_runs(&mut self) {
        let mut run = BTreeSet::new();
        let attempts = self.seen.frames.iter().flatten().filter(|frame| frame.frame.code == request::ATTEMPT);
        let may_run =
            |frame: &&TimedFrame| matches!(frame.condition, WorkerCondition::Ready | WorkerCondition::Hung);
        for frame in attempts.filter(may_run) {
            if !run.insert(frame.frame.id) {
                let second = (frame.at - self.began).as_secs_f64();
                let what = format!("{:?} by router {}", frame.frame, router_of(frame.frame.id));
                self.violations.push(Violation { rule: "runs once", second, what });
            }
        }
    }
}
