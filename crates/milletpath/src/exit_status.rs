//! Exit codes: 0 for success, 1 for failure, 2 for wrong usage or invalid input.

use std::error::Error;
use std::process::ExitCode;

/// How a sub-command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// It succeeded.
    Success,
    /// It failed, or it detected a problem that it checks for, such as a broken rule or a gateway without a change.
    Failure,
    /// The command line or an input file is invalid, so a retry would fail again.
    InvalidInput,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Success => Self::SUCCESS,
            ExitStatus::Failure => Self::FAILURE,
            ExitStatus::InvalidInput => Self::from(2),
        }
    }
}

/// An error that ends a sub-command.
pub trait CommandError: Error {
    /// Returns the status that the program exits with.
    fn exit_status(&self) -> ExitStatus;
}

/// Prints an error, if there is one, on standard error and returns the exit code of the program.
pub fn report<E: CommandError>(result: Result<ExitStatus, E>) -> ExitCode {
    let status = result.unwrap_or_else(|error| {
        eprintln!("{error}");
        error.exit_status()
    });
    status.into()
}
