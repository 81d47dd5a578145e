//! Executes a plan and creates the report.

mod config_changes;
mod control_cost;
mod endpoint_updates;
mod failures;
mod machine_usage;
mod plan_runner;
mod progress_line;
mod rolling;

use crate::client_calls::CallGenerator;
use crate::control::AUTHOR_COUNT;
use crate::descriptor_limit::{DescriptorLimitError, raise_descriptor_limit};
use crate::emulated_workers::{EmulatedWorkers, EmulatedWorkersError};
use crate::fleet::{Fleet, StartFleetError};
use crate::plan::{Component, Plan};
use crate::report::Report;
use crate::run_files::RunFiles;
use machine_usage::UsageBaseline;
use milletpath_gateway::hollow_gateway::clock;
use plan_runner::PlanRunner;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// Options for executing a plan.
pub struct RunOptions<'a> {
    /// Text of the plan, which the hosts parse themselves.
    pub plan_text: &'a str,
    /// The program from which hosts, real gateways and control machines are started.
    pub program: PathBuf,
    /// Ends the run when set from another thread.
    pub stop: Arc<AtomicBool>,
}

/// Why a plan can't be executed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The limit on open files is too low.
    #[error(transparent)]
    DescriptorLimit(#[from] DescriptorLimitError),
    /// The system can't provide a folder or thread.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The workers of the real gateways can't be started.
    #[error(transparent)]
    Workers(#[from] EmulatedWorkersError),
    /// The fleet can't be started.
    #[error(transparent)]
    Fleet(#[from] StartFleetError),
}

/// Executes a plan. A run that ends early or violates a bound still returns a report, and its files are kept.
///
/// # Errors
///
/// The fleet can't be started.
pub fn run(plan: &Plan, options: RunOptions<'_>) -> Result<Report, RunError> {
    raise_descriptor_limit(needed_descriptors(plan))?;
    let files = RunFiles::create(options.program)?;
    let report = run_with_files(plan, options.plan_text, options.stop, files.clone());
    match &report {
        Ok(report) if report.broken.is_empty() => files.remove(),
        _ => eprintln!("configuration files and logs of the run are in {}", files.folder.display()),
    }
    report
}

/// Number of files and sockets that this process opens.
fn needed_descriptors(plan: &Plan) -> u64 {
    /// Pipes, files, workers and clients.
    const OTHER_DESCRIPTORS: usize = 256;
    const DESCRIPTORS_PER_REAL_GATEWAY: usize = 4;
    let links = match plan.runs(Component::ConfigChanges) {
        true => 2 * plan.gateways + plan.control_machines + 2 * AUTHOR_COUNT,
        false => plan.gateways,
    };
    (links + DESCRIPTORS_PER_REAL_GATEWAY * plan.real_gateways + OTHER_DESCRIPTORS) as u64
}

fn run_with_files(
    plan: &Plan,
    plan_text: &str,
    stop: Arc<AtomicBool>,
    files: RunFiles,
) -> Result<Report, RunError> {
    let workers = EmulatedWorkers::start(plan.workers.real, plan.seed)?;
    let baseline = UsageBaseline::read();
    let fleet = Fleet::start(plan, plan_text, files, workers.addresses.clone(), stop)?;
    let calls = CallGenerator::start(plan, fleet.real_gateways.reachable())?;
    let mut plan_runner = PlanRunner::new(fleet);
    let stop_reason = plan_runner.run_all_plays().err();
    plan_runner.clear_progress();
    let seconds = clock() - plan_runner.fleet().started_at();
    let machine = baseline.usage(plan_runner.fleet(), seconds);
    let calls = calls.finish();
    // When this returns, all processes of the run have ended.
    let findings = plan_runner.into_findings(machine, calls);
    Ok(Report::new(plan, findings, stop_reason, seconds))
}
