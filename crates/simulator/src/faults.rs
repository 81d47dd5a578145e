//! Injects the scenario's faults of workers and of the store, in the same steps as the emulator. Traffic faults are part of
//! the planned calls. Faults of gateway processes, of links and of the delivery of the endpoint list are injected on sockets
//! only, except for a registry stall.

use crate::context::Context;
use crate::endpoint_list::EndpointList;
use crate::event::{Event, FaultEvent};
use crate::registry_stall::RegistryStall;
use crate::workers::Workers;
use milletpath_emulator::scenario::{FaultStep, TimedStep, affects_workers, pick, worker_steps};
use milletpath_emulator::scenario_file::FaultKind;
use milletpath_protocol::registry::EndpointStatus;
use std::collections::VecDeque;

/// Schedules all faults of the scenario.
pub(crate) fn schedule_all(context: &mut Context) {
    let begin_times: Vec<f64> = context.scenario.faults.iter().map(|fault| fault.at).collect();
    for (number, at) in begin_times.into_iter().enumerate() {
        context.schedule(at, Event::Fault(FaultEvent::Begins(number)));
    }
}

/// Begins a fault of the scenario: runs the steps that are due and schedules the rest.
pub(crate) fn begin(
    context: &mut Context,
    workers: &mut Workers,
    endpoints: &mut EndpointList,
    number: usize,
) {
    let fault = context.scenario.faults[number].clone();
    if fault.kind == FaultKind::RegistryStall {
        endpoints.stall = RegistryStall::begin(context.now, fault.duration);
        return;
    }
    if fault.kind == FaultKind::FunctionRelease {
        return release_functions(context, workers, fault.fraction);
    }
    let affected = if affects_workers(fault.kind) {
        pick(&mut context.rng, workers.count(), fault.fraction)
    } else {
        Vec::new()
    };
    let steps = worker_steps(&fault, context.now, &affected, &context.scenario.rules);
    run_due_steps(context, workers, endpoints, fault.kind, steps.into());
}

/// Runs the steps of a fault that are due, and schedules the rest for the time of the next step. `steps` are in chronological
/// order.
pub(crate) fn run_due_steps(
    context: &mut Context,
    workers: &mut Workers,
    endpoints: &mut EndpointList,
    kind: FaultKind,
    mut steps: VecDeque<TimedStep>,
) {
    while let Some(at) = steps.front().map(|next| next.at) {
        if at > context.now {
            return context.schedule(at, Event::Fault(FaultEvent::Continues { kind, steps }));
        }
        if let Some(TimedStep { step, .. }) = steps.pop_front() {
            run_step(context, workers, endpoints, kind, step);
        }
    }
}

/// Runs one step of a fault of the given kind.
fn run_step(
    context: &mut Context,
    workers: &mut Workers,
    endpoints: &mut EndpointList,
    kind: FaultKind,
    step: FaultStep,
) {
    match step {
        FaultStep::Kill(affected) => affected.iter().for_each(|worker| workers.kill(context, *worker)),
        FaultStep::SetStatus(affected, status) => {
            // Gateways are not notified of the drain. On the platform, a draining worker rejects new work immediately.
            if status == EndpointStatus::Draining && endpoints.stall.is_active(context.now) {
                affected.iter().for_each(|worker| workers.get_mut(*worker).model.draining = true);
            }
            endpoints.set_status(context, &affected, status);
        }
        FaultStep::StopAdmission(worker) => workers.get_mut(worker).model.draining = true,
        FaultStep::Replace(affected) => {
            // In a crash, the processes were already killed when the fault began.
            if kind == FaultKind::RollingReplacement {
                affected.iter().for_each(|worker| workers.kill(context, *worker));
            }
            affected.iter().for_each(|worker| restart(context, workers, endpoints, *worker));
        }
        FaultStep::FailRequests(affected, fraction) => set_failure_fraction(workers, &affected, fraction),
        FaultStep::ClearResponseFaults(affected) => set_failure_fraction(workers, &affected, 0.0),
        FaultStep::SetSlowness(affected, slowness) => {
            affected.iter().for_each(|worker| workers.get_mut(*worker).model.slowness = slowness);
        }
        FaultStep::SetStoreSlowness(slowness) => workers.store.slowness = slowness,
        FaultStep::SetStoreRejecting(rejecting) => workers.store.rejecting = rejecting,
        FaultStep::BeginStoreOutage(seconds) => workers.store.begin_outage(context.now, seconds),
    }
}

fn set_failure_fraction(workers: &mut Workers, affected: &[usize], fraction: f64) {
    affected.iter().for_each(|worker| workers.get_mut(*worker).failure_fraction = fraction);
}

/// Releases new versions of a random fraction of the functions.
fn release_functions(context: &mut Context, workers: &mut Workers, fraction: f64) {
    let functions = pick(&mut context.rng, workers.function_count().max(1), fraction);
    for worker in workers.iter_mut() {
        functions.iter().for_each(|function| worker.model.release_version(*function as u32));
    }
}

/// Replaces a worker's process by a new one, which registers.
fn restart(context: &mut Context, workers: &mut Workers, endpoints: &mut EndpointList, worker: usize) {
    workers.restart(context, worker);
    endpoints.register(context, workers.process(worker));
}
