//! The command line: one sub-command for each task, with the options that its module states. Help shows the standard names;
//! an `alias` is a former name, which is accepted and hidden.

use crate::logging::LogFormat;
use crate::{capacity, change, changes, check, control, members, scale_test, scenario, serve, workers};
use clap::{Parser, Subcommand};

/// A gateway for functions and models that workers load on demand
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
pub struct CommandLine {
    /// The format of the log on standard error
    #[arg(long = "log", value_name = "LOG", value_enum, default_value_t, global = true)]
    pub log_format: LogFormat,
    /// What is to be done.
    #[command(subcommand)]
    pub command: Command,
}

/// The sub-commands.
#[derive(Subcommand)]
pub enum Command {
    /// Run the gateway
    Serve(serve::Options),
    /// Read a configuration file and report all errors in it
    Check(check::Options),
    /// Run a control machine, which takes part in deciding on changes of configuration
    Control(control::Options),
    /// Change settings of functions at all gateways while they run
    Change(change::Options),
    /// Report which changes are in force, and at which gateways they are not
    Changes(changes::Options),
    /// Run emulated workers alone, at the addresses that a configuration file lists
    Workers(workers::Options),
    /// Print the tables of the capacity page from measured runs, or write them into the page
    Capacity(capacity::Options),
    /// Run the router on the platform, by LB_NAME, LB_LISTEN and LB_CONFIG
    Platform,
    /// Report what the gateway of a configuration file knows of the other gateways
    #[command(alias = "peers")]
    Members(members::Options),
    /// Play a plan of a large fleet, with hollow gateways beside real ones; prints what control costs and which bounds broke
    #[command(alias = "scale")]
    ScaleTest(scale_test::Options),
    /// A process of hollow gateways, which a scale test starts
    #[command(alias = "scale-host", hide = true)]
    ScaleTestHost,
    /// Play a scenario through real sockets; prints which rules were kept and how requests ended
    #[command(alias = "day")]
    Scenario(scenario::Options),
}
