//! Gateways in simulated time: one dispatcher each, whose actions become messages.

use crate::clients::Clients;
use crate::context::Context;
use crate::event::{
    ClientAttempt, ClientInput, Event, GatewayAttempt, GatewayInput, LoadRequest, WorkerInput, WorkerProcess,
};
use crate::workers::Workers;
use milletpath_config::GatewayConfig;
use milletpath_dispatcher::dispatcher::{
    Action, AttemptResult, Counters, Dispatcher, IncomingRequest, RequestId,
};
use milletpath_history_checker::AttemptOutcome;
use milletpath_protocol::registry::EndpointEntry;
use std::collections::BTreeMap;

/// A dispatcher that identifies each request by its client's attempt.
pub(crate) type SimulatedDispatcher = Dispatcher<ClientAttempt>;

struct Gateway {
    dispatcher: SimulatedDispatcher,
    /// For each worker, the number of the process to which the gateway last sent, and when it connected to that process.
    connections: BTreeMap<usize, (u64, f64)>,
    /// Time at which its timer is due; infinity if none is set.
    timer: f64,
}

pub(crate) struct Gateways(Vec<Gateway>);

impl Gateways {
    pub fn new(configs: &[GatewayConfig]) -> Self {
        let gateway = |config| Gateway {
            dispatcher: Dispatcher::new(config, 0.0),
            connections: BTreeMap::new(),
            timer: f64::INFINITY,
        };
        Self(configs.iter().map(gateway).collect())
    }

    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Total attempts, load requests and health checks of all gateways.
    pub fn counters(&self) -> Counters {
        let mut sum = Counters::default();
        for counters in self.0.iter().map(|gateway| gateway.dispatcher.counters()) {
            sum.attempts += counters.attempts;
            sum.load_requests += counters.load_requests;
            sum.health_checks += counters.health_checks;
        }
        sum
    }

    /// Starts a gateway with the complete endpoint list.
    pub fn start(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        gateway: usize,
        entries: &[EndpointEntry],
    ) {
        self.0[gateway].dispatcher.update_endpoints(0.0, true, entries);
        self.execute_actions(context, workers, gateway);
    }

    /// Passes an input to a gateway's dispatcher, after its due timers, and executes the resulting actions.
    pub fn input<R>(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        gateway: usize,
        input: impl FnOnce(&mut SimulatedDispatcher, f64) -> R,
    ) -> R {
        let now = context.now;
        let dispatcher = &mut self.0[gateway].dispatcher;
        if dispatcher.next_deadline().is_some_and(|deadline| deadline <= now) {
            dispatcher.advance(now);
        }
        let result = input(dispatcher, now);
        self.execute_actions(context, workers, gateway);
        result
    }

    /// The client attempt of a request, as long as the request is open.
    pub fn client_attempt(&mut self, gateway: usize, request: RequestId) -> Option<ClientAttempt> {
        self.0[gateway].dispatcher.context(request).copied()
    }

    /// Handles the timer of a gateway's dispatcher, unless the timer has been rescheduled in the meantime.
    pub fn timer_due(&mut self, context: &mut Context, workers: &mut Workers, gateway: usize) {
        if self.0[gateway].timer <= context.now {
            self.0[gateway].timer = f64::INFINITY;
            self.input(context, workers, gateway, |_, _| ());
        }
    }

    /// Handles the arrival of a client's attempt.
    pub fn request_arrives(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        clients: &Clients,
        gateway: usize,
        attempt: ClientAttempt,
    ) {
        let planned = clients.planned(attempt.call);
        let incoming = IncomingRequest {
            function: &planned.function,
            profile: planned.profile,
            client: planned.group,
            timeout: clients.timeout(context, attempt),
            is_retry: attempt.number > 0,
            resources: None,
        };
        let submit = |dispatcher: &mut SimulatedDispatcher, now| dispatcher.submit(now, incoming, attempt);
        if self.input(context, workers, gateway, submit).is_none() {
            answer(context, gateway, attempt, AttemptOutcome::Rejected);
        }
    }

    /// Handles a client closing the connection of its attempt.
    pub fn client_gone(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        gateway: usize,
        attempt: ClientAttempt,
    ) {
        for request in self.0[gateway].dispatcher.requests(|other| *other == attempt) {
            self.input(context, workers, gateway, |dispatcher, now| dispatcher.client_gone(now, request));
        }
    }

