//! The event loop: takes events from the queue and passes each to the module that handles it.

use crate::budget_links::BudgetLinks;
use crate::clients::Clients;
use crate::clocks::SimulationOptions;
use crate::context::Context;
use crate::endpoint_list::{EndpointList, record_notifications};
use crate::event::{ClientInput, Event, FaultEvent, GatewayInput, WorkerInput, WorkerProcess};
use crate::event_queue::ScheduledEvent;
use crate::faults;
use crate::gateways::Gateways;
use crate::report::SimulationReport;
use crate::workers::Workers;
use milletpath_config::GatewayConfig;
use milletpath_emulator::scenario::GatewayConfigFile;
use milletpath_emulator::scenario_file::Scenario;
use milletpath_history_checker::AttemptOutcome;
use milletpath_policy::Outcome;
use std::net::{Ipv4Addr, SocketAddr};

/// Runs a scenario.
///
/// # Panics
///
/// If the gateway configuration derived from the scenario is invalid.
pub fn play(scenario: &Scenario, seed: u64) -> SimulationReport {
    play_with_options(scenario, seed, SimulationOptions::default())
}

/// Runs a scenario with options that a scenario file cannot express.
///
/// # Panics
///
/// Like [`play`].
pub fn play_with_options(scenario: &Scenario, seed: u64, options: SimulationOptions) -> SimulationReport {
    Simulation::new(scenario, seed, options).run()
}

struct Simulation {
    context: Context,
    clients: Clients,
    gateways: Gateways,
    /// Present if the gateways share budgets.
    budget_links: Option<BudgetLinks>,
    workers: Workers,
    endpoints: EndpointList,
}

impl Simulation {
    fn new(scenario: &Scenario, seed: u64, options: SimulationOptions) -> Self {
        let mut context = Context::new(scenario, seed, options);
        let mut configs = gateway_configs(scenario, seed);
        if options.endpoint_list_never_expires {
            configs.iter_mut().for_each(|config| config.policy.list_valid_for = f64::INFINITY);
        }
        let mut workers = Workers::new(&mut context);
        let endpoints = EndpointList::new(scenario.workers);
        let mut gateways = Gateways::new(&configs);
        for gateway in 0..gateways.count() {
            gateways.start(&mut context, &mut workers, gateway, endpoints.entries());
        }
        let clients = Clients::new(&mut context, seed);
        faults::schedule_all(&mut context);
        let budget_links = scenario.sharing.then(|| BudgetLinks::new(&mut context, &configs));
        context.schedule(0.0, Event::EndpointsConfirmed);
        Self { context, clients, gateways, budget_links, workers, endpoints }
    }

    fn run(mut self) -> SimulationReport {
        /// Seconds after the end of the scenario within which all attempts end.
        const SETTLING_TIME: f64 = 5.0;
        let end = self.context.scenario.seconds + SETTLING_TIME;
        while let Some(ScheduledEvent { at, event, .. }) =
            self.context.events.pop().filter(|next| next.at <= end)
        {
            self.context.now = at;
            self.handle(event);
        }
        SimulationReport::new(self.context, &self.gateways, &self.workers, self.budget_links.as_ref(), end)
    }

    fn handle(&mut self, event: Event) {
        /// Seconds between two confirmations of the endpoint list.
        const CONFIRMATION_INTERVAL: f64 = 1.0;
        match event {
            Event::Client(input) => self.handle_client_input(input),
            Event::Gateway { gateway, input } => self.handle_gateway_input(gateway, input),
            Event::Worker { process, input } => self.handle_worker_input(process, input),
            Event::Fault(event) => self.handle_fault_event(event),
            Event::EndpointsChanged(entries) => {
                self.gateways.endpoints_changed(&mut self.context, &mut self.workers, &entries);
            }
            Event::EndpointsDeemedNotified(states) => record_notifications(&mut self.context, &states),
            Event::EndpointsConfirmed => {
                if !self.endpoints.stall.is_active(self.context.now) {
                    self.gateways.endpoints_confirmed(self.context.now);
                }
                self.context.schedule_in(CONFIRMATION_INTERVAL, Event::EndpointsConfirmed);
            }
        }
    }

