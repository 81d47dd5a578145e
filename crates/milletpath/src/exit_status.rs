//! Exit codes: 0 for success, 1 where what was asked for failed, 2 for wrong usage or wrong input.

use std::error::Error;
use std::process::ExitCode;

/// How a sub-command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// It did what was asked.
    Success,
    /// It could not, or it found what it is to find: a rule that was broken, a gateway without a change.
    Failure,
    /// The command line or a file is wrong: the same call would fail again.
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

/// Why a sub-command ended early.
pub trait CommandError: Error {
    /// The status with which the program exits.
    fn exit_status(&self) -> ExitStatus;
}

/// Prints an error on standard error; the exit code of the program.
pub fn report<E: CommandError>(result: Result<ExitStatus, E>) -> ExitCode {
    let status = result.unwrap_or_else(|error| {
        eprintln!("{error}");
        error.exit_status()
    });
    status.into()
}
