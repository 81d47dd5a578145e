//! Stories at the desk, in simulated time: no sockets, no clocks. The last one plays thousands of random histories.

#[path = "dispatcher/config_changes.rs"]
mod config_changes;
#[path = "dispatcher/interleavings.rs"]
mod interleavings;

use milletpath_config::GatewayConfig;
use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest, RequestId};
use milletpath_policy::host::Outcome;
use milletpath_protocol::registry::{Entry, Standing};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use test_case::test_case;

const EFFECTS: [&str; 3] =
    ["effect = \"pure\"", "effect = \"receipted\"\nmemory = 1", "effect = \"effectful\""];

fn gateway_config(effect: &str, extra: &str) -> GatewayConfig {
    let text = format!(
        "seed = 5\nprofile \"p\" {{\ndue = 1\ncut_off = 3\n{effect}\n}}\nfunctions {{ lanes = 2 }}\nlimits {{ shots = 3 }}\n\
         workers {{\nregistry = \"127.0.0.1:1\"\nconnect = 0.25\norder_wait = 2\n{extra}\n}}\n"
    );
    milletpath_config::read(&text).unwrap_or_else(|m| panic!("{m:#?}"))
}

fn entry(number: u16, state: Standing, started: Option<f64>) -> Entry {
    let (kind, zone, cell) = (String::new(), "z".into(), String::new());
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9000 + number));
    Entry { name: format!("w{number}"), address, started, size: 1.0, kind, zone, cell, state }
}

fn ready(workers: u16) -> Vec<Entry> {
    (0..workers).map(|n| entry(n, Standing::Ready, None)).collect()
}

fn dispatcher(effect: &str, extra: &str, workers: u16) -> Dispatcher<u32> {
    let mut dispatcher = Dispatcher::new(&gateway_config(effect, extra), 1000.0);
    dispatcher.update_endpoints(0.0, true, &ready(workers));
    actions(&mut dispatcher);
    dispatcher
}

fn actions(dispatcher: &mut Dispatcher<u32>) -> Vec<Action> {
    std::iter::from_fn(|| dispatcher.next_action()).collect()
}

fn submit(dispatcher: &mut Dispatcher<u32>, now: f64, patience: f64) -> RequestId {
    let incoming = IncomingRequest {
        function: "f",
        profile: 0,
        client: 9,
        timeout: patience,
        is_retry: false,
        resources: None,
    };
    dispatcher.submit(now, incoming, 0).expect("there is room")
}

