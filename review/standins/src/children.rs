//! The processes that a case starts: none outlives it, however it ends.

use std::io;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Mutex;
use std::time::Duration;

static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;

/// Starts a process that the kernel kills when the calling thread, the main thread of the case, ends.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    // SAFETY: `prctl` is a system call, which is allowed between fork and exec.
    unsafe {
        command.pre_exec(|| {
            if prctl(PR_SET_PDEATHSIG, SIGKILL as u64) == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
        });
    }
    let child = command.spawn()?;
    STARTED.lock().unwrap().push(child.id());
    Ok(child)
}

/// Ends the case with exit code 2, and all that it started, if it still runs after this time.
pub fn end_all_after(limit: Duration, scratch: PathBuf) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for process in STARTED.lock().unwrap().iter() {
            // SAFETY: a system call; the process is a child of this one that has not been waited for, or is gone.
            unsafe { kill(*process as i32, SIGKILL) };
        }
        let _ = std::fs::remove_dir_all(&scratch);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}
