//! A child process that does not outlive its handle.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io;
use std::process::Child;
use std::time::{Duration, Instant};

/// How long a process that was asked to end may take.
const EXIT_TIMEOUT: Duration = Duration::from_secs(3);

/// How often it is checked whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process. Dropped, it is killed if it still runs, and reaped.
pub struct ChildProcess(Child);

impl ChildProcess {
    /// Takes a process over.
    pub fn new(child: Child) -> Self {
        Self(child)
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }

    /// Asks it to end, by SIGTERM.
    ///
    /// # Errors
    ///
    /// The signal can't be sent.
    pub fn terminate(&self) -> io::Result<()> {
        kill(Pid::from_raw(self.0.id() as i32), Signal::SIGTERM)?;
        Ok(())
    }

    /// Waits until it ends, and kills it when that takes longer than 3 s.
    pub fn wait_or_kill(&mut self) {
        let began = Instant::now();
        while began.elapsed() < EXIT_TIMEOUT {
            if !self.is_running() {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.kill();
    }

    fn kill(&mut self) {
        // An error means that it has ended and was reaped.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
