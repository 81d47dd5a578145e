//! `milletpath workers`: runs only emulated workers, on the addresses that a configuration file lists.

use crate::async_runtime::{self, RuntimeError};
use crate::config_file::{self, ConfigFileError};
use crate::exit_status::{CommandError, ExitStatus};
use crate::shutdown_signal::shutdown_requested;
use clap::Args;
use milletpath_config::WorkerSource;
use milletpath_emulator::context::EmulatorContext;
use milletpath_emulator::small_fleet::{context, worker_options};
use milletpath_emulator::worker::Worker;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Seed of the emulated workers' random number generator.
const SEED: u64 = 1;

/// Command-line options of `workers`.
#[derive(Args)]
pub struct Options {
    /// The configuration file that lists the workers
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: PathBuf,
}

/// Why the emulated workers cannot start.
#[derive(Debug, thiserror::Error)]
pub enum WorkersError {
    /// The configuration file cannot be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The configuration names a registry instead of a list of workers.
    #[error("{}: names a registry; emulated workers need a list of workers", .0.display())]
    Registry(PathBuf),
    /// The runtime cannot start.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// A worker's address is in use, or is not an address of this host.
    #[error("worker {name} can't listen on {address}: {source}")]
    Listen { name: String, address: SocketAddr, source: io::Error },
}

impl CommandError for WorkersError {
    fn exit_status(&self) -> ExitStatus {
        match self {
            Self::ConfigFile(error) => error.exit_status(),
            Self::Registry(_) => ExitStatus::InvalidInput,
            Self::Runtime(_) | Self::Listen { .. } => ExitStatus::Failure,
        }
    }
}

/// Runs the workers until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// The configuration file cannot be used or lists no workers, the runtime cannot start, or a worker cannot listen.
pub fn run(options: &Options) -> Result<ExitStatus, WorkersError> {
    let config = config_file::read(&options.config_file)?;
    let WorkerSource::List(workers) = config.source else {
        return Err(WorkersError::Registry(options.config_file.clone()));
    };
    async_runtime::block_on(async {
        let context = context(SEED);
        for (number, worker) in workers.iter().enumerate() {
            start_worker(&context, number, worker.address).await.map_err(|source| WorkersError::Listen {
                name: worker.name.clone(),
                address: worker.address,
                source,
            })?;
            println!("worker {} on {}", worker.name, worker.address);
        }
        shutdown_requested().await;
        Ok(ExitStatus::Success)
    })?
}

/// Starts one emulated worker.
async fn start_worker(context: &Rc<EmulatorContext>, number: usize, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    Worker::serve(context.clone(), worker_options(number), vec![listener])?;
    Ok(())
}
