//! Client side of a host process of hollow gateways: sends commands and receives status messages.

use crate::child_message::ChildMessage;
use crate::child_process::ChildProcess;
use crate::host_protocol::HostCommand;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{ChildStdin, ChildStdout, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel};

/// A host process. On drop its input is closed, and it is killed if it does not exit within 3 s.
pub struct HostProcess {
    process: ChildProcess,
    /// `None` once the input is closed.
    commands: Option<Sender<HostCommand>>,
}

impl HostProcess {
    /// Starts a host. Its log is written to `log`, and its status messages are sent to `messages`.
    ///
    /// # Errors
    ///
    /// The program can't be spawned, or the system can't create another thread.
    pub fn start(
        program: &Path,
        number: usize,
        log: File,
        messages: SyncSender<ChildMessage>,
    ) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.arg("--log").arg("json").arg("scale-host").stdin(Stdio::piped()).stdout(Stdio::piped());
        // With hundreds of gateways in one process, only errors are logged by default.
        if std::env::var_os("MILLETPATH_LOG").is_none() {
            command.env("MILLETPATH_LOG", "error");
        }
        let mut child = command.stderr(log).spawn()?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let (commands, command_queue) = channel();
        // If anything below fails, dropping the handle ends the process.
        let host = Self { process: ChildProcess::new(child), commands: Some(commands) };
        let (Some(input), Some(output)) = (input, output) else {
            return Err(io::Error::other("the standard input and output of a host are not piped"));
        };
        let write = move || write_commands(input, &command_queue);
        std::thread::Builder::new().name("commands".into()).spawn(write)?;
        let read = move || read_messages(number, output, &messages);
        std::thread::Builder::new().name("host".into()).spawn(read)?;
        Ok(host)
    }

    /// Queues a command without waiting for the host.
    pub fn send(&self, command: HostCommand) {
        if let Some(commands) = &self.commands {
            // A host that has exited is detected by the end of its output.
            let _ = commands.send(command);
        }
    }

    /// Process id.
    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Closes the input, which makes the host exit.
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
                // After the run has ended nobody receives.
                let _ = messages.send(ChildMessage::Host(status));
            }
            Err(e) => tracing::error!(host, "a status message of a host can't be read: {e}"),
        }
    }
    let _ = messages.send(ChildMessage::HostEnded { host });
}