fn attempts(actions: &[Action]) -> Vec<(RequestId, usize, usize)> {
    let attempt = |action: &Action| match action {
        Action::SendAttempt { request, attempt, worker } => Some((*request, *attempt, *worker)),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// Lets the desk's timers fire up to a time; what it did, and when.
fn advance_to(dispatcher: &mut Dispatcher<u32>, until: f64) -> Vec<(f64, Action)> {
    let mut performed = Vec::new();
    while let Some(at) = dispatcher.next_deadline().filter(|at| *at <= until) {
        dispatcher.advance(at + 0.0005);
        performed.extend(actions(dispatcher).into_iter().map(|action| (at, action)));
    }
    performed
}

const NO_HEALTH_CHECKS: &str = "probes = false\norders = false";

/// Word of a drain comes while a shot waits for its connection: it is kept back, proven unsent, and goes elsewhere.
#[test_case(Standing::Draining; "draining")]
#[test_case(Standing::Gone; "gone")]
fn attempt_that_still_connects_is_not_sent_to_a_draining_worker(state: Standing) {
    let mut dispatcher = dispatcher(EFFECTS[2], NO_HEALTH_CHECKS, 2);
    let request = submit(&mut dispatcher, 1.0, 2.0);
    let (_, attempt, worker) = attempts(&actions(&mut dispatcher))[0];
    dispatcher.update_endpoints(1.01, false, &[entry(worker as u16, state, None)]);
    assert!(!dispatcher.begin_attempt(1.02, request, attempt));
    let next = attempts(&actions(&mut dispatcher));
    assert_eq!((next.len(), next[0].2), (1, 1 - worker));
    assert!(dispatcher.begin_attempt(1.03, request, next[0].1));
    assert_eq!(dispatcher.counters().suppressed, 1);
}

/// A worker's socket takes no byte of a shot that was let go: it waits as if its connection did, is proven unsent where
/// that lasts, and is asked about anew where it goes after all. It counted as one that may have run.
#[test_case(Standing::Ready, true; "it goes after all")]
#[test_case(Standing::Draining, false; "word of a drain comes first")]
fn unwritten_attempt_is_begun_again_or_moved(state: Standing, goes: bool) {
    let mut dispatcher = dispatcher(EFFECTS[2], NO_HEALTH_CHECKS, 2);
    let request = submit(&mut dispatcher, 1.0, 2.0);
    let (_, attempt, worker) = attempts(&actions(&mut dispatcher))[0];
    assert!(dispatcher.begin_attempt(1.01, request, attempt));
    dispatcher.attempt_not_written(1.02, request, attempt);
    dispatcher.update_endpoints(1.03, false, &[entry(worker as u16, state, None)]);
    assert_eq!(dispatcher.begin_attempt(1.04, request, attempt), goes);
    if goes {
        dispatcher.attempt_not_written(1.05, request, attempt);
        let performed: Vec<_> =
            advance_to(&mut dispatcher, 1.31).into_iter().map(|(_, action)| action).collect();
        assert!(performed.contains(&Action::CancelAttempt { request, attempt }));
        assert_eq!(attempts(&performed)[0].2, 1 - worker);
    } else {
        assert_eq!(attempts(&actions(&mut dispatcher))[0].2, 1 - worker);
    }
}

/// The receipt of a first shot is known for a second from when it went; a repeat decided within that, whose connection
/// is made after it, is not begun. It was asked about at its decision alone.
#[test_case(1.9, true; "within")]
#[test_case(2.1, false; "after")]
fn retry_is_begun_only_while_its_idempotency_key_is_remembered(made: f64, sent: bool) {
    let mut dispatcher = dispatcher(EFFECTS[1], NO_HEALTH_CHECKS, 2);
    let request = submit(&mut dispatcher, 1.0, 2.9);
    let (_, attempt, _) = attempts(&actions(&mut dispatcher))[0];
    assert!(dispatcher.begin_attempt(1.0, request, attempt));
    dispatcher.attempt_ended(1.5, request, attempt, AttemptResult::from_outcome(Outcome::Cut));
    let (_, repeat, _) = attempts(&actions(&mut dispatcher))[0];
    assert_eq!(dispatcher.begin_attempt(made, request, repeat), sent);
    // What may have run in a group that is not all is not bounced.
    assert_eq!(
        actions(&mut dispatcher)
            .iter()
            .any(|action| matches!(action, Action::Fail { .. } | Action::Reject { .. })),
        !sent
    );
}

/// A worker that has a shot out comes back under its name in another zone. Its receipt stays known where it was: a repeat
/// to the zone of the new one was taken for one among those who know it.
#[test]
fn idempotency_key_stays_in_the_zone_of_its_attempt() {
    let zoned = EFFECTS[1].replace("memory = 1", "memory = 2\ngroup = \"zone\"");
    let mut dispatcher = Dispatcher::new(&gateway_config(&zoned, NO_HEALTH_CHECKS), 1000.0);
    let at = |number: u16, zone: &str, started| Entry {
        zone: zone.into(),
        ..entry(number, Standing::Ready, started)
    };
    dispatcher.update_endpoints(0.0, true, &[at(0, "a", None), at(1, "b", None)]);
    actions(&mut dispatcher);
    let request = submit(&mut dispatcher, 10.0, 2.0);
    let (_, attempt, worker) = attempts(&actions(&mut dispatcher))[0];
    let other = ["b", "a"][worker];
    assert!(dispatcher.begin_attempt(10.0, request, attempt));
    dispatcher.update_endpoints(10.1, false, &[at(worker as u16, other, None)]);
    dispatcher.attempt_ended(10.2, request, attempt, AttemptResult::from_outcome(Outcome::Cut));
    assert_eq!(attempts(&actions(&mut dispatcher)), []);
}

/// A worker is replaced by another, with a name never seen, all day long: the tables stay as small as the fleet, and
/// nothing that was believed of the one before holds for who has its index.
#[test]
fn worker_indices_are_reused_when_the_fleet_is_replaced() {
    let mut dispatcher = dispatcher(EFFECTS[0], NO_HEALTH_CHECKS, 1);
    for n in 1..300_u16 {
        let now = f64::from(n) * 5.0;
        dispatcher.update_endpoints(
            now,
            false,
            &[entry(n - 1, Standing::Gone, None), entry(n, Standing::Ready, None)],
        );
        let request = submit(&mut dispatcher, now, 2.0);
        let sent = attempts(&actions(&mut dispatcher));
        let &[(_, attempt, worker)] = &sent[..] else { panic!("one shot at {now}: {sent:?}") };
        assert!(worker < 8, "index {worker} at {now}");
        assert_eq!(dispatcher.worker_process(worker).address, entry(n, Standing::Ready, None).address);
        assert!(
            dispatcher.begin_attempt(now, request, attempt)
                && dispatcher.attempt_ended(
                    now + 0.1,
                    request,
                    attempt,
                    AttemptResult::from_outcome(Outcome::Handled)
                )
        );
        actions(&mut dispatcher);
    }
}

/// A connection that is not made in time proves that nothing ran, whatever the profile.
#[test]
fn connect_timeout_moves_the_attempt_to_another_worker() {
    let mut dispatcher = dispatcher(EFFECTS[2], NO_HEALTH_CHECKS, 2);
    let request = submit(&mut dispatcher, 1.0, 2.0);
    let (_, attempt, worker) = attempts(&actions(&mut dispatcher))[0];
    let performed: Vec<_> = advance_to(&mut dispatcher, 1.3).into_iter().map(|(_, action)| action).collect();
    assert!(performed.contains(&Action::CancelAttempt { request, attempt }));
    assert_eq!(attempts(&performed)[0].2, 1 - worker);
    // What the first connection brings after all is nobody's.
    assert!(!dispatcher.begin_attempt(1.4, request, attempt));
}

/// The clock jumps, as after a standstill: what is overdue is answered at once, and an answer that was waiting in
/// the socket comes too late.
#[test]
fn answer_after_the_deadline_is_discarded() {
    let mut dispatcher = dispatcher(EFFECTS[0], NO_HEALTH_CHECKS, 1);
    let request = submit(&mut dispatcher, 1.0, 1.0);
    actions(&mut dispatcher);
    assert!(dispatcher.begin_attempt(1.0, request, 0));
    assert!(!dispatcher.attempt_ended(5.0, request, 0, AttemptResult::from_outcome(Outcome::Handled)));
    let bounced = actions(&mut dispatcher).iter().any(|a| matches!(a, Action::Reject { .. }));
    assert!(bounced && dispatcher.open_requests() == 0);
}

/// The same name at another address is another process: connections to the old one are not its own.
#[test]
fn worker_at_a_new_address_is_a_new_process() {
    let mut dispatcher = dispatcher(EFFECTS[0], NO_HEALTH_CHECKS, 1);
    let before = dispatcher.worker_process(0);
    let moved =
        Entry { address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9999)), ..entry(0, Standing::Ready, None) };
    dispatcher.update_endpoints(2.0, false, &[moved]);
    let after = dispatcher.worker_process(0);
    assert!(after.address.port() == 9999 && after.process > before.process);
    // The same line again changes nothing.
    let same =
        Entry { address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9999)), ..entry(0, Standing::Ready, None) };
    dispatcher.update_endpoints(3.0, false, &[same]);
    assert_eq!(dispatcher.worker_process(0), after);
}

