//! The `milletpath` program. `main` parses the command line (`command_line.rs`), initializes logging (`logging.rs`)
//! and runs one sub-command. Each sub-command has a module of the same name with its options, its output and its
//! errors, which map to exit codes (`exit_status.rs`).
//!
//! Shared modules: `config_file.rs` reads the configuration, `async_runtime.rs` runs futures, `shutdown_signal.rs`
//! waits for SIGTERM and SIGINT, `control_overview.rs` and `control_status.rs` define the reports of control machines.

mod async_runtime;
mod built_in_fleet;
mod capacity;
mod change;
mod changes;
mod check;
mod command_line;
mod config_file;
mod control;
mod control_overview;
mod control_status;
mod exit_status;
mod logging;
mod members;
mod platform;
mod scale_test;
mod scale_test_host;
mod scenario;
mod serve;
mod shutdown_signal;
mod workers;

use clap::Parser;
use command_line::{Command, CommandLine};
use exit_status::report;
use std::process::ExitCode;

fn main() -> ExitCode {
    let CommandLine { log_format, command } = CommandLine::parse();
    logging::init(log_format);
    match command {
        Command::Serve(options) => report(serve::run(&options)),
        Command::Check(options) => report(check::run(&options)),
        Command::Control(options) => report(control::run(&options)),
        Command::Change(options) => report(change::run(&options)),
        Command::Changes(options) => report(changes::run(&options)),
        Command::Workers(options) => report(workers::run(&options)),
        Command::Capacity(options) => report(capacity::run(&options)),
        Command::Platform => platform::run().into(),
        Command::Members(options) => report(members::run(&options)),
        Command::ScaleTest(options) => report(scale_test::run(&options)),
        Command::ScaleTestHost => scale_test_host::run().into(),
        Command::Scenario(options) => report(scenario::run(&options)),
    }
}
