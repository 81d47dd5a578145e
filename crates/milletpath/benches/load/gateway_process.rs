//! Starts gateways as processes, and reads their CPU time.

use milletpath_emulator::gateway_process::GatewayProcess;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};

/// Clock ticks per second of the times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Indexes of user and system time among the fields after the name in `/proc/PID/stat`.
const CPU_TIME_FIELDS: [usize; 2] = [11, 12];

/// Starts a process that prints the address on which it listens.
pub fn start_process(mut command: Command) -> GatewayProcess {
    command.stderr(Stdio::null());
    GatewayProcess::start(command).expect("the process starts")
}

/// Starts a gateway of this build with a number of cores.
pub fn start_gateway(workers: &[SocketAddr], cores: usize) -> GatewayProcess {
    start_program(env!("CARGO_BIN_EXE_milletpath"), workers, &format!("cores = {cores}\n"))
}

/// Starts a gateway of any build. `keys` are lines to add to its configuration; an earlier build may not know all keys.
pub fn start_program(program: &str, workers: &[SocketAddr], keys: &str) -> GatewayProcess {
    let suffix = keys.trim().replace([' ', '='], "");
    let name = format!("milletpath-bench-{}-{suffix}.hcl", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config_text(workers, keys, "")).expect("a configuration file");
    start_with_config(program, &path)
}

/// Starts a gateway with a configuration file. The flag has its former name, which earlier builds accept too.
pub fn start_with_config(program: &str, config_file: &Path) -> GatewayProcess {
    let mut command = Command::new(program);
    command.arg("serve").arg("--charter").arg(config_file);
    start_process(command)
}

/// Returns a configuration with a list of workers, further keys and further sections.
pub fn config_text(workers: &[SocketAddr], keys: &str, sections: &str) -> String {
    let worker =
        |(n, address): (usize, &SocketAddr)| format!("  worker \"w{n}\" {{ address = \"{address}\" }}\n");
    let workers: String = workers.iter().enumerate().map(worker).collect();
    format!(
        "listen = \"127.0.0.1:0\"\n{keys}profile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\nfunctions {{ lanes = 64 }}\n\
         workers {{\n{workers}}}\n{sections}"
    )
}

/// CPU time of a process or thread.
pub struct ThreadCpu {
    pub name: String,
    pub seconds: f64,
}

/// Returns the CPU time of a process so far, in seconds; 0 if it cannot be read.
pub fn process_cpu(process: &GatewayProcess) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.child.id()));
    stat.ok().and_then(|stat| parse_stat(&stat)).map_or(0.0, |cpu| cpu.seconds)
}

/// Returns the CPU time of each thread of a process so far.
pub fn thread_cpus(process: &GatewayProcess) -> Vec<ThreadCpu> {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", process.child.id())).expect("the process runs");
    let stats = tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("stat")).ok());
    stats.filter_map(|stat| parse_stat(&stat)).collect()
}

/// Parses name and CPU time from a line of `/proc/PID/stat`.
fn parse_stat(stat: &str) -> Option<ThreadCpu> {
    let (name, rest) = stat.split_once('(')?.1.rsplit_once(')')?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let ticks = CPU_TIME_FIELDS.map(|field| fields.get(field).and_then(|text| text.parse::<f64>().ok()));
    let [user, system] = [ticks[0]?, ticks[1]?];
    Some(ThreadCpu { name: name.to_owned(), seconds: (user + system) / TICKS_PER_SECOND })
}
