//! `milletpath workers`: emulated workers alone, at the addresses that a configuration file lists.

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

/// Seeds the random numbers of the emulated workers.
const SEED: u64 = 1;

/// What `workers` is started with.
#[derive(Args)]
pub struct Options {
    /// The configuration file that lists the workers
    #[arg(long = "config", alias = "charter", value_name = "FILE")]
    config_file: PathBuf,
}

/// Why the emulated workers don't run.
#[derive(Debug, thiserror::Error)]
pub enum WorkersError {
    /// The configuration file can't be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The configuration lists no workers, but names a registry.
    #[error("{}: names a registry; emulated workers need a list of workers", .0.display())]
    Registry(PathBuf),
    /// The runtime can't start.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// A worker's address is in use, or not this machine's.
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

/// Runs the workers until the process is asked to end.
///
/// # Errors
///
/// The configuration can't be used, or a worker can't listen.
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

/// Starts one worker.
async fn start_worker(context: &Rc<EmulatorContext>, number: usize, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    Worker::serve(context.clone(), worker_options(number), vec![listener])?;
    Ok(())
}
