//! Open-loop clients: they ask when the plan says so, however slowly answers come, wait as long as their patience
//! lasts, and try again of their own where that does no harm.

use crate::context::EmulatorContext;
use crate::scenario_file::Scenario;
use crate::traffic::PlannedRequest;
use crate::worker::fields;
use bytes::Bytes;
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use milletpath_history_checker::{AttemptOutcome, HistoryEvent, Idempotency};
use milletpath_protocol::invoke;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The gateways as a plain front layer sees them: it sends to those that it takes for alive.
pub struct Front {
    pub gateways: Vec<SocketAddr>,
    pub alive: Vec<AtomicBool>,
    /// What each gets of the clients' tries, as a weight.
    pub weights: Vec<f64>,
}

/// Weights by which the busiest of several gateways gets so many times the mean, and the others by their rank, as towns
/// are large and small: the n-th as n to some power.
pub fn gateway_weights(gateways: usize, uneven: f64) -> Vec<f64> {
    let ranked = |power: f64| (1..=gateways).map(move |n| (n as f64).powf(-power));
    let busiest = |power: f64| gateways as f64 / ranked(power).sum::<f64>();
    let wanted = uneven.clamp(1.0, gateways as f64);
    let (mut low, mut high) = (0.0, 64.0);
    for _ in 0..60 {
        let middle = 0.5 * (low + high);
        if busiest(middle) < wanted { low = middle } else { high = middle }
    }
    ranked(0.5 * (low + high)).collect()
}

type Sender = SendRequest<Full<Bytes>>;

struct Clients {
    context: Rc<EmulatorContext>,
    front: Arc<Front>,
    scenario: Scenario,
    idle: Vec<RefCell<Vec<Sender>>>,
    chance: RefCell<ChaCha8Rng>,
    body: Bytes,
    /// Seconds past its patience that a client still listens, so that lateness is told from silence.
    lag: f64,
}

/// Plays all calls; comes back when the last has ended.
pub async fn play(
    context: Rc<EmulatorContext>,
    front: Arc<Front>,
    scenario: &Scenario,
    plan: Vec<PlannedRequest>,
    seed: u64,
    lag: f64,
) {
    let clients = Rc::new(Clients {
        context,
        idle: front.gateways.iter().map(|_| RefCell::default()).collect(),
        front,
        scenario: scenario.clone(),
        chance: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        body: Bytes::from(vec![b'x'; scenario.traffic.body]),
        lag,
    });
    let mut calls = JoinSet::new();
    let begin = clients.context.now();
    for (number, planned) in plan.into_iter().enumerate() {
        let wait = begin + planned.at - clients.context.now();
        if wait > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(wait)).await;
        }
        calls.spawn_local(clients.clone().call(number as u64, planned));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

impl Clients {
    /// One call with all its tries.
    async fn call(self: Rc<Self>, call: u64, planned: PlannedRequest) {
        let profile = &self.scenario.profiles[planned.profile];
        let (latency_objective, idempotency) = (profile.latency_objective, profile.idempotency);
        let (group, importance, fault) = (planned.group, profile.importance, planned.fault);
        self.context.note(HistoryEvent::RequestIssued {
            call,
            group,
            importance,
            latency_objective,
            idempotency,
            fault,
        });
        let began = self.context.now();
        for attempt in 0..=self.scenario.traffic.retries {
            let left = profile.deadline - (self.context.now() - began);
            let patience = if attempt == 0 { planned.timeout } else { planned.timeout.min(left) };
            if patience <= 0.0 {
                break;
            }
            let how = self.attempt(call, attempt, &planned, patience).await;
            let again = match (how, idempotency) {
                (AttemptOutcome::Succeeded | AttemptOutcome::Abandoned, _) => false,
                (AttemptOutcome::Rejected | AttemptOutcome::Unreachable, _) => true,
                // No promise was made: only what may run again is tried again.
                (_, Idempotency::Idempotent | Idempotency::IdempotentWithKey) => true,
                (_, Idempotency::NonIdempotent) => false,
            };
            if !again {
                break;
            }
            tokio::time::sleep(Duration::from_secs_f64(self.scenario.traffic.backoff)).await;
        }
    }

