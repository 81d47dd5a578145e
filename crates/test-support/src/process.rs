//! A child process that is killed when its handle is dropped.

use crate::wait::{TIMEOUT, wait_at_most, wait_for};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::process::{Child, ExitStatus};
use std::time::{Duration, Instant};

/// Polling interval of [`Process::pause`]. It is short because tests continue as soon as the process has stopped.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Polling interval of [`Process::exit_before`], short compared with the times that tests check.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Whether a process runs or is paused while a test changes something around it.
#[derive(Clone, Copy, Debug)]
pub enum ProcessState {
    /// The process runs.
    Running,
    /// The process is stopped by SIGSTOP, and handles everything that happened meanwhile at once when it resumes.
    Paused,
}

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Takes ownership of a child process.
    pub fn new(child: Child) -> Self {
        Self { child }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process runs");
    }

    /// Sends SIGSTOP and waits until all threads of the process are stopped: its first one may be while others still run.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        let is_stopped = || self.are_all_threads_stopped().then_some(());
        wait_at_most(TIMEOUT, PAUSE_POLL_INTERVAL, is_stopped).expect("the process stops on SIGSTOP");
    }

    fn are_all_threads_stopped(&self) -> bool {
        let Ok(mut threads) = std::fs::read_dir(format!("/proc/{}/task", self.id())) else { return false };
        threads.all(|thread| {
            let stat = thread.and_then(|thread| std::fs::read_to_string(thread.path().join("stat")));
            stat.is_ok_and(|stat| state_code(&stat) == Some('T'))
        })
    }

    /// Resumes a paused process by SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Runs `action` while the process is stopped. Whatever is sent to the process meanwhile is queued in the order in
    /// which it was sent.
    pub fn while_paused(&self, action: impl FnOnce()) {
        self.pause();
        action();
        self.resume();
    }

    /// Whether the process has not exited yet.
    pub fn is_running(&self) -> bool {
        self.state().is_some_and(|state| !matches!(state, 'Z' | 'X'))
    }

    /// Returns the state code from `/proc/PID/stat`, for example `T` for a stopped process.
    fn state(&self) -> Option<char> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).ok()?;
        state_code(&stat)
    }

    /// Peak of the memory that the process has taken, in bytes: all of its resident memory but the program's own pages,
    /// which are many in a build for debugging.
    pub fn peak_memory(&self) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.id())).expect("the process runs");
        let field = |name| -> usize {
            let value =
                status.lines().find_map(|line| line.strip_prefix(name)).expect("the system reports it");
            value.trim().trim_end_matches(" kB").parse().expect("a number of kB")
        };
        (field("VmHWM:") - field("RssFile:")) << 10
    }

    /// Returns the exit status; `None` while the process runs.
    pub fn try_exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process is a child of this one")
    }

    /// Waits for the process to exit with success, and returns when; `None` if it still runs at `until`. Panics if it
    /// exits with a failure.
    pub fn exit_before(&mut self, until: Instant) -> Option<Instant> {
        while Instant::now() < until {
            std::thread::sleep(EXIT_POLL_INTERVAL);
            if let Some(status) = self.try_exit_status() {
                assert!(status.success(), "{status}");
                return Some(Instant::now());
            }
        }
        None
    }

    /// Waits for the process to exit; `None` if it still runs after [`TIMEOUT`].
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        wait_for(|| self.try_exit_status())
    }

    /// Sends a signal and waits, without a timeout, until the process has exited.
    pub fn end(mut self, signal: Signal) {
        self.signal(signal);
        self.child.wait().expect("the process is a child of this one");
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The state code in the content of a `stat` file of a process or thread.
fn state_code(stat: &str) -> Option<char> {
    stat.rsplit(") ").next()?.chars().next()
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
