//! Logging to standard error, as text or JSON. The environment variable `MILLETPATH_LOG` sets the filter, for example
//! `info` or `milletpath_gateway=debug`.

use clap::ValueEnum;
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// Environment variable that holds the log filter.
const FILTER_VARIABLE: &str = "MILLETPATH_LOG";

/// Filter used if none is set or it cannot be parsed.
const DEFAULT_FILTER: &str = "info";

/// Format of log lines.
#[derive(Clone, Copy, Default, ValueEnum)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// Initializes logging for the process, including the logging of panics.
pub fn init(format: LogFormat) {
    log_panics();
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE);
    // A line that cannot be written, for example to a full disk, is lost: reporting the failure on standard error would
    // panic and end the thread that logs.
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER)))
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    match format {
        LogFormat::Text => subscriber.with_ansi(std::io::stderr().is_terminal()).init(),
        LogFormat::Json => subscriber.json().init(),
    }
}

/// Logs each panic as an error, because the process survives a panic of a core's thread.
fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let thread = std::thread::current().name().unwrap_or("unnamed").to_owned();
        tracing::error!(thread, "{panic}");
    }));
}
