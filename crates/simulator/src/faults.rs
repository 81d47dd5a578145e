//! The scenario's faults of workers and of the store. Those of traffic are in the plan of the clients' calls; those of
//! processes, of links and of the endpoint list's delivery are played on sockets only.

use crate::context::Context;
use crate::endpoint_list::EndpointList;
use crate::event::{Event, FaultEvent};
use crate::workers::Workers;
use milletpath_emulator::scenario_file::{FaultKind, ScheduledFault};
use milletpath_protocol::registry::EndpointStatus;
use std::collections::BTreeMap;

/// Steps in which one worker is replaced in a rolling restart: it is announced as draining, it drains, it restarts.
const RESTART_STEPS: usize = 3;

#[derive(Default)]
pub(crate) struct Faults {
    /// The workers that each fault affects.
    affected: BTreeMap<usize, Vec<usize>>,
}

impl Faults {
    /// Schedules all faults of the scenario.
    pub fn new(context: &mut Context) -> Self {
        let begin_times: Vec<f64> = context.scenario.faults.iter().map(|fault| fault.at).collect();
        for (fault, at) in begin_times.into_iter().enumerate() {
            context.schedule(at, Event::Fault(FaultEvent::Begins(fault)));
        }
        Self::default()
    }

    pub fn handle(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        endpoints: &mut EndpointList,
        event: &FaultEvent,
    ) {
        match *event {
            FaultEvent::Begins(fault) => self.begin(context, workers, endpoints, fault),
            FaultEvent::Step { fault, step } => self.step(context, workers, endpoints, fault, step),
            FaultEvent::Ends(fault) => self.end(context, workers, endpoints, fault),
        }
    }

    fn begin(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        endpoints: &mut EndpointList,
        number: usize,
    ) {
        let fault = context.scenario.faults[number].clone();
        let affected = choose_workers(context, workers, &fault);
        self.affected.insert(number, affected.clone());
        match fault.kind {
            FaultKind::WorkerCrash => {
                affected.iter().for_each(|worker| workers.kill(context, *worker));
                let notification_delay = context.scenario.rules.notification_delay.min(fault.duration);
                context.schedule_in(
                    notification_delay,
                    Event::Fault(FaultEvent::Step { fault: number, step: 0 }),
                );
            }
            FaultKind::RollingReplacement => {
                schedule_rolling_restart(context, number, &fault, affected.len());
            }
            FaultKind::Drain => endpoints.set_status(context, &affected, EndpointStatus::Draining),
            FaultKind::RequestFailures => set_failing(workers, &affected, fault.magnitude),
            FaultKind::Slowness => set_slowness(workers, &affected, fault.magnitude),
            FaultKind::FunctionRelease => {
                let functions = context.choose(workers.function_count().max(1), fault.fraction);
                for worker in workers.iter_mut() {
                    functions.iter().for_each(|function| worker.model.release_version(*function as u32));
                }
            }
            FaultKind::StoreSlowness => workers.store.slowness = fault.magnitude,
            FaultKind::StoreRejections => workers.store.rejecting = true,
            FaultKind::StoreOutage => workers.store.begin_outage(context.now, fault.duration),
            _ => {}
        }
        if has_end(fault.kind) {
            context.schedule_in(fault.duration, Event::Fault(FaultEvent::Ends(number)));
        }
    }

    fn step(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        endpoints: &mut EndpointList,
        fault: usize,
        step: usize,
    ) {
        /// Seconds for which a worker drains before it restarts.
        const DRAIN_SECONDS: f64 = 0.5;
        let affected = &self.affected[&fault];
        if context.scenario.faults[fault].kind == FaultKind::WorkerCrash {
            return endpoints.set_status(context, affected, EndpointStatus::Gone);
        }
        let worker = affected[step / RESTART_STEPS];
        let next = Event::Fault(FaultEvent::Step { fault, step: step + 1 });
        match step % RESTART_STEPS {
            0 => {
                endpoints.set_status(context, &[worker], EndpointStatus::Draining);
                let wait = context.scenario.rules.grace + context.scenario.rules.notification_delay;
                context.schedule_in(wait, next);
            }
            1 => {
                workers.get_mut(worker).model.draining = true;
                context.schedule_in(DRAIN_SECONDS, next);
            }
            _ => {
                workers.kill(context, worker);
                restart(context, workers, endpoints, worker);
            }
        }
    }

    fn end(
        &mut self,
        context: &mut Context,
        workers: &mut Workers,
        endpoints: &mut EndpointList,
        fault: usize,
    ) {
        let affected = &self.affected[&fault];
        match context.scenario.faults[fault].kind {
            FaultKind::WorkerCrash => {
                affected.iter().for_each(|worker| restart(context, workers, endpoints, *worker));
            }
            FaultKind::Drain => endpoints.set_status(context, affected, EndpointStatus::Ready),
            FaultKind::RequestFailures => set_failing(workers, affected, 0.0),
            FaultKind::Slowness => set_slowness(workers, affected, 1.0),
            FaultKind::StoreSlowness => workers.store.slowness = 1.0,
            FaultKind::StoreRejections => workers.store.rejecting = false,
            _ => {}
        }
    }
}

/// The workers that a fault affects; none where it is not one of workers.
fn choose_workers(context: &mut Context, workers: &Workers, fault: &ScheduledFault) -> Vec<usize> {
    match fault.kind {
        FaultKind::WorkerCrash
        | FaultKind::RollingReplacement
        | FaultKind::RequestFailures
        | FaultKind::Slowness
        | FaultKind::Drain => context.choose(workers.count(), fault.fraction),
        _ => Vec::new(),
    }
}

/// Whether something is to be done when a fault ends.
fn has_end(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::WorkerCrash
            | FaultKind::Drain
            | FaultKind::RequestFailures
            | FaultKind::Slowness
            | FaultKind::StoreSlowness
            | FaultKind::StoreRejections
    )
}

/// Schedules the first step of each worker's restart, evenly over the duration of the fault.
fn schedule_rolling_restart(context: &mut Context, number: usize, fault: &ScheduledFault, workers: usize) {
    let interval = fault.duration / workers as f64;
    for turn in 0..workers {
        let event = FaultEvent::Step { fault: number, step: RESTART_STEPS * turn };
        context.schedule_in(interval * turn as f64, Event::Fault(event));
    }
}

fn set_failing(workers: &mut Workers, affected: &[usize], part: f64) {
    affected.iter().for_each(|worker| workers.get_mut(*worker).failing = part);
}

fn set_slowness(workers: &mut Workers, affected: &[usize], slowness: f64) {
    affected.iter().for_each(|worker| workers.get_mut(*worker).model.slowness = slowness);
}

/// A worker restarts and registers.
fn restart(context: &mut Context, workers: &mut Workers, endpoints: &mut EndpointList, worker: usize) {
    workers.restart(context, worker);
    endpoints.register(context, workers.process(worker));
}
