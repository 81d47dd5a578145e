//! A child process that is killed when its handle is dropped.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io;
use std::process::Child;
use std::time::{Duration, Instant};

/// How long a process may take to exit once it was asked to.
const EXIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which the exit of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process. On drop it is killed if it is still running, and reaped.
pub struct ChildProcess(Child);

impl ChildProcess {
    /// Takes ownership of a spawned child.
    pub fn new(child: Child) -> Self {
        Self(child)
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Asks the process to exit with SIGTERM.
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn terminate(&self) -> io::Result<()> {
        kill(Pid::from_raw(self.0.id() as i32), Signal::SIGTERM)?;
        Ok(())
    }

    /// Waits until the process exits, and kills it after 3 s.
    pub fn wait_or_kill(&mut self) {
        let started_at = Instant::now();
        while started_at.elapsed() < EXIT_TIMEOUT {
            if !self.is_running() {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.kill();
    }

    fn kill(&mut self) {
        // An error means that the process has already exited and was reaped.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
