//! Starting the processes of an installation.

use crate::process::Process;
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

/// Largest size of a file, in blocks of 512 bytes: what `ulimit -f` counts in.
#[derive(Clone, Copy, Debug)]
pub struct FileSizeLimit(pub u32);

impl FileSizeLimit {
    /// The same command, started by a shell that sets the limit first.
    pub(super) fn apply(self, command: &Command) -> Command {
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(format!("ulimit -S -f {} && exec \"$@\"", self.0)).arg("sh");
        shell.arg(command.get_program()).args(command.get_args());
        shell
    }
}

/// A process that is ready, and the line by which it reports that.
pub(super) struct ReadyProcess {
    pub process: Process,
    pub line: String,
}

/// Starts a process whose log is appended to this file, and waits for a line on its standard output that begins so.
pub(super) fn start(mut command: Command, log: &Path, ready: &str) -> ReadyProcess {
    let log_file = OpenOptions::new().create(true).append(true).open(log).expect("a log");
    let mut child = command.stdout(Stdio::piped()).stderr(log_file).spawn().expect("the process starts");
    let lines = BufReader::new(child.stdout.take().expect("a piped stream")).lines();
    let process = Process::new(child);
    let line = lines.map_while(Result::ok).find(|line| line.starts_with(ready));
    let line = line.unwrap_or_else(|| {
        let log = std::fs::read_to_string(log).unwrap_or_default();
        panic!("the process exited without \"{ready}\": {log}")
    });
    ReadyProcess { process, line }
}
