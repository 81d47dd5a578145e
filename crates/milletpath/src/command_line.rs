//! The command line: its sub-commands, whose options are defined in their modules. Help shows the current names; an
//! `alias` is a former name, which is still accepted but hidden.

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
    /// The sub-command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The sub-commands.
#[derive(Subcommand)]
pub enum Command {
    /// Run the gateway
    Serve(serve::Options),
    /// Validate a configuration file and report all its errors
    Check(check::Options),
    /// Run a control machine, a replica of the configuration log
    Control(control::Options),
    /// Change the settings of functions on all running gateways
    Change(change::Options),
    /// Report the configuration in force, and the gateways that have not applied it
    Changes(changes::Options),
    /// Run only emulated workers, on the addresses that a configuration file lists
    Workers(workers::Options),
    /// Print the tables of the capacity page from measured runs, or write them into the page
    Capacity(capacity::Options),
    /// Run the platform router, configured by LB_NAME, LB_LISTEN and LB_CONFIG
    Platform,
    /// Report what a gateway knows about the other gateways
    #[command(alias = "peers")]
    Members(members::Options),
    /// Run a scale test of real and hollow gateways; prints the cost of the control plane and any exceeded bounds
    #[command(alias = "scale")]
    ScaleTest(scale_test::Options),
    /// Run hollow gateways for a scale test, which starts this process
    #[command(alias = "scale-host", hide = true)]
    ScaleTestHost,
    /// Run a scenario over real sockets; prints which rules held and the outcomes of requests
    #[command(alias = "day")]
    Scenario(scenario::Options),
}
