//! A child process that does not outlive its test.

use crate::wait::{TIMEOUT, wait_at_most, wait_for};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::process::{Child, ExitStatus};
use std::time::Duration;

/// Time between two looks at a process that is about to stop: short, as tests go on at once.
const STOP_INTERVAL: Duration = Duration::from_millis(1);

/// What a process does while something happens around it.
#[derive(Clone, Copy, Debug)]
pub enum ProcessState {
    /// It runs.
    Running,
    /// It is stopped by SIGSTOP, and finds all at once when it resumes.
    Paused,
}

/// A child process; it is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Takes a process that was started.
    pub fn new(child: Child) -> Self {
        Self { child }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process runs");
    }

    /// Sends SIGSTOP and returns once the process is stopped.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        let stopped = || self.state().is_some_and(|state| state == 'T').then_some(());
        wait_at_most(TIMEOUT, STOP_INTERVAL, stopped).expect("the process is stopped by SIGSTOP");
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Acts while the process is stopped: what is sent to it meanwhile waits there in the order in which it was sent.
    pub fn while_paused(&self, act: impl FnOnce()) {
        self.pause();
        act();
        self.resume();
    }

    /// The code of its state in the system's table, as `T` for stopped.
    fn state(&self) -> Option<char> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).ok()?;
        stat.rsplit(") ").next()?.chars().next()
    }

    /// How it exited, if it has.
    pub fn try_exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child process")
    }

    /// Waits until it exits; `None` where it still runs after [`TIMEOUT`].
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        wait_for(|| self.try_exit_status())
    }

    /// Sends a signal and waits, for as long as it takes, until the process has exited.
    pub fn end(mut self, signal: Signal) {
        self.signal(signal);
        self.child.wait().expect("a child process");
    }

    /// Kills it and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
