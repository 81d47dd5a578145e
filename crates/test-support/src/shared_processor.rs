//! A processor that busy processes of the test share with the process under test, which then gets a part of it. No
//! priority is changed.

use crate::process::Process;
use nix::sched::{CpuSet, sched_getaffinity, sched_setaffinity};
use nix::unistd::Pid;
use std::process::{Command, Stdio};

/// One processor and the processes that keep it busy, which are killed on drop.
pub struct SharedProcessor {
    only: CpuSet,
    _busy: Vec<Process>,
}

impl SharedProcessor {
    /// Chooses one of the processors that this process may use, by `index`, and starts that many busy processes on it.
    pub fn start(index: usize, busy_processes: usize) -> Self {
        let allowed = sched_getaffinity(Pid::from_raw(0)).expect("the processors of this process are known");
        let processors: Vec<_> =
            (0..CpuSet::count()).filter(|&processor| allowed.is_set(processor) == Ok(true)).collect();
        let mut only = CpuSet::new();
        only.set(processors[index % processors.len()]).expect("the processor exists");
        let busy = (0..busy_processes).map(|_| start_busy_process(&only)).collect();
        Self { only, _busy: busy }
    }

    /// Lets a process run on this processor alone.
    pub fn bind(&self, process: &Process) {
        bind(process, &self.only);
    }
}

fn bind(process: &Process, processors: &CpuSet) {
    // Each thread has a set of its own; those that are started later take over that of the one that starts them.
    let threads = std::fs::read_dir(format!("/proc/{}/task", process.id())).expect("the process runs");
    for thread in threads.map_while(Result::ok) {
        let id = thread.file_name().to_string_lossy().parse().expect("threads are named by number");
        sched_setaffinity(Pid::from_raw(id), processors).expect("a thread of an own process may be bound");
    }
}

fn start_busy_process(processors: &CpuSet) -> Process {
    let mut command = Command::new("sh");
    command.args(["-c", "while :; do :; done"]).stdin(Stdio::null());
    let process = Process::new(command.spawn().expect("a shell starts"));
    bind(&process, processors);
    process
}
