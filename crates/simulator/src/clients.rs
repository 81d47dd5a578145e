//! Clients in simulated time, which behave as those on sockets do: they do not wait for one call before the next, each
//! attempt has a timeout, and they retry where a second execution does no harm.

use crate::context::Context;
use crate::event::{ClientAttempt, ClientInput, Event, GatewayInput};
use milletpath_emulator::clients::gateway_weights;
use milletpath_emulator::traffic::{self, PlannedRequest};
use milletpath_emulator::weighted_choice::weighted_choice;
use milletpath_history_checker::{AttemptOutcome, HistoryEvent, Idempotency};

/// One call, and its attempt that is open.
struct Call {
    planned: PlannedRequest,
    attempt: u32,
    ended: bool,
}

pub(crate) struct Clients {
    calls: Vec<Call>,
    /// How many attempts the front layer gives each gateway, relative to the others.
    gateway_weights: Vec<f64>,
}

impl Clients {
    /// Plans all calls of the scenario and schedules their first attempts.
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

    /// Whether the current attempt of a call has not ended.
    pub fn is_open(&self, call: usize) -> bool {
        !self.calls[call].ended
    }

    /// Seconds that the client waits for an attempt that begins now.
    pub fn timeout(&self, context: &Context, attempt: ClientAttempt) -> f64 {
        let planned = self.planned(attempt.call);
        if attempt.number == 0 {
            return planned.timeout;
        }
        let deadline = context.scenario.profiles[planned.profile].deadline;
        planned.timeout.min(deadline - (context.now - planned.at))
    }

    /// Sends an attempt, unless no time is left for it.
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

    /// A gateway at random, by the front layer's weights.
    fn choose_gateway(&self, context: &mut Context) -> usize {
        weighted_choice(&mut context.rng, self.gateway_weights.iter().copied())
    }

    /// Schedules the end of an attempt to which nobody answers: the client cancels it or gives up.
    fn schedule_end(&self, context: &mut Context, attempt: ClientAttempt, gateway: usize, timeout: f64) {
        /// Seconds past its timeout after which a client gives up.
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

    /// An attempt ended; its first end counts.
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

/// Whether a client may send a call again after an attempt that ended so.
fn may_retry(outcome: AttemptOutcome, idempotency: Idempotency) -> bool {
    match outcome {
        AttemptOutcome::Succeeded | AttemptOutcome::Abandoned => false,
        AttemptOutcome::Rejected | AttemptOutcome::Unreachable => true,
        AttemptOutcome::Failed | AttemptOutcome::ConnectionLost | AttemptOutcome::Unanswered => {
            idempotency != Idempotency::NonIdempotent
        }
    }
}
