//! Clients in simulated time, with the behaviour of the emulator's clients on sockets: calls are issued without waiting for
//! earlier ones, each attempt has a timeout, and an attempt is retried if a second execution would do no harm.

use crate::context::Context;
use crate::event::{ClientAttempt, ClientInput, Event, GatewayInput};
use milletpath_emulator::clients::gateway_weights;
use milletpath_emulator::traffic::{self, PlannedRequest};
use milletpath_emulator::weighted_choice::weighted_choice;
use milletpath_history_checker::{AttemptOutcome, HistoryEvent, Idempotency};

/// A call and its latest attempt.
struct Call {
    planned: PlannedRequest,
    attempt: u32,
    ended: bool,
}

pub(crate) struct Clients {
    calls: Vec<Call>,
    /// The relative number of attempts that the load balancer in front of the gateways sends to each gateway.
    gateway_weights: Vec<f64>,
}

impl Clients {
    /// Plans all calls of the scenario and schedules the first attempt of each.
    pub fn new(context: &mut Context, seed: u64) -> Self {
        let planned = traffic::plan(&context.scenario, seed);
        for (call, planned) in planned.iter().enumerate() {
            let attempt = ClientAttempt { call, number: 0 };
            context.schedule(planned.at, Event::Client(ClientInput::SendAttempt(attempt)));
        }
        let call = |planned| Call { planned, attempt: 0, ended: true };
        Self {
            calls: planned.into_iter().map(call).collect(),
            gateway_weights: gateway_weights(context.scenario.gateways, context.scenario.uneven),
        }
    }

    pub fn planned(&self, call: usize) -> &PlannedRequest {
        &self.calls[call].planned
    }

    /// Whether the latest attempt of a call is still open.
    pub fn is_open(&self, call: usize) -> bool {
        !self.calls[call].ended
    }

    /// Timeout in seconds of an attempt that starts now.
    pub fn timeout(&self, context: &Context, attempt: ClientAttempt) -> f64 {
        let planned = self.planned(attempt.call);
        if attempt.number == 0 {
            return planned.timeout;
        }
        let deadline = context.scenario.profiles[planned.profile].deadline;
        planned.timeout.min(deadline - (context.now - planned.at))
    }

    /// Sends an attempt, unless the call's deadline has passed.
    pub fn send_attempt(&mut self, context: &mut Context, attempt: ClientAttempt) {
        let ClientAttempt { call, number } = attempt;
        if number == 0 {
            self.record_call(context, call);
        }
        let timeout = self.timeout(context, attempt);
        if timeout <= 0.0 {
            return;
        }
        let gateway = self.choose_gateway(context);
        context.record(HistoryEvent::AttemptSent { call: call as u64, attempt: number, gateway, timeout });
        let state = &mut self.calls[call];
        (state.attempt, state.ended) = (number, false);
        let input = GatewayInput::RequestArrives(attempt);
        context.send(Event::Gateway { gateway, input });
        self.schedule_end(context, attempt, gateway, timeout);
    }

    fn record_call(&self, context: &mut Context, call: usize) {
        let planned = self.planned(call);
        let profile = &context.scenario.profiles[planned.profile];
        let event = HistoryEvent::RequestIssued {
            call: call as u64,
            group: planned.group,
            importance: profile.importance,
            latency_objective: profile.latency_objective,
            idempotency: profile.idempotency,
            fault: planned.fault,
        };
        context.record(event);
    }

    /// Chooses a gateway at random, by the weights of the load balancer in front of the gateways.
    fn choose_gateway(&self, context: &mut Context) -> usize {
        weighted_choice(&mut context.rng, self.gateway_weights.iter().copied())
    }

    /// Schedules the end of an attempt that receives no answer: the client cancels it or gives up.
    fn schedule_end(&self, context: &mut Context, attempt: ClientAttempt, gateway: usize, timeout: f64) {
        /// Seconds after the timeout at which a client gives up.
        const TIMEOUT_MARGIN: f64 = 0.05;
        match self.planned(attempt.call).abandoned_after.filter(|_| attempt.number == 0) {
            Some(after) => {
                context.schedule_in(after, Event::Client(ClientInput::Cancel { attempt, gateway }));
            }
            None => {
                let input =
                    ClientInput::AttemptEnded { attempt, gateway, outcome: AttemptOutcome::Unanswered };
                let end = context.now + timeout + TIMEOUT_MARGIN;
                context.schedule(end, Event::Client(input));
            }
        }
    }

    /// Handles the end of an attempt; later ends of the same attempt are ignored.
    pub fn attempt_ended(
        &mut self,
        context: &mut Context,
        attempt: ClientAttempt,
        gateway: usize,
        outcome: AttemptOutcome,
    ) {
        let ClientAttempt { call, number } = attempt;
        let state = &mut self.calls[call];
        if state.attempt != number || std::mem::replace(&mut state.ended, true) {
            return;
        }
        context.record(HistoryEvent::AttemptEnded { call: call as u64, attempt: number, gateway, outcome });
        let idempotency = context.scenario.profiles[state.planned.profile].idempotency;
        if may_retry(outcome, idempotency) && number < context.scenario.traffic.retries {
            let next = ClientAttempt { call, number: number + 1 };
            let backoff = context.scenario.traffic.backoff;
            context.schedule_in(backoff, Event::Client(ClientInput::SendAttempt(next)));
        }
    }
}

/// Whether a client may retry a call after an attempt with the given outcome.
fn may_retry(outcome: AttemptOutcome, idempotency: Idempotency) -> bool {
    match outcome {
        AttemptOutcome::Succeeded | AttemptOutcome::Abandoned => false,
        AttemptOutcome::Rejected | AttemptOutcome::Unreachable => true,
        AttemptOutcome::Failed | AttemptOutcome::ConnectionLost | AttemptOutcome::Unanswered => {
            idempotency != Idempotency::NonIdempotent
        }
    }
}
