//! What the tests share: configurations, endpoints, and short ways to play the caller of a dispatcher.

use milletpath_config::GatewayConfig;
use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest, RequestId};
use milletpath_policy::Outcome;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::net::{Ipv4Addr, SocketAddr};

/// The Unix time at which the dispatcher's clock begins.
const UNIX_TIME: f64 = 1000.0;

/// The port of worker 0; the others follow.
pub const FIRST_PORT: u16 = 9000;

/// Seconds by which a caller wakes late for a timer.
const WAKE_DELAY: f64 = 0.0005;

/// Settings under which the dispatcher neither checks workers nor sends load requests.
pub const ATTEMPTS_ONLY: &str = "probes = false\norders = false";

/// Whether a request may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Idempotent,
    /// Workers remember its key for a second.
    IdempotentWithKey,
    NonIdempotent,
}

impl Effect {
    pub const ALL: [Self; 3] = [Self::Idempotent, Self::IdempotentWithKey, Self::NonIdempotent];

    /// As the configuration states it.
    pub fn setting(self) -> &'static str {
        match self {
            Self::Idempotent => "effect = \"pure\"",
            Self::IdempotentWithKey => "effect = \"receipted\"\nmemory = 1",
            Self::NonIdempotent => "effect = \"effectful\"",
        }
    }
}

/// A configuration of one profile with that setting of its effect, and more settings of workers.
pub fn gateway_config(effect: &str, worker_settings: &str) -> GatewayConfig {
    let text = format!(
        "seed = 5\nprofile \"p\" {{\ndue = 1\ncut_off = 3\n{effect}\n}}\nfunctions {{ lanes = 2 }}\nlimits {{ shots = 3 }}\n\
         workers {{\nregistry = \"127.0.0.1:1\"\nconnect = 0.25\norder_wait = 2\n{worker_settings}\n}}\n"
    );
    let mut config = milletpath_config::read(&text).unwrap_or_else(|errors| panic!("{errors:#?}"));
    // Nothing confirms the list here, and it changes only by what is passed on.
    config.policy.list_valid_for = f64::INFINITY;
    config
}

pub fn entry(number: u16, state: EndpointStatus) -> EndpointEntry {
    EndpointEntry {
        name: format!("w{number}"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + number)),
        started: None,
        size: 1.0,
        kind: String::new(),
        zone: "z".into(),
        cell: String::new(),
        state,
    }
}

pub fn ready_entries(workers: u16) -> Vec<EndpointEntry> {
    (0..workers).map(|number| entry(number, EndpointStatus::Ready)).collect()
}

/// A dispatcher with the given endpoints at time 0, its first actions taken.
pub fn dispatcher_with(config: &GatewayConfig, endpoints: &[EndpointEntry]) -> Dispatcher<u32> {
    let mut dispatcher = Dispatcher::new(config, UNIX_TIME);
    dispatcher.update_endpoints(0.0, true, endpoints);
    take_actions(&mut dispatcher);
    dispatcher
}

/// A dispatcher that only sends attempts, to so many workers.
pub fn dispatcher(effect: Effect, workers: u16) -> Dispatcher<u32> {
    dispatcher_with(&gateway_config(effect.setting(), ATTEMPTS_ONLY), &ready_entries(workers))
}

pub fn take_actions(dispatcher: &mut Dispatcher<u32>) -> Vec<Action> {
    std::iter::from_fn(|| dispatcher.next_action()).collect()
}

pub fn incoming(function: &str, timeout: f64) -> IncomingRequest<'_> {
    IncomingRequest { function, profile: 0, client: 9, timeout, is_retry: false, resources: None }
}

pub fn submit(dispatcher: &mut Dispatcher<u32>, now: f64, timeout: f64) -> RequestId {
    dispatcher.submit(now, incoming("f", timeout), 0).expect("fewer requests open than the limit")
}

/// An attempt that the dispatcher wants sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentAttempt {
    pub request: RequestId,
    pub attempt: usize,
    pub worker: usize,
}

pub fn sent_attempts(actions: &[Action]) -> Vec<SentAttempt> {
    let sent = |action: &Action| match *action {
        Action::SendAttempt { request, attempt, worker } => Some(SentAttempt { request, attempt, worker }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// Takes the actions and gives the attempts among them.
pub fn take_attempts(dispatcher: &mut Dispatcher<u32>) -> Vec<SentAttempt> {
    sent_attempts(&take_actions(dispatcher))
}

/// Reports the end of an attempt; gives whether its result is the client's answer.
pub fn end_attempt(dispatcher: &mut Dispatcher<u32>, now: f64, sent: SentAttempt, outcome: Outcome) -> bool {
    dispatcher.attempt_ended(now, sent.request, sent.attempt, AttemptResult::from_outcome(outcome))
}

pub fn is_reject(action: &Action) -> bool {
    matches!(action, Action::Reject { .. })
}

/// Lets the dispatcher's timers fire up to a time; gives what it wanted done, and when.
pub fn advance_to(dispatcher: &mut Dispatcher<u32>, until: f64) -> Vec<(f64, Action)> {
    let mut timed_actions = Vec::new();
    while let Some(at) = dispatcher.next_deadline().filter(|at| *at <= until) {
        dispatcher.advance(at + WAKE_DELAY);
        timed_actions.extend(take_actions(dispatcher).into_iter().map(|action| (at, action)));
    }
    timed_actions
}

/// The same without the times.
pub fn actions_until(dispatcher: &mut Dispatcher<u32>, until: f64) -> Vec<Action> {
    advance_to(dispatcher, until).into_iter().map(|(_, action)| action).collect()
}
