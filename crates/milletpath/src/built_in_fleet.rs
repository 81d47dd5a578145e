//! The built-in configuration of `milletpath serve`, with emulated workers that run in the gateway's process.

use milletpath_config::{ConfigError, GatewayConfig};
use milletpath_emulator::small_fleet::{context, worker_options};
use milletpath_emulator::worker::Worker;
use std::fmt::Write;
use std::io;

/// The built-in configuration without its list of workers, whose ports the operating system assigns.
const CONFIG_WITHOUT_WORKERS: &str = include_str!("built_in.hcl");

/// Number of emulated workers.
const WORKER_COUNT: usize = 3;

/// Seed of the emulated workers' random number generator.
const SEED: u64 = 1;

/// Why the built-in fleet cannot start.
#[derive(Debug, thiserror::Error)]
pub enum BuiltInFleetError {
    /// An emulated worker cannot listen on loopback.
    #[error("an emulated worker can't start: {0}")]
    Worker(#[source] io::Error),
    /// The built-in configuration is invalid, which is a bug in this program.
    #[error("the built-in configuration is invalid: {0}")]
    Config(#[source] ConfigError),
}

/// Starts the emulated workers and returns the configuration that lists them. Must be called within a `LocalSet`; the
/// workers run for as long as the `LocalSet` does.
///
/// # Errors
///
/// A worker cannot listen on loopback.
pub async fn start() -> Result<GatewayConfig, BuiltInFleetError> {
    let context = context(SEED);
    let mut workers = String::new();
    for number in 0..WORKER_COUNT {
        let worker = Worker::start(context.clone(), worker_options(number), 1).await;
        let address = worker.map_err(BuiltInFleetError::Worker)?.addresses[0];
        let _ = writeln!(workers, "  worker \"inside-{number}\" {{ address = \"{address}\" }}");
    }
    let text = format!("{CONFIG_WITHOUT_WORKERS}workers {{\n{workers}}}\n");
    milletpath_config::read(&text).map_err(|errors| {
        let first = errors.into_iter().next();
        BuiltInFleetError::Config(first.expect("a rejected configuration has an error"))
    })
}