    async fn attempt(
        &self,
        call: u64,
        attempt: u32,
        planned: &PlannedRequest,
        patience: f64,
    ) -> AttemptOutcome {
        let gateway = self.pick();
        self.context.note(HistoryEvent::AttemptSent { call, attempt, gateway, timeout: patience });
        let wait = planned.abandoned_after.filter(|_| attempt == 0).unwrap_or(patience + self.lag);
        let asked = self.ask(gateway, call, attempt, planned, patience);
        let how = match tokio::time::timeout(Duration::from_secs_f64(wait), asked).await {
            Ok(how) => how,
            Err(_) if planned.abandoned_after.is_some() && attempt == 0 => AttemptOutcome::Abandoned,
            Err(_) => AttemptOutcome::Unanswered,
        };
        self.context.note(HistoryEvent::AttemptEnded { call, attempt, gateway, outcome: how });
        how
    }

    fn pick(&self) -> usize {
        let Front { alive, weights, .. } = &*self.front;
        let up: Vec<_> = (0..alive.len()).filter(|&g| alive[g].load(Ordering::Relaxed)).collect();
        let up = if up.is_empty() { (0..alive.len()).collect() } else { up };
        let mut left =
            self.chance.borrow_mut().random_range(0.0..up.iter().map(|g| weights[*g]).sum::<f64>());
        let found = up.iter().find(|g| {
            left -= weights[**g];
            left < 0.0
        });
        *found.unwrap_or(&up[up.len() - 1])
    }

    async fn ask(
        &self,
        gateway: usize,
        call: u64,
        attempt: u32,
        planned: &PlannedRequest,
        patience: f64,
    ) -> AttemptOutcome {
        let Some(mut request) = self.request(call, attempt, planned, patience) else {
            return AttemptOutcome::Unreachable;
        };
        loop {
            let kept = self.idle[gateway].borrow_mut().pop();
            let new = kept.is_none();
            let connected = match kept {
                Some(sender) => Some(sender),
                None => connect(self.front.gateways[gateway]).await,
            };
            let Some(mut sender) = connected else { return AttemptOutcome::Unreachable };
            if sender.ready().await.is_err() {
                if new {
                    return AttemptOutcome::Unreachable;
                }
                continue;
            }
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut e) => match e.take_message() {
                    Some(unwritten) if !new => {
                        request = unwritten;
                        continue;
                    }
                    Some(_) => return AttemptOutcome::Unreachable,
                    None => return AttemptOutcome::ConnectionLost,
                },
            };
            let how = match response.headers().get(&invoke::OUTCOME).map(HeaderValue::as_bytes) {
                Some(b"handled") => AttemptOutcome::Succeeded,
                Some(b"bounced") => AttemptOutcome::Rejected,
                Some(b"terminated") => AttemptOutcome::Failed,
                _ => AttemptOutcome::ConnectionLost,
            };
            if response.into_body().collect().await.is_err() {
                return AttemptOutcome::ConnectionLost;
            }
            self.idle[gateway].borrow_mut().push(sender);
            return how;
        }
    }

    fn request(
        &self,
        call: u64,
        attempt: u32,
        planned: &PlannedRequest,
        patience: f64,
    ) -> Option<Request<Full<Bytes>>> {
        let profile = &self.scenario.profiles[planned.profile];
        let mut request = Request::post(invoke::request_path(&planned.function))
            .header("host", "gateway")
            .header(&invoke::TIMEOUT, format!("{patience:.4}"))
            .header(&invoke::PROFILE, &profile.name)
            .header(&invoke::CLIENT_GROUP, &self.scenario.groups[planned.group].name)
            .header(&fields::CALL, format!("{call}.{attempt}"))
            .header(&fields::WORK, planned.work.to_string())
            .header(&fields::IO, planned.io.to_string())
            .header(&fields::GROUP, planned.group);
        if attempt > 0 {
            request = request.header(&invoke::CLIENT_RETRY, attempt);
        }
        if profile.idempotency == Idempotency::IdempotentWithKey {
            request = request.header(&invoke::IDEMPOTENCY_KEY, format!("call-{call}"));
        }
        request.body(Full::new(self.body.clone())).ok()
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Some(sender)
}

#[cfg(test)]
mod tests;