    /// Handles the end of an attempt at a worker; a final answer is sent to the client if the request is still open.
    pub fn attempt_ended(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        attempt: GatewayAttempt,
        result: AttemptResult,
    ) {
        let GatewayAttempt { gateway, request, number } = attempt;
        let client_attempt = self.client_attempt(gateway, request);
        let end = |dispatcher: &mut SimulatedDispatcher, now| {
            dispatcher.attempt_ended(now, request, number, result)
        };
        let is_final = self.input(context, workers, gateway, end);
        if let Some(client_attempt) = client_attempt.filter(|_| is_final) {
            answer(context, gateway, client_attempt, AttemptOutcome::Succeeded);
        }
    }

    /// Time at which a gateway connected to a worker's process; infinity if it never did.
    pub fn connected_at(&self, gateway: usize, worker: usize) -> f64 {
        self.0[gateway].connections.get(&worker).map_or(f64::INFINITY, |(_, at)| *at)
    }

    /// Records the connection on which a gateway sends to a worker; a changed process needs a new connection.
    fn connect(&mut self, now: f64, gateway: usize, process: WorkerProcess) {
        let connection = self.0[gateway].connections.entry(process.worker).or_insert((process.number, now));
        if connection.0 != process.number {
            *connection = (process.number, now);
        }
    }

    /// Applies changes of the endpoint list at all gateways.
    pub fn endpoints_changed(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        entries: &[EndpointEntry],
    ) {
        let unix_time = context.options.gateway_time(context.now);
        for gateway in 0..self.count() {
            self.input(context, workers, gateway, |dispatcher, now| {
                dispatcher.wall_clock_read(now, unix_time);
                dispatcher.update_endpoints(now, false, entries);
            });
        }
    }

    /// Handles the registry's confirmation of the endpoint list at all gateways.
    pub fn endpoints_confirmed(&mut self, now: f64) {
        self.0.iter_mut().for_each(|gateway| gateway.dispatcher.endpoint_list_confirmed(now, now));
    }

    /// Executes the pending actions of a dispatcher and sets its timer.
    fn execute_actions(&mut self, context: &mut Context, workers: &mut Workers, gateway: usize) {
        while let Some(action) = self.0[gateway].dispatcher.next_action() {
            self.execute_action(context, workers, gateway, action);
        }
        let Gateway { dispatcher, timer, .. } = &mut self.0[gateway];
        if let Some(deadline) = dispatcher.next_deadline().filter(|deadline| *deadline < *timer) {
            *timer = deadline;
            let event = Event::Gateway { gateway, input: GatewayInput::Timer };
            context.schedule(deadline.max(context.now), event);
        }
    }

    fn execute_action(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        gateway: usize,
        action: Action,
    ) {
        let dispatcher = &mut self.0[gateway].dispatcher;
        match action {
            Action::SendAttempt { request, attempt: number, worker } => {
                if dispatcher.begin_attempt(context.now, request, number) {
                    self.connect(context.now, gateway, workers.process(worker));
                    let input = WorkerInput::AttemptArrives(GatewayAttempt { gateway, request, number });
                    context.send(Event::Worker { process: workers.process(worker), input });
                }
            }
            Action::Reject { request, .. } => {
                self.answer_request(context, gateway, request, AttemptOutcome::Rejected);
            }
            Action::Fail { request, .. } => {
                self.answer_request(context, gateway, request, AttemptOutcome::Failed);
            }
            Action::LoadFunction { load_request: id, worker, function, instances } => {
                let function = workers.function_id(&function);
                if dispatcher.begin_load_request(context.now, id) {
                    let request = LoadRequest { gateway, id };
                    let input = WorkerInput::LoadRequestArrives { request, function, instances };
                    context.send(Event::Worker { process: workers.process(worker), input });
                }
            }
            Action::HealthCheck { worker, serial } => {
                self.connect(context.now, gateway, workers.process(worker));
                let input = WorkerInput::HealthCheckArrives { gateway, serial };
                context.send(Event::Worker { process: workers.process(worker), input });
            }
            // Not simulated: workers unload on their own, a cancelled attempt runs to completion, and the endpoint list is
            // sent without a subscription.
            Action::UnloadFunction { .. } | Action::CancelAttempt { .. } | Action::WatchEndpoints => {}
        }
    }

    /// Sends the gateway's own answer to the client of a request.
    fn answer_request(
        &mut self,
        context: &mut Context,
        gateway: usize,
        request: RequestId,
        outcome: AttemptOutcome,
    ) {
        if let Some(attempt) = self.client_attempt(gateway, request) {
            answer(context, gateway, attempt, outcome);
        }
    }
}

fn answer(context: &mut Context, gateway: usize, attempt: ClientAttempt, outcome: AttemptOutcome) {
    context.send(Event::Client(ClientInput::AttemptEnded { attempt, gateway, outcome }));
}
