//! Shared test support: configurations, endpoints, and helpers that act as the dispatcher's caller.

use milletpath_config::GatewayConfig;
use milletpath_dispatcher::dispatcher::{Action, AttemptResult, Dispatcher, IncomingRequest, RequestId};
use milletpath_policy::Outcome;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::net::{Ipv4Addr, SocketAddr};

/// The Unix time at time 0 of the dispatcher's clock.
const UNIX_TIME: f64 = 1000.0;

/// Port of worker 0; the other workers use the ports after it.
pub const FIRST_PORT: u16 = 9000;

/// Delay in seconds with which the caller reacts to a timer.
const WAKE_DELAY: f64 = 0.0005;

/// Worker settings with which the dispatcher sends neither health checks nor load requests.
pub const ATTEMPTS_ONLY: &str = "probes = false\norders = false";

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Idempotent,
    /// Workers remember the idempotency key for one second.
    IdempotentWithKey,
    NonIdempotent,
}

impl Effect {
    pub const ALL: [Self; 3] = [Self::Idempotent, Self::IdempotentWithKey, Self::NonIdempotent];

    /// The corresponding settings in the configuration.
    pub fn setting(self) -> &'static str {
        match self {
            Self::Idempotent => "effect = \"pure\"",
            Self::IdempotentWithKey => "effect = \"receipted\"\nmemory = 1",
            Self::NonIdempotent => "effect = \"effectful\"",
        }
    }
}

/// A configuration with one profile, given its effect settings and additional worker settings.
pub fn gateway_config(effect: &str, worker_settings: &str) -> GatewayConfig {
    let text = format!(
        "seed = 5\nprofile \"p\" {{\ndue = 1\ncut_off = 3\n{effect}\n}}\nfunctions {{ lanes = 2 }}\nlimits {{ shots = 3 }}\n\
         workers {{\nregistry = \"127.0.0.1:1\"\nconnect = 0.25\norder_wait = 2\n{worker_settings}\n}}\n"
    );
    let mut config = milletpath_config::read(&text).unwrap_or_else(|errors| panic!("{errors:#?}"));
    // The list is never confirmed here, so it must not become stale.
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

/// Creates a dispatcher, passes it the endpoints at time 0 and discards its first actions.
pub fn dispatcher_with(config: &GatewayConfig, endpoints: &[EndpointEntry]) -> Dispatcher<u32> {
    let mut dispatcher = Dispatcher::new(config, UNIX_TIME);
    dispatcher.update_endpoints(0.0, true, endpoints);
    take_actions(&mut dispatcher);
    dispatcher
}

/// Creates a dispatcher that only sends attempts, with the given number of workers.
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

/// An attempt that the dispatcher requested to be sent.
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

/// Takes all actions and returns the attempts among them.
pub fn take_attempts(dispatcher: &mut Dispatcher<u32>) -> Vec<SentAttempt> {
    sent_attempts(&take_actions(dispatcher))
}

/// Reports the end of an attempt. Returns whether its result is the final answer to the client.
pub fn end_attempt(dispatcher: &mut Dispatcher<u32>, now: f64, sent: SentAttempt, outcome: Outcome) -> bool {
    dispatcher.attempt_ended(now, sent.request, sent.attempt, AttemptResult::from_outcome(outcome))
}

pub fn is_reject(action: &Action) -> bool {
    matches!(action, Action::Reject { .. })
}

/// Lets the dispatcher's timers fire up to a time. Returns the actions with the times at which they were requested.
pub fn advance_to(dispatcher: &mut Dispatcher<u32>, until: f64) -> Vec<(f64, Action)> {
    let mut timed_actions = Vec::new();
    while let Some(at) = dispatcher.next_deadline().filter(|at| *at <= until) {
        dispatcher.advance(at + WAKE_DELAY);
        timed_actions.extend(take_actions(dispatcher).into_iter().map(|action| (at, action)));
    }
    timed_actions
}

/// Like [`advance_to`], without the times.
pub fn actions_until(dispatcher: &mut Dispatcher<u32>, until: f64) -> Vec<Action> {
    advance_to(dispatcher, until).into_iter().map(|(_, action)| action).collect()
}
