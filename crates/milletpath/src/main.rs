//! The milletpath program: sub-commands, logging and exit codes. 0 is fine, 1 that the thing asked failed, 2 wrong
//! use or wrong input.

mod capacity;
mod change;
mod changes;
mod control;
mod day;
mod log;
mod peers;
mod platform;
mod scale;
mod serve;
mod workers;

use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A gateway for functions and models that workers load on demand
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Line {
    /// The form of the log on standard error
    #[arg(long, value_enum, default_value_t, global = true)]
    log: log::Form,
    #[command(subcommand)]
    wanted: Wanted,
}

#[derive(Subcommand)]
enum Wanted {
    /// Run the gateway
    Serve {
        /// The charter to go by; without it, one built in, with stand-in workers inside
        #[arg(long, value_name = "FILE")]
        charter: Option<PathBuf>,
        /// Threads that carry calls, whatever the charter says
        #[arg(long, value_parser = clap::value_parser!(u8).range(1..=63))]
        cores: Option<u8>,
        /// Take mischief for cores on standard input, for scripted days
        #[arg(long, hide = true)]
        stir: bool,
        /// A fault that tests plant, to see that it is found
        #[arg(long, hide = true)]
        plant: Option<String>,
    },
    /// Read and check a charter; tells all mistakes at once
    Check {
        #[arg(value_name = "FILE")]
        charter: PathBuf,
    },
    /// Run a control machine, which takes part in deciding on changes of configuration
    Control {
        #[arg(long, value_name = "FILE")]
        charter: PathBuf,
        /// Which of the charter's control machines this is, from 0
        #[arg(long)]
        number: usize,
        /// Begin a new log: once, at the first start of all control machines
        #[arg(long)]
        found: bool,
    },
    /// Change figures of functions at all gateways while they run
    Change {
        #[arg(long, value_name = "FILE")]
        charter: PathBuf,
        /// A file of statements: function "name" { ... }, functions { ... }
        #[arg(value_name = "CHANGE")]
        file: Option<PathBuf>,
        /// Take back what a change stated of this function; the charter's own holds again
        #[arg(long, value_name = "NAME")]
        remove: Vec<String>,
        /// Seconds to wait until all gateways that are heard have it
        #[arg(long, default_value_t = 10.0, value_parser = seconds)]
        wait: f64,
    },
    /// Tell what is in force by changes, and at which gateways it is not
    Changes {
        #[arg(long, value_name = "FILE")]
        charter: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
        /// Ask the gateway of the charter rather than the control machines
        #[arg(long)]
        here: bool,
    },
    /// Run stand-in workers alone, at the addresses that a charter lists
    Workers {
        #[arg(long, value_name = "FILE")]
        charter: PathBuf,
    },
    /// Print the tables of the capacity page from measured runs, or write them into the page
    Capacity {
        /// The folder of the runs and the assumptions
        #[arg(long, value_name = "FOLDER", default_value = "docs/capacity")]
        runs: PathBuf,
        /// The page to write the tables into, between its marks
        #[arg(long, value_name = "FILE")]
        page: Option<PathBuf>,
        /// First write the slopes that scale runs give into the folder of the runs
        #[arg(long)]
        derive: bool,
    },
    /// Run the router on the platform, by LB_NAME, LB_LISTEN and LB_CONFIG
    Platform,
    /// Tell what the gateway of a charter knows of the others
    Peers {
        #[arg(long, value_name = "FILE")]
        charter: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Play a plan of a large fleet: hollow gateways beside real ones; prints what control costs and which bounds broke
    Scale {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Another seed than the file's
        #[arg(long)]
        seed: Option<u64>,
        /// Another number of gateways than the file's
        #[arg(long, value_parser = clap::value_parser!(u32).range(2..=4000))]
        gateways: Option<u32>,
        /// The report as JSON, in the last line
        #[arg(long)]
        json: bool,
    },
    /// A process of hollow gateways, which takes its orders from `scale`
    #[command(hide = true)]
    ScaleHost,
    /// Play a scripted day through real sockets; prints rules and service
    Day {
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Another seed than the file's
        #[arg(long)]
        seed: Option<u64>,
        /// The report as JSON
        #[arg(long)]
        json: bool,
        /// Seconds by which this machine's stand-ins may lag behind what was written
        #[arg(long, default_value_t = 0.05)]
        lag: f64,
        /// Cores of each gateway, whatever the day says
        #[arg(long, value_parser = clap::value_parser!(u8).range(1..=63))]
        cores: Option<u8>,
        /// A fault that all gateways are started with, to see that it is found
        #[arg(long, hide = true)]
        plant: Option<String>,
        /// Also write what passed on the sockets, one record a line
        #[arg(long, value_name = "FILE")]
        records: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let line = Line::parse();
    log::begin(line.log);
    match line.wanted {
        Wanted::Serve { charter, cores, stir, plant } => {
            serve::serve(charter.as_deref(), &serve::How { cores, stir, plant })
        }
        Wanted::Check { charter } => match read(&charter) {
            Ok(_) => {
                println!("{}: sound", charter.display());
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        Wanted::Control { charter, number, found } => control::control(&charter, number, found),
        Wanted::Change { charter, file, remove, wait } => {
            let (file, remove) = (file.as_deref(), &remove[..]);
            change::change(&change::ChangeOptions { config_file: &charter, file, remove, wait })
        }
        Wanted::Changes { charter, json, here } => changes::changes(&charter, json, here),
        Wanted::Workers { charter } => workers::workers(&charter),
        Wanted::Peers { charter, json } => peers::peers(&charter, json),
        Wanted::Capacity { runs, page, derive } => capacity::capacity(&runs, page.as_deref(), derive),
        Wanted::Platform => platform::platform(),
        Wanted::Scale { file, seed, gateways, json } => scale::scale(&file, seed, gateways, json),
        Wanted::ScaleHost => scale::host(),
        Wanted::Day { file, seed, json, lag, cores, plant, records } => {
            let (plant, records) = (plant.as_deref(), records.as_deref());
            day::day(&day::Asked { file: &file, seed, json, lag, cores, injected_fault: plant, records })
        }
    }
}

/// Reads a charter; what is wrong with it goes to standard error, a line for each mistake.
fn read(path: &Path) -> Result<milletpath_config::GatewayConfig, ExitCode> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        eprintln!("{}: can't be read: {e}; name a charter file", path.display());
        ExitCode::from(2)
    })?;
    let mut house = milletpath_config::read(&text).map_err(|mistakes| {
        mistakes.iter().for_each(|mistake| eprintln!("{}:{mistake}", path.display()));
        ExitCode::from(2)
    })?;
    // Beside the charter, wherever the program was started.
    if let (Some(peers), Some(folder)) = (&mut house.membership, path.parent()) {
        peers.key_file = folder.join(&peers.key_file);
        milletpath_gateway::read_fleet_key(&peers.key_file).map_err(|e| {
            eprintln!("{}: key of peers: {e}; make one of chance, alike for all gateways", path.display());
            ExitCode::from(2)
        })?;
    }
    if let (Some(changes), Some(folder)) = (&mut house.config_log, path.parent()) {
        changes.key_file = folder.join(&changes.key_file);
        changes.state_file = folder.join(&changes.state_file);
        milletpath_gateway::read_control_key(&changes.key_file).map_err(|e| {
            eprintln!(
                "{}: key of changes: {e}; make one of chance, alike for control machines, gateways and authors",
                path.display()
            );
            ExitCode::from(2)
        })?;
    }
    Ok(house)
}

/// Seconds as they are written on the command line.
fn seconds(text: &str) -> Result<f64, String> {
    let seconds = text.parse().ok().filter(|s| (0.0..=86_400.0).contains(s));
    seconds.ok_or_else(|| "write a number of seconds, 0 to 86400".into())
}

/// Runs something on one thread, with tasks of its own.
fn local(what: impl Future<Output = ExitCode>) -> ExitCode {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(tokio::task::LocalSet::new().run_until(what)),
        Err(e) => {
            eprintln!("the runtime can't start: {e}");
            ExitCode::FAILURE
        }
    }
}
