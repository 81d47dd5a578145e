//! Logging on standard error: text on a terminal, JSON for machines; `MILLETPATH_LOG` filters, as `info` or
//! `milletpath_gateway=debug`.

use clap::ValueEnum;
use tracing_subscriber::EnvFilter;

#[derive(Clone, Copy, Default, ValueEnum)]
pub enum Form {
    #[default]
    Text,
    Json,
}

pub fn begin(form: Form) {
    // A panic is a line of the log as everything else: of a core's thread it is survived.
    std::panic::set_hook(Box::new(|panic| {
        let thread = std::thread::current().name().unwrap_or("unnamed").to_owned();
        tracing::error!(thread, "{panic}");
    }));
    let filter = EnvFilter::try_from_env("MILLETPATH_LOG").unwrap_or_else(|_| EnvFilter::new("info"));
    // A line that can't be written, as the disk behind standard error is full, is lost. To tell of that on standard
    // error would panic, and end the thread that has something to tell.
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .log_internal_errors(false);
    match form {
        Form::Text => log.with_ansi(std::io::IsTerminal::is_terminal(&std::io::stderr())).init(),
        Form::Json => log.json().init(),
    }
}
