//! A host of hollow gateways, as the run sees it: a process that takes commands and reports.

use crate::child_message::ChildMessage;
use crate::child_process::ChildProcess;
use crate::host_protocol::HostCommand;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{ChildStdin, ChildStdout, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel};

/// A host process. Dropped, it has 3 s to end by itself, and is killed then.
pub struct HostProcess {
    process: ChildProcess,
    /// None once its input is closed.
    commands: Option<Sender<HostCommand>>,
}

impl HostProcess {
    /// Starts a host. Its log goes to a file, and what it reports to `messages`.
    ///
    /// # Errors
    ///
    /// The program can't be started, or the system has no room for another thread.
    pub fn start(
        program: &Path,
        number: usize,
        log: File,
        messages: SyncSender<ChildMessage>,
    ) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.arg("--log").arg("json").arg("scale-host").stdin(Stdio::piped()).stdout(Stdio::piped());
        // Of hundreds of gateways only errors are worth a line.
        if std::env::var_os("MILLETPATH_LOG").is_none() {
            command.env("MILLETPATH_LOG", "error");
        }
        let mut child = command.stderr(log).spawn()?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let (commands, command_queue) = channel();
        // From here on an error ends the process, as the handle is dropped.
        let host = Self { process: ChildProcess::new(child), commands: Some(commands) };
        let (Some(input), Some(output)) = (input, output) else {
            return Err(io::Error::other("a host has no pipes"));
        };
        let write = move || write_commands(input, &command_queue);
        std::thread::Builder::new().name("commands".into()).spawn(write)?;
        let read = move || read_messages(number, output, &messages);
        std::thread::Builder::new().name("host".into()).spawn(read)?;
        Ok(host)
    }

    /// Sends a command, without waiting for the host.
    pub fn send(&self, command: HostCommand) {
        if let Some(commands) = &self.commands {
            // The end of the host is noticed by the end of its output.
            let _ = commands.send(command);
        }
    }

    /// Its process id.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Closes its input, by which it ends.
    pub fn close_input(&mut self) {
        self.commands = None;
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.close_input();
        self.process.wait_or_kill();
    }
}

fn write_commands(mut input: ChildStdin, commands: &Receiver<HostCommand>) {
    while let Ok(command) = commands.recv() {
        let line = serde_json::to_string(&command).unwrap_or_default();
        if writeln!(input, "{line}").and_then(|()| input.flush()).is_err() {
            return;
        }
    }
}

fn read_messages(host: usize, output: ChildStdout, messages: &SyncSender<ChildMessage>) {
    for line in BufReader::new(output).lines().map_while(Result::ok) {
        match serde_json::from_str(&line) {
            Ok(status) => {
                // Once the run is over nobody receives.
                let _ = messages.send(ChildMessage::Host(status));
            }
            Err(e) => tracing::error!(host, "a status message of a host can't be read: {e}"),
        }
    }
    let _ = messages.send(ChildMessage::HostEnded { host });
}