/// A list that shows nobody: no shot goes out, and what comes is bounced while a retry can still be in time.
#[test]
fn empty_endpoint_list_rejects_requests() {
    let mut dispatcher = dispatcher(EFFECTS[0], NO_HEALTH_CHECKS, 3);
    dispatcher.update_endpoints(1.0, true, &[]);
    let request = submit(&mut dispatcher, 1.5, 3.0);
    let performed = advance_to(&mut dispatcher, 4.6);
    let ended = performed
        .iter()
        .find(|(_, a)| matches!(a, Action::Reject { request: t, .. } if *t == request))
        .expect("an answer");
    assert!(ended.0 < 1.5 + 1.0 && performed.iter().all(|(_, a)| !matches!(a, Action::SendAttempt { .. })));
    dispatcher.update_endpoints(5.0, true, &ready(3));
    submit(&mut dispatcher, 5.0, 3.0);
    assert_eq!(attempts(&actions(&mut dispatcher)).len(), 1);
}

/// An order that is never answered counts as overdue after its wait, and its late answer is nobody's.
#[test]
fn unanswered_load_request_times_out() {
    let mut dispatcher = dispatcher(EFFECTS[0], "probes = false\nmisses = true", 1);
    let request = submit(&mut dispatcher, 1.0, 1.0);
    actions(&mut dispatcher);
    dispatcher.begin_attempt(1.0, request, 0);
    dispatcher.attempt_ended(1.01, request, 0, AttemptResult::from_outcome(Outcome::Missed));
    let load_request = actions(&mut dispatcher).into_iter().find_map(|a| match a {
        Action::LoadFunction { load_request, .. } => Some(load_request),
        _ => None,
    });
    let load_request = load_request.expect("an order");
    advance_to(&mut dispatcher, 3.2);
    assert!(!dispatcher.begin_load_request(3.3, load_request));
    dispatcher.load_request_ended(3.3, load_request, Outcome::Handled, 1);
}

