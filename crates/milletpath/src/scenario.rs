//! `milletpath scenario`: runs a scenario over real sockets, and prints which rules held and the outcomes of requests.

mod json_report;
mod table;

use crate::exit_status::{CommandError, ExitStatus};
use clap::Args;
use milletpath_emulator::scenario::{RunError, RunOptions, ScenarioReport, play};
use milletpath_emulator::scenario_file::{self, InvalidScenario, Scenario};
use std::io;
use std::path::{Path, PathBuf};

/// Command-line options of `scenario`.
#[derive(Args)]
pub struct Options {
    /// The scenario file
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Seed of the random numbers, in place of the scenario's
    #[arg(long)]
    seed: Option<u64>,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
    /// Tolerated delay of emulated components, in seconds; a busy machine needs more
    #[arg(long, default_value_t = 0.05)]
    lag: f64,
    /// Number of cores of each gateway, in place of the scenario's
    #[arg(long, value_parser = clap::value_parser!(u8).range(1..=63))]
    cores: Option<u8>,
    /// A fault to inject into all gateways, so that tests can verify that it is detected
    #[arg(long = "inject-fault", alias = "plant", hide = true)]
    injected_fault: Option<String>,
    /// Also write the recorded events to a file, one JSON record per line
    #[arg(long, value_name = "FILE")]
    records: Option<PathBuf>,
}

/// Why there is no report of the scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The scenario cannot be read or is invalid; its message has a line for each error.
    #[error(transparent)]
    Invalid(#[from] InvalidScenario),
    /// The scenario could not be run.
    #[error("{}: the scenario can't be run: {source}", path.display())]
    Play { path: PathBuf, source: RunError },
}

impl CommandError for ScenarioError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Invalid(_) => ExitStatus::InvalidInput,
            Self::Play { .. } => ExitStatus::Failure,
        }
    }
}

/// Runs the scenario and prints its report. The exit status is a failure if a rule was broken.
///
/// # Errors
///
/// The scenario cannot be read or is invalid, or cannot be run.
pub fn run(options: &Options) -> Result<ExitStatus, ScenarioError> {
    let scenario = read_scenario(options)?;
    let report = run_in_folder(&scenario, options)
        .map_err(|source| ScenarioError::Play { path: options.file.clone(), source })?;
    if options.json {
        println!("{}", json_report::to_json(&scenario, &report));
    } else {
        table::print(&scenario, &report);
    }
    Ok(if report.rules_kept() { ExitStatus::Success } else { ExitStatus::Failure })
}

/// Reads the scenario, and applies the overrides of the command line.
fn read_scenario(options: &Options) -> Result<Scenario, ScenarioError> {
    let mut scenario = scenario_file::open(&options.file)?;
    scenario.seed = options.seed.unwrap_or(scenario.seed);
    scenario.cores = options.cores.map(usize::from).or(scenario.cores);
    Ok(scenario)
}

/// Runs the scenario in a temporary folder, which is kept if the run failed or a rule was broken.
fn run_in_folder(scenario: &Scenario, options: &Options) -> Result<ScenarioReport, RunError> {
    let folder = std::env::temp_dir().join(format!("milletpath-day-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let program = std::env::current_exe()?;
    let run_options = RunOptions {
        program: &program,
        folder: &folder,
        seed: scenario.seed,
        tolerance: options.lag,
        injected_fault: options.injected_fault.as_deref(),
    };
    let report = play(scenario, &run_options);
    if let (Ok(report), Some(path)) = (&report, &options.records) {
        write_records(report, path)?;
    }
    match &report {
        Ok(report) if report.rules_kept() => std::fs::remove_dir_all(&folder)?,
        _ => eprintln!("the gateways' configuration files and logs are in {}", folder.display()),
    }
    report
}

/// Writes the records to a file, each as a line of JSON.
fn write_records(report: &ScenarioReport, path: &Path) -> io::Result<()> {
    let lines: Vec<_> = report.records.iter().filter_map(|r| serde_json::to_string(r).ok()).collect();
    std::fs::write(path, lines.join("\n"))
}
