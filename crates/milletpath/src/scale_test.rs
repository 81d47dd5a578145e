//! `milletpath scale-test`: runs the plan of a large fleet in which most gateways are hollow: they have the control
//! threads of a gateway, but serve no requests.

use crate::async_runtime;
use crate::config_file::lines_of_file;
use crate::exit_status::{CommandError, ExitStatus};
use crate::shutdown_signal::ShutdownSignals;
use clap::Args;
use milletpath_config::ConfigError;
use milletpath_scale_test::plan::{self, Plan};
use milletpath_scale_test::run::{self, RunError, RunOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread;

/// Command-line options of `scale-test`.
#[derive(Args)]
pub struct Options {
    /// The plan file
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Seed of the random numbers, in place of the plan's
    #[arg(long)]
    seed: Option<u64>,
    /// Number of gateways, in place of the plan's
    #[arg(long, value_parser = clap::value_parser!(u32).range(2..=4000))]
    gateways: Option<u32>,
    /// Also print the report as JSON, in the last line
    #[arg(long)]
    json: bool,
}

/// Why there is no report of the scale test.
#[derive(Debug, thiserror::Error)]
pub enum ScaleTestError {
    /// The plan file cannot be read.
    #[error("{}: can't be read: {source}; name a plan", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// The plan is invalid; holds all its errors.
    #[error("{}", lines_of_file(path, errors))]
    Invalid { path: PathBuf, errors: Vec<ConfigError> },
    /// The run could not start or continue.
    #[error("{}: the plan can't be run: {source}", path.display())]
    Run { path: PathBuf, source: RunError },
}

impl CommandError for ScaleTestError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Read { .. } | Self::Invalid { .. } => ExitStatus::InvalidInput,
            Self::Run { .. } => ExitStatus::Failure,
        }
    }
}

/// Runs the plan and prints its report. The exit status is a failure if a bound was exceeded.
///
/// # Errors
///
/// The plan cannot be read or is invalid, or the run cannot start or continue.
pub fn run(options: &Options) -> Result<ExitStatus, ScaleTestError> {
    let path = &options.file;
    let text = std::fs::read_to_string(path)
        .map_err(|source| ScaleTestError::Read { path: path.clone(), source })?;
    let plan = read_plan(path, &text, options)?;
    let report =
        run_plan(&plan, &text).map_err(|source| ScaleTestError::Run { path: path.clone(), source })?;
    print!("{report}");
    if options.json {
        println!("{}", report.json());
    }
    Ok(if report.broken.is_empty() { ExitStatus::Success } else { ExitStatus::Failure })
}

/// Reads the plan, and applies the overrides of the command line.
fn read_plan(path: &Path, text: &str, options: &Options) -> Result<Plan, ScaleTestError> {
    let gateways = options.gateways.map(|gateways| gateways as usize);
    let mut plan = plan::read(text, gateways)
        .map_err(|errors| ScaleTestError::Invalid { path: path.to_owned(), errors })?;
    plan.seed = options.seed.unwrap_or(plan.seed);
    Ok(plan)
}

/// Runs the plan until it is complete, or until SIGINT or SIGTERM.
fn run_plan(plan: &Plan, text: &str) -> Result<milletpath_scale_test::report::Report, RunError> {
    let stop = Arc::new(AtomicBool::new(false));
    stop_on_signals(stop.clone())?;
    let program = std::env::current_exe()?;
    run::run(plan, RunOptions { plan_text: text, program, stop })
}

/// Registers handlers for SIGINT and SIGTERM. Once this has returned, either signal ends the run and all processes that
/// it started.
fn stop_on_signals(stop: Arc<AtomicBool>) -> io::Result<()> {
    let (result_sender, result_receiver) = channel();
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || async_runtime::block_on(wait_for_signals(stop, result_sender)))?;
    result_receiver.recv().map_err(io::Error::other)?
}

/// Reports whether the signal handlers could be registered, and sets `stop` on the first signal.
async fn wait_for_signals(stop: Arc<AtomicBool>, result_sender: Sender<io::Result<()>>) {
    let mut signals = match ShutdownSignals::register() {
        Ok(signals) => signals,
        Err(error) => return drop(result_sender.send(Err(error))),
    };
    let _ = result_sender.send(Ok(()));
    signals.received().await;
    stop.store(true, Ordering::Release);
    // Further signals are ignored, because the run is already stopping.
    std::future::pending::<()>().await;
}
