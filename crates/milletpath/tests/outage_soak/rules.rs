//! Checks the rules of a day against what was observed on the sockets of clients and workers.

use crate::client::{CALL_TIMEOUT, CallEnd, CallRecord, router_of};
use crate::day::Day;
use crate::scheduling_delay::{SchedulingDelay, max_delay_near};
use milletpath_test_support::platform_rig::{TimedFrame, WorkerCondition};
use milletpath_test_support::worker_frames::request;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

/// The drain grace in the test rig's settings: how long a draining worker may still get new work.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// Tolerance that is added to every time limit.
const SLACK: Duration = Duration::from_millis(50);
/// How long after the client's timeout an answer still counts as in time.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long after its client has left an attempt may still begin.
const DEPARTURE_SLACK: Duration = Duration::from_millis(100);
/// A call written at most this long before its connection is closed may stay unanswered: the two cross, and a client
/// sends it again.
const CROSSING_WINDOW: Duration = Duration::from_millis(50);

/// A period in which a router may not receive events from discovery: they count as delivered at its end.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryDelay {
    pub router: usize,
    pub from: Instant,
    pub until: Instant,
}

impl DeliveryDelay {
    /// The longest period, after silence of discovery or a change of its address.
    pub const MAX: Duration = Duration::from_secs(4);
}

/// A change of a worker's condition that was published as a discovery event.
#[derive(Clone, Copy, Debug)]
pub struct WorkerChange {
    pub worker: usize,
    pub condition: WorkerCondition,
    pub at: Instant,
}

/// A period in which a router was paused by SIGSTOP.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    pub router: usize,
    pub from: Instant,
    pub until: Instant,
}

/// Everything that was observed during a day.
#[derive(Debug, Default)]
pub struct Observations {
    pub calls: Vec<CallRecord>,
    /// The frames that each worker received.
    pub frames: Vec<Vec<TimedFrame>>,
    pub changes: Vec<WorkerChange>,
    pub delivery_delays: Vec<DeliveryDelay>,
    /// Periods in which routers were paused by SIGSTOP.
    pub pauses: Vec<Pause>,
    /// Routers that were killed without SIGTERM before, and when.
    pub kills: Vec<(usize, Instant)>,
    pub scheduling_delays: Vec<SchedulingDelay>,
}

/// A violation of a rule.
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

/// The result of a day.
#[derive(Debug)]
pub struct SoakResult {
    pub violations: Vec<Violation>,
    /// Number of violations that scheduling delays of this machine explain.
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
             {health_checks} health checks, {} violations, {} explained by scheduling delays ({} ms at most)",
            self.violations.len(),
            self.attributed_to_delay,
            self.max_delay.as_millis()
        )
    }
}

/// Collects the violations of a day.
struct RuleChecker<'o> {
    began: Instant,
    seen: &'o Observations,
    violations: Vec<Violation>,
    attributed_to_delay: usize,
}

/// Checks the observations of a day that began at `began` against all rules.
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
    /// Records an event at `at` that exceeded its limit by `excess`. It does not count as a violation if this machine
    /// had a scheduling delay of at least that length around that time.
    fn record_violation(&mut self, rule: &'static str, at: Instant, excess: Duration, what: String) {
        if excess <= max_delay_near(&self.seen.scheduling_delays, at) {
            self.attributed_to_delay += 1;
            return;
        }
        let second = (at.max(self.began) - self.began).as_secs_f64();
        self.violations.push(Violation { rule, second, what });
    }

    /// Rule: each call gets one final answer in time.
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

    /// The time until which a call must be answered. A router that is paused meanwhile may answer after it resumes.
    fn answer_limit(&self, call: &CallRecord) -> Instant {
        let limit = call.sent_at + CALL_TIMEOUT + ANSWER_SLACK + SLACK;
        let of_router = self.seen.pauses.iter().filter(|pause| pause.router == call.router);
        let spanning = of_router.filter(|pause| pause.from <= limit && pause.until >= call.sent_at);
        spanning.map(|pause| pause.until + ANSWER_SLACK + SLACK).fold(limit, Instant::max)
    }

    /// Whether the router was killed without SIGTERM while the call was open.
    fn was_killed(&self, call: &CallRecord) -> bool {
        let is_its_kill = |&(router, at): &(usize, Instant)| {
            router == call.router && at >= call.sent_at && at <= call.ended_at
        };
        self.seen.kills.iter().any(is_its_kill)
    }

    /// The time at which a change counts as delivered to a router.
    fn delivered_at(&self, router: usize, at: Instant) -> Instant {
        let of_router = self.seen.delivery_delays.iter().filter(|delay| delay.router == router);
        let applies = of_router.filter(|delay| delay.from <= at + SLACK && at <= delay.until);
        applies.map(|delay| delay.until).fold(at, Instant::max)
    }

    /// Rule: a worker that is draining or gone gets no new work once the drain grace has passed after the delivery of
    /// the change.
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
                            "worker {worker} {:?} received {:?} from router {}, {:.3} s after the change was delivered",
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

    /// Rule: no attempt begins for a client that has left.
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

    /// Rule: the remaining time forwarded to a worker is at most what the client has left.
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
            // The router measures from the time at which it read the call, and does not detect a pause of up to 0.25 s.
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

    /// Rule: a non-idempotent call runs at most once. Ready workers run the attempts that they receive, and hung ones
    /// may.
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
