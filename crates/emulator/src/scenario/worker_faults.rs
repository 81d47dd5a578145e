//! Faults on workers and on the store.

use super::fleet::{KEY_GROUP, ScenarioRun, listed_worker};
use super::sleep;
use super::{FaultStep, affects_workers, pick, worker_steps};
use crate::corrupting_stream::Corruption;
use crate::scenario_file::{FaultKind, ScheduledFault};
use crate::worker::{FalseRejection, ResponseCorruption, Worker, WorkerFault, WorkerOptions};
use rand::Rng;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The worker processes that a fault affects, by the worker's number: those that were running when it began.
struct AffectedWorkers(BTreeMap<usize, Rc<Worker>>);

impl AffectedWorkers {
    fn new(workers: Vec<Rc<Worker>>) -> Self {
        Self(workers.into_iter().map(|worker| (worker.number, worker)).collect())
    }

    fn get(&self, number: usize) -> &Rc<Worker> {
        &self.0[&number]
    }

    fn for_each(&self, numbers: &[usize], change: impl Fn(&Rc<Worker>)) {
        numbers.iter().for_each(|number| change(self.get(*number)));
    }
}

impl ScenarioRun {
    /// Chooses a fraction of `count` numbered items, at least one.
    pub(super) fn pick(&self, count: usize, fraction: f64) -> Vec<usize> {
        pick(&mut *self.rng.borrow_mut(), count, fraction)
    }

    fn pick_workers(&self, fraction: f64) -> Vec<Rc<Worker>> {
        let workers = self.workers.borrow();
        self.pick(workers.len(), fraction).into_iter().map(|number| workers[number].clone()).collect()
    }

    /// Carries out the steps of a fault that the simulator shares.
    pub(super) async fn run_steps(&self, fault: &ScheduledFault) {
        let picked = if affects_workers(fault.kind) { self.pick_workers(fault.fraction) } else { Vec::new() };
        let numbers: Vec<_> = picked.iter().map(|worker| worker.number).collect();
        let affected = AffectedWorkers::new(picked);
        for timed in worker_steps(fault, self.context.now(), &numbers, &self.scenario.rules) {
            sleep(timed.at - self.context.now()).await;
            self.run_step(timed.step, &affected).await;
        }
    }

    async fn run_step(&self, step: FaultStep, affected: &AffectedWorkers) {
        match step {
            FaultStep::Kill(numbers) => affected.for_each(&numbers, |worker| worker.kill()),
            FaultStep::SetStatus(numbers, status) => {
                numbers.into_iter().for_each(|number| self.registry.set_status(number, status));
            }
            FaultStep::StopAdmission(number) => {
                affected.get(number).with_model(|model, _| model.draining = true);
            }
            FaultStep::Replace(numbers) => {
                for number in numbers {
                    affected.get(number).kill();
                    self.replace_worker(number).await;
                }
            }
            FaultStep::FailRequests(numbers, failed_fraction) => affected.for_each(&numbers, |worker| {
                worker.set_fault(WorkerFault { failed_fraction, ..worker.fault() });
            }),
            FaultStep::ClearResponseFaults(numbers) => {
                affected.for_each(&numbers, |worker| worker.set_fault(WorkerFault::default()));
            }
            FaultStep::SetSlowness(numbers, slowness) => affected.for_each(&numbers, |worker| {
                worker.with_model(|model, _| model.slowness = slowness);
            }),
            FaultStep::SetStoreSlowness(slowness) => self.context.store.borrow_mut().slowness = slowness,
            FaultStep::SetStoreRejecting(rejecting) => {
                self.context.store.borrow_mut().rejecting = rejecting;
            }
            FaultStep::BeginStoreOutage(seconds) => {
                self.context.store.borrow_mut().begin_outage(self.context.now(), seconds);
            }
        }
    }

    /// Replaces a worker by a new process, which warms up, has no instances, and listens on another address.
    async fn replace_worker(&self, number: usize) {
        if let Err(error) = self.start_replacement(number).await {
            tracing::error!(worker = number, %error, "a worker's replacement can't be started");
        }
    }

    async fn start_replacement(&self, number: usize) -> io::Result<()> {
        let (spec, started) = (self.scenario.worker_spec, self.context.now());
        let options = WorkerOptions { number, key_group: KEY_GROUP, spec, started };
        let worker = Worker::start(self.context.clone(), options, self.scenario.gateways).await?;
        self.registry.list(vec![listed_worker(&worker, Some(unix_time_of_start()))]);
        self.workers.borrow_mut()[number] = worker;
        Ok(())
    }

    /// Releases new versions of some functions.
    pub(super) fn release_functions(&self, fault: &ScheduledFault) {
        let functions = self.pick(self.context.function_count(), fault.fraction);
        for worker in self.workers.borrow().iter() {
            worker.with_model(|model, _| {
                functions.iter().for_each(|function| model.release_version(*function as u32));
            });
        }
    }

    /// Makes some workers respond wrongly, or not at all, for the duration of a fault.
    pub(super) async fn inject_response_fault(&self, fault: &ScheduledFault) {
        // The group is drawn before the workers: another order would change what a seed means.
        let false_rejection = (fault.kind == FaultKind::FalseRejections).then(|| FalseRejection {
            group: self.rng.borrow_mut().random_range(0..self.scenario.groups.len()),
            fraction: fault.magnitude,
        });
        let affected = self.pick_workers(fault.fraction);
        for worker in &affected {
            worker.set_fault(with_response_fault(worker.fault(), fault, false_rejection));
        }
        sleep(fault.duration).await;
        affected.iter().for_each(|worker| worker.set_fault(WorkerFault::default()));
    }
}

/// Adds a response fault to a worker's present faults.
fn with_response_fault(
    present: WorkerFault,
    fault: &ScheduledFault,
    false_rejection: Option<FalseRejection>,
) -> WorkerFault {
    let corrupted = |corruption| WorkerFault {
        corrupted_responses: Some(ResponseCorruption { fraction: fault.magnitude, corruption }),
        ..present
    };
    match fault.kind {
        FaultKind::Unresponsiveness => WorkerFault { unresponsive: true, ..present },
        FaultKind::LostResponses => WorkerFault { lost_response_fraction: fault.magnitude, ..present },
        FaultKind::TruncatedResponses => corrupted(Corruption::Truncation),
        FaultKind::GarbageResponses => corrupted(Corruption::Garbage),
        FaultKind::ConnectionResets => corrupted(Corruption::Reset),
        FaultKind::FalseRejections => WorkerFault { false_rejection, ..present },
        _ => present,
    }
}

/// The Unix time that a process started now reports as its start, on the wall clock of its machine.
#[expect(
    clippy::disallowed_methods,
    reason = "emulates a worker, which reads its start time from a wall clock"
)]
fn unix_time_of_start() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}