    fn handle_fault_event(&mut self, event: FaultEvent) {
        let Self { context, workers, endpoints, .. } = self;
        match event {
            FaultEvent::Begins(number) => faults::begin(context, workers, endpoints, number),
            FaultEvent::Continues { kind, steps } => {
                faults::run_due_steps(context, workers, endpoints, kind, steps);
            }
        }
    }

    fn handle_client_input(&mut self, input: ClientInput) {
        let context = &mut self.context;
        match input {
            ClientInput::SendAttempt(attempt) => self.clients.send_attempt(context, attempt),
            ClientInput::AttemptEnded { attempt, gateway, outcome } => {
                self.clients.attempt_ended(context, attempt, gateway, outcome);
            }
            ClientInput::Cancel { attempt, gateway } => {
                if self.clients.is_open(attempt.call) {
                    self.gateways.client_gone(context, &mut self.workers, gateway, attempt);
                    self.clients.attempt_ended(context, attempt, gateway, AttemptOutcome::Abandoned);
                }
            }
        }
    }

    fn handle_gateway_input(&mut self, gateway: usize, input: GatewayInput) {
        let Self { context, clients, gateways, budget_links, workers, .. } = self;
        match input {
            GatewayInput::RequestArrives(attempt) => {
                gateways.request_arrives(context, workers, clients, gateway, attempt);
            }
            GatewayInput::Timer => gateways.timer_due(context, workers, gateway),
            GatewayInput::AttemptEnded { attempt, result } => {
                gateways.attempt_ended(context, workers, attempt, result);
            }
            GatewayInput::LoadRequestEnded { id, outcome, instances } => {
                gateways.input(context, workers, gateway, |dispatcher, now| {
                    dispatcher.load_request_ended(now, id, outcome, instances);
                });
            }
            GatewayInput::HealthCheckEnded { worker, serial, outcome, report } => {
                let connected_at = gateways.connected_at(gateway, worker);
                gateways.input(context, workers, gateway, |dispatcher, now| {
                    if outcome != Outcome::Unreachable {
                        dispatcher.worker_answered(now, worker, connected_at);
                    }
                    dispatcher.health_check_ended(now, worker, serial, outcome, report);
                });
            }
            GatewayInput::BudgetTimer => {
                if let Some(links) = budget_links {
                    links.timer_due(context, gateways, workers, gateway);
                }
            }
            GatewayInput::BudgetMessage { sender, bytes } => {
                if let Some(links) = budget_links {
                    links.message_arrives(context, gateways, workers, gateway, sender, &bytes);
                }
            }
        }
    }

    fn handle_worker_input(&mut self, process: WorkerProcess, input: WorkerInput) {
        let Self { context, clients, gateways, workers, .. } = self;
        match input {
            WorkerInput::Timer => workers.timer_due(context, process),
            WorkerInput::FetchEnded { load, succeeded } => {
                workers.fetch_ended(context, process, load, succeeded);
            }
            WorkerInput::AttemptArrives(attempt) => {
                // If its request has ended in the meantime, the attempt was closed before it arrived.
                if let Some(client_attempt) = gateways.client_attempt(attempt.gateway, attempt.request) {
                    let planned = clients.planned(client_attempt.call);
                    workers.attempt_arrives(context, process, attempt, client_attempt, planned);
                }
            }
            WorkerInput::LoadRequestArrives { request, function, instances } => {
                workers.load_request_arrives(context, process, request, function, instances);
            }
            WorkerInput::HealthCheckArrives { gateway, serial } => {
                workers.health_check_arrives(context, process, gateway, serial);
            }
        }
    }
}

/// The configurations that the gateways would have on sockets, with placeholder addresses.
fn gateway_configs(scenario: &Scenario, seed: u64) -> Vec<GatewayConfig> {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let registry = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let config = |gateway| {
        let file = GatewayConfigFile { scenario, gateway, listen, registry, links: None, seed };
        let text = file.to_string();
        milletpath_config::read(&text)
            .unwrap_or_else(|errors| panic!("the configuration of gateway {gateway} is invalid: {errors:?}"))
    };
    (0..scenario.gateways).map(config).collect()
}
