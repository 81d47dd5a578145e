//! Fault injection for tests: a permanent fault given on the command line, and faults of single cores, which are read
//! from standard input while the gateway runs.

use milletpath_gateway::{FaultInjection, InjectedFault};
use std::str::FromStr;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Maximum stall of a core, in seconds.
const MAX_STALL: f64 = 60.0;

/// The command line names an unknown fault.
#[derive(Debug, thiserror::Error)]
#[error("unknown fault {0}; write likely-count")]
pub struct UnknownFaultError(String);

/// Parses the name of a fault given on the command line.
///
/// # Errors
///
/// There is no fault with this name.
pub fn parse_injected_fault(name: &str) -> Result<InjectedFault, UnknownFaultError> {
    match name {
        "likely-count" => Ok(InjectedFault::LikelyCount),
        _ => Err(UnknownFaultError(name.to_owned())),
    }
}

/// A parsed line of standard input: `CORE stall SECONDS`, `CORE panic` or `CORE break`.
#[derive(Debug, PartialEq)]
struct FaultCommand {
    /// Index of the core, from 0. The index after the last core stands for the supervisor.
    core: usize,
    /// The fault to inject into the core.
    fault: FaultInjection,
}

/// Why a line is not a valid fault command.
#[derive(Debug, PartialEq, thiserror::Error)]
enum FaultCommandError {
    /// The first word is not a core index.
    #[error("the line does not begin with the number of a core")]
    InvalidCore,
    /// The second word is not the name of a fault, or the third is not a valid duration.
    #[error("unknown fault; write stall SECONDS (up to {MAX_STALL}), panic or break")]
    InvalidFault,
}

impl FromStr for FaultCommand {
    type Err = FaultCommandError;

    fn from_str(line: &str) -> Result<Self, FaultCommandError> {
        let mut words = line.split_whitespace();
        let core = words.next().and_then(|word| word.parse().ok()).ok_or(FaultCommandError::InvalidCore)?;
        let (name, argument) = (words.next(), words.next());
        let fault = match name {
            Some("stall") => FaultInjection::Stall(parse_stall(argument)?),
            Some("panic") => FaultInjection::Panic,
            Some("break") => FaultInjection::DispatcherPanic,
            _ => return Err(FaultCommandError::InvalidFault),
        };
        Ok(Self { core, fault })
    }
}

/// Parses the duration of a stall, in seconds.
fn parse_stall(seconds: Option<&str>) -> Result<f64, FaultCommandError> {
    let seconds = seconds.and_then(|word| word.parse().ok());
    seconds.filter(|seconds| (0.0..=MAX_STALL).contains(seconds)).ok_or(FaultCommandError::InvalidFault)
}

/// Returns the receiver of the faults read from standard input. Nothing is read unless `reads_input` is set.
pub fn receive(reads_input: bool) -> UnboundedReceiver<(usize, FaultInjection)> {
    let (sender, receiver) = unbounded_channel();
    if reads_input {
        std::thread::spawn(move || read_input(&sender));
    }
    receiver
}

/// Reads fault commands from standard input until its end, and sends the faults to the gateway.
fn read_input(sender: &UnboundedSender<(usize, FaultInjection)>) {
    for line in std::io::stdin().lines().map_while(Result::ok) {
        match line.parse() {
            Ok(FaultCommand { core, fault }) => drop(sender.send((core, fault))),
            Err(error) => {
                let error: FaultCommandError = error;
                tracing::warn!(line, %error, "a fault command is ignored");
            }
        }
    }
}

#[cfg(test)]
mod tests;
