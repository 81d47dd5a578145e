//! Starting the processes of an installation.

use crate::process::Process;
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

/// Limit on the size of each file that a process writes, in blocks of 512 bytes, the unit of `ulimit -f`.
#[derive(Clone, Copy, Debug)]
pub struct FileSizeLimit(pub u32);

impl FileSizeLimit {
    /// Wraps a command in a shell that sets the limit before it executes the command.
    pub(super) fn apply(self, command: &Command) -> Command {
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(format!("ulimit -S -f {} && exec \"$@\"", self.0)).arg("sh");
        shell.arg(command.get_program()).args(command.get_args());
        shell
    }
}

/// A process that is ready, and the line on standard output that reported it.
pub(super) struct ReadyProcess {
    pub process: Process,
    pub ready_line: String,
}

/// Starts a process that appends its log to the file `log`, and waits for a line on its standard output that begins
/// with `ready_prefix`.
pub(super) fn start(mut command: Command, log: &Path, ready_prefix: &str) -> ReadyProcess {
    let log_file = OpenOptions::new().create(true).append(true).open(log).expect("the log file is writable");
    let mut child = command.stdout(Stdio::piped()).stderr(log_file).spawn().expect("the process starts");
    let lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
    let process = Process::new(child);
    let ready_line = lines.map_while(Result::ok).find(|line| line.starts_with(ready_prefix));
    let ready_line = ready_line.unwrap_or_else(|| {
        let log = std::fs::read_to_string(log).unwrap_or_default();
        panic!("the process exited without printing \"{ready_prefix}\": {log}")
    });
    ReadyProcess { process, ready_line }
}
