//! Open-loop clients: they send requests at the planned times regardless of how slow the responses are, stop waiting
//! after their timeout, and retry where that is safe.

mod connections;
mod load_balancer;

pub use load_balancer::{LoadBalancer, gateway_weights};

use crate::context::EmulatorContext;
use crate::scenario_file::Scenario;
use crate::traffic::PlannedRequest;
use crate::worker::headers;
use bytes::Bytes;
use connections::ConnectionPool;
use http::Request;
use http_body_util::Full;
use milletpath_history_checker::{AttemptOutcome, HistoryEvent, Idempotency};
use milletpath_protocol::invoke;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Options of the clients, apart from their plan.
pub struct ClientOptions {
    /// The scenario.
    pub scenario: Scenario,
    /// Chooses a gateway for each attempt.
    pub load_balancer: Arc<LoadBalancer>,
    /// Seed for the choice of gateways.
    pub seed: u64,
    /// Seconds that a client keeps listening after its timeout, so that a late response can be told from a missing one.
    pub tolerance: f64,
}

struct Clients {
    context: Rc<EmulatorContext>,
    options: ClientOptions,
    /// One pool per gateway.
    connections: Vec<ConnectionPool>,
    rng: RefCell<ChaCha8Rng>,
    body: Bytes,
}

/// One attempt of a call.
#[derive(Clone, Copy)]
struct Attempt<'p> {
    call: u64,
    /// Counted from 0.
    number: u32,
    planned: &'p PlannedRequest,
    /// The timeout in seconds that the client sends with the request.
    timeout: f64,
}

/// Sends all planned requests; returns when the last call has ended.
pub async fn run(context: Rc<EmulatorContext>, options: ClientOptions, plan: Vec<PlannedRequest>) {
    let started = context.now();
    let clients = Rc::new(Clients {
        connections: options
            .load_balancer
            .gateways
            .iter()
            .map(|gateway| ConnectionPool::new(*gateway))
            .collect(),
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(options.seed)),
        body: Bytes::from(vec![b'x'; options.scenario.traffic.body]),
        context,
        options,
    });
    let mut calls = JoinSet::new();
    for (number, planned) in plan.into_iter().enumerate() {
        let wait = started + planned.at - clients.context.now();
        if wait > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(wait)).await;
        }
        calls.spawn_local(clients.clone().call(number as u64, planned));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

/// Whether the client retries after this outcome. If the gateway may have run the call, it is retried only if it may
/// run more than once.
fn may_retry(outcome: AttemptOutcome, idempotency: Idempotency) -> bool {
    match outcome {
        AttemptOutcome::Succeeded | AttemptOutcome::Abandoned => false,
        AttemptOutcome::Rejected | AttemptOutcome::Unreachable => true,
        AttemptOutcome::Failed | AttemptOutcome::ConnectionLost | AttemptOutcome::Unanswered => {
            idempotency != Idempotency::NonIdempotent
        }
    }
}

impl Clients {
    /// Runs one call with all its attempts.
    async fn call(self: Rc<Self>, call: u64, planned: PlannedRequest) {
        let scenario = &self.options.scenario;
        let profile = &scenario.profiles[planned.profile];
        self.context.record(HistoryEvent::RequestIssued {
            call,
            group: planned.group,
            importance: profile.importance,
            latency_objective: profile.latency_objective,
            idempotency: profile.idempotency,
            fault: planned.fault,
        });
        let began = self.context.now();
        for number in 0..=scenario.traffic.retries {
            let time_left = profile.deadline - (self.context.now() - began);
            let timeout = if number == 0 { planned.timeout } else { planned.timeout.min(time_left) };
            if timeout <= 0.0 {
                break;
            }
            let outcome = self.attempt(Attempt { call, number, planned: &planned, timeout }).await;
            if !may_retry(outcome, profile.idempotency) {
                break;
            }
            tokio::time::sleep(Duration::from_secs_f64(scenario.traffic.backoff)).await;
        }
    }

    async fn attempt(&self, attempt: Attempt<'_>) -> AttemptOutcome {
        let Attempt { call, number, planned, timeout } = attempt;
        let gateway = self.options.load_balancer.pick(&mut self.rng.borrow_mut());
        self.context.record(HistoryEvent::AttemptSent { call, attempt: number, gateway, timeout });
        let abandoned_after = planned.abandoned_after.filter(|_| number == 0);
        let wait = abandoned_after.unwrap_or(timeout + self.options.tolerance);
        let response = self.send(gateway, attempt);
        let outcome = match tokio::time::timeout(Duration::from_secs_f64(wait), response).await {
            Ok(outcome) => outcome,
            Err(_) if abandoned_after.is_some() => AttemptOutcome::Abandoned,
            Err(_) => AttemptOutcome::Unanswered,
        };
        self.context.record(HistoryEvent::AttemptEnded { call, attempt: number, gateway, outcome });
        outcome
    }

    async fn send(&self, gateway: usize, attempt: Attempt<'_>) -> AttemptOutcome {
        match self.request(attempt) {
            Ok(request) => self.connections[gateway].send(request).await,
            Err(error) => {
                tracing::error!(call = attempt.call, %error, "the request can't be built");
                AttemptOutcome::Unreachable
            }
        }
    }

    fn request(&self, attempt: Attempt<'_>) -> Result<Request<Full<Bytes>>, http::Error> {
        let Attempt { call, number, planned, timeout } = attempt;
        let scenario = &self.options.scenario;
        let profile = &scenario.profiles[planned.profile];
        let mut request = Request::post(invoke::request_path(&planned.function))
            .header("host", "gateway")
            .header(&invoke::TIMEOUT, format!("{timeout:.4}"))
            .header(&invoke::PROFILE, &profile.name)
            .header(&invoke::CLIENT_GROUP, &scenario.groups[planned.group].name)
            .header(&headers::CALL, format!("{call}.{number}"))
            .header(&headers::WORK, planned.work.to_string())
            .header(&headers::IO, planned.io.to_string())
            .header(&headers::GROUP, planned.group);
        if number > 0 {
            request = request.header(&invoke::CLIENT_RETRY, number);
        }
        if profile.idempotency == Idempotency::IdempotentWithKey {
            request = request.header(&invoke::IDEMPOTENCY_KEY, format!("call-{call}"));
        }
        request.body(Full::new(self.body.clone()))
    }
}

#[cfg(test)]
mod tests;