/// A million one-off functions leave as many as were wanted within their time, not a million.
#[test]
fn one_off_functions_are_forgotten() {
    let mut dispatcher = dispatcher(EFFECTS[0], &format!("{NO_HEALTH_CHECKS}\nkeep = 5"), 8);
    let (mut most, each) = (0, 0.005);
    for n in 0..60_000 {
        let now = 1.0 + f64::from(n) * each;
        dispatcher.advance(now);
        actions(&mut dispatcher);
        let function = format!("once-{n}");
        let incoming = IncomingRequest {
            function: &function,
            profile: 0,
            client: 9,
            timeout: 1.0,
            is_retry: false,
            resources: None,
        };
        let request = dispatcher.submit(now, incoming, 0).unwrap();
        for (request, attempt, _) in attempts(&actions(&mut dispatcher)) {
            dispatcher.begin_attempt(now, request, attempt);
            dispatcher.attempt_ended(
                now + 0.001,
                request,
                attempt,
                AttemptResult::from_outcome(Outcome::Handled),
            );
        }
        actions(&mut dispatcher);
        assert!(dispatcher.context(request).is_none());
        most = most.max(dispatcher.function_count());
    }
    // 200 a second, known for the 15 s in which demand fades, and a round of the sweep more.
    assert!(most < 15_000, "{most}");
}

#[derive(Clone, Debug)]
enum Step {
    Submit(f64),
    BeginAttempt(usize),
    NotWritten(usize),
    EndAttempt(usize, Outcome),
    ClientGone(usize),
    UpdateEndpoints(u16, Standing),
    Advance(f64),
    JumpClock(f64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    use Outcome::*;
    let outcome =
        proptest::sample::select(vec![Handled, Handled, Handled, Failed, Full, Unreached, Cut, Missed]);
    let state =
        proptest::sample::select(vec![Standing::Ready, Standing::Ready, Standing::Draining, Standing::Gone]);
    let step = prop_oneof![
        4 => (0.0..3.5f64).prop_map(Step::Submit),
        4 => (0..64usize).prop_map(Step::BeginAttempt),
        4 => (0..64usize, outcome).prop_map(|(n, o)| Step::EndAttempt(n, o)),
        1 => (0..64usize).prop_map(Step::ClientGone),
        1 => (0..9usize).prop_map(Step::NotWritten),
        1 => (0..4u16, state).prop_map(|(w, s)| Step::UpdateEndpoints(w, s)),
        4 => (0.0..0.2f64).prop_map(Step::Advance),
        1 => (0.0..4.0f64).prop_map(Step::JumpClock),
    ];
    proptest::collection::vec(step, 1..150)
}

/// What a shell would know, and the rules checked on it.
#[derive(Default)]
struct Model {
    open: BTreeMap<u64, (RequestId, f64)>,
    ended: BTreeSet<u64>,
    /// Shots out: whether begun.
    in_flight: BTreeMap<(u64, usize), (RequestId, usize, bool)>,
    may_have_run: BTreeSet<u64>,
    state: BTreeMap<usize, Standing>,
}

impl Model {
    fn end(&mut self, request: RequestId, bounced: bool, effectful: bool) {
        assert!(self.open.remove(&request.serial).is_some(), "a second answer for {request:?}");
        self.ended.insert(request.serial);
        assert!(
            !(bounced && effectful && self.may_have_run.contains(&request.serial)),
            "a bounce of what may have run"
        );
    }

