//! The log on standard error: text for people, JSON for machines. The environment variable `MILLETPATH_LOG` filters it,
//! as `info` or `milletpath_gateway=debug`.

use clap::ValueEnum;
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

/// Names the filter of log lines.
const FILTER_VARIABLE: &str = "MILLETPATH_LOG";

/// The filter where none is set, or it can't be parsed.
const DEFAULT_FILTER: &str = "info";

/// How a log line is written.
#[derive(Clone, Copy, Default, ValueEnum)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// Starts logging for the process, panics included.
pub fn init(format: LogFormat) {
    log_panics();
    let filter = EnvFilter::try_from_env(FILTER_VARIABLE);
    // A line that can't be written, as where the disk behind standard error is full, is lost. To report that on standard
    // error would panic, and end the thread that logs.
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter.unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER)))
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    match format {
        LogFormat::Text => subscriber.with_ansi(std::io::stderr().is_terminal()).init(),
        LogFormat::Json => subscriber.json().init(),
    }
}

/// Logs each panic as an error: the process survives that of a core's thread.
fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let thread = std::thread::current().name().unwrap_or("unnamed").to_owned();
        tracing::error!(thread, "{panic}");
    }));
}