    fn take(&mut self, dispatcher: &mut Dispatcher<u32>, effectful: bool) {
        while let Some(action) = dispatcher.next_action() {
            match action {
                Action::SendAttempt { request, attempt, worker } => {
                    assert!(self.open.contains_key(&request.serial), "a shot for what is over");
                    // An index may have passed to another worker; its address tells which.
                    let number = usize::from(dispatcher.worker_process(worker).address.port() - 9000);
                    assert_ne!(self.state.get(&number), Some(&Standing::Gone));
                    assert!(!(effectful && self.may_have_run.contains(&request.serial)), "a second shot");
                    self.in_flight.insert((request.serial, attempt), (request, attempt, false));
                }
                Action::CancelAttempt { request, attempt } => {
                    self.in_flight.remove(&(request.serial, attempt));
                }
                Action::Reject { request, .. } => self.end(request, true, effectful),
                Action::Fail { request, .. } => self.end(request, false, effectful),
                _ => {}
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Whatever happens, in whatever order: one final answer for each call in the client's time, nothing after it,
    /// no effect twice, nothing to a worker that drains; and at the end the desk is empty.
    #[test]
    fn random_histories_keep_the_invariants(steps in steps(), effect in 0..3usize) {
        let effectful = effect == 2;
        let mut dispatcher = dispatcher(EFFECTS[effect], NO_HEALTH_CHECKS, 4);
        let (mut model, mut now) = (Model::default(), 1.0);
        let nth = |model: &Model, n: usize| model.in_flight.values().nth(n % model.in_flight.len().max(1)).copied();
        for step in steps {
            match step {
                Step::Submit(patience) => {
                    let request = submit(&mut dispatcher, now, patience);
                    model.open.insert(request.serial, (request, now + patience));
                }
                Step::BeginAttempt(n) => if let Some((request, attempt, false)) = nth(&model, n) {
                    if dispatcher.begin_attempt(now, request, attempt) {
                        model.may_have_run.insert(request.serial);
                        model.in_flight.insert((request.serial, attempt), (request, attempt, true));
                    } else {
                        model.in_flight.remove(&(request.serial, attempt));
                    }
                }
                Step::NotWritten(n) => if let Some((request, attempt, true)) = nth(&model, n) {
                    dispatcher.attempt_not_written(now, request, attempt);
                    model.may_have_run.remove(&request.serial);
                    model.in_flight.insert((request.serial, attempt), (request, attempt, false));
                }
                Step::EndAttempt(n, outcome) => if let Some((request, attempt, sent)) = nth(&model, n) {
                    // Before it was written only one end is possible.
                    let outcome = if sent { outcome } else { Outcome::Unreached };
                    if outcome.never_ran() {
                        model.may_have_run.remove(&request.serial);
                    }
                    model.in_flight.remove(&(request.serial, attempt));
                    if dispatcher.attempt_ended(now, request, attempt, AttemptResult::from_outcome(outcome)) {
                        prop_assert!(now < model.open[&request.serial].1);
                        model.end(request, false, effectful);
                    }
                }
                Step::ClientGone(n) => if let Some((request, _)) = model.open.values().nth(n).copied() {
                    dispatcher.client_gone(now, request);
                    model.open.remove(&request.serial);
                    model.ended.insert(request.serial);
                }
                Step::UpdateEndpoints(worker, state) => {
                    model.state.insert(worker.into(), state);
                    dispatcher.update_endpoints(now, false, &[entry(worker, state, None)]);
                }
                Step::Advance(seconds) => {
                    let end = now + seconds;
                    while let Some(at) = dispatcher.next_deadline().filter(|at| *at <= end) {
                        now = at.max(now) + 0.0001;
                        dispatcher.advance(now);
                        model.take(&mut dispatcher, effectful);
                        // In the client's time, while the clock runs.
                        for (request, until) in model.open.values() {
                            prop_assert!(now <= *until + 0.002, "{request:?} is overdue at {now}");
                        }
                    }
                    now = now.max(end);
                }
                Step::JumpClock(seconds) => {
                    now += seconds;
                    dispatcher.advance(now);
                }
            }
            model.take(&mut dispatcher, effectful);
        }
        // What still runs ends or times out; then nothing is left.
        for _ in 0..2000 {
            let Some(at) = dispatcher.next_deadline() else { break };
            now = at.max(now) + 0.0001;
            dispatcher.advance(now);
            model.take(&mut dispatcher, effectful);
            if now > 40.0 && dispatcher.open_requests() == 0 { break; }
        }
        prop_assert!(model.open.is_empty(), "{:?} never ended", model.open);
        prop_assert_eq!(dispatcher.open_requests(), 0);
    }
}
