//! What the link to the other gateways costs a call: one gateway among 24 that know each other, and one by itself with
//! the same charter, asked turn about in one run. `cargo bench -p milletpath --bench peers` prints the ratio of their
//! p99 with its interval over rounds, and the CPU of the link's thread.

mod load;

use load::{open_loop, workers};
use milletpath_emulator::gateway_process::GatewayProcess;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;

const GATEWAYS: usize = 24;
const ROUNDS: usize = 24;
const SECONDS: f64 = 5.0;

fn charter(folder: &Path, name: &str, workers: &[SocketAddr], peers: &str) -> PathBuf {
    let lines: String = (workers.iter().enumerate())
        .map(|(n, a)| format!("  worker \"w{n}\" {{ address = \"{a}\" }}\n"))
        .collect();
    let text = format!(
        "listen = \"127.0.0.1:0\"\ngateways = {GATEWAYS}\ncores = 1\nprofile \"p\" {{\n  due = 1\n  effect = \"pure\"\n}}\n\
         functions {{ lanes = 64 }}\nworkers {{\n{lines}}}\n{peers}"
    );
    let path = folder.join(format!("{name}.hcl"));
    std::fs::write(&path, text).expect("a charter");
    path
}

fn gateway(charter: &Path) -> GatewayProcess {
    let mut command = Command::new(env!("CARGO_BIN_EXE_milletpath"));
    command.arg("serve").arg("--charter").arg(charter);
    load::start(command)
}

/// Seconds of CPU of a process's thread of that name.
fn thread_cpu(under: &GatewayProcess, name: &str) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", under.child.id())).expect("it runs");
    for task in tasks.map_while(Result::ok) {
        let text = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        if text.contains(&format!("({name})")) {
            let fields: Vec<_> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
            let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
            return (ticks(11) + ticks(12)) / 100.0;
        }
    }
    f64::NAN
}

fn main() {
    let folder = std::env::temp_dir().join(format!("milletpath-bench-peers-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("key"), "a secret of more than thirty-two bytes, for benches").expect("a key");
    let workers = workers(4);
    // Free ports, all held at once so that they differ.
    let held: Vec<_> = (0..GATEWAYS).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    let links: Vec<_> = held.iter().map(|s| s.local_addr().expect("an address")).collect();
    drop(held);
    let fleet: Vec<_> = (0..GATEWAYS)
        .map(|n| {
            let peers = format!(
                "peers {{\n  listen = \"{}\"\n  seeds = [\"{}\"]\n  key = \"key\"\n}}\n",
                links[n], links[0]
            );
            gateway(&charter(&folder, &format!("g{n}"), &workers, &peers))
        })
        .collect();
    let alone = gateway(&charter(&folder, "alone", &workers, ""));
    std::thread::sleep(std::time::Duration::from_secs(8));
    let (on, off) = (&fleet[1], &alone);
    let before = thread_cpu(on, "peers");
    let mut ratios = Vec::new();
    let mut all = [Vec::new(), Vec::new()];
    for round in 0..ROUNDS {
        // First the one, then the other: who comes first finds the caches as the last left them.
        let order = if round % 2 == 0 { [on.address, off.address] } else { [off.address, on.address] };
        let mut found = open_loop(&order, SECONDS);
        if round % 2 == 1 {
            found.reverse();
        }
        let p99 = [0, 1].map(|n| found[n].value_at_quantile(0.99) as f64 / 1e3);
        println!("round {round:>2}: p99 on {:.3} ms, off {:.3} ms", p99[0], p99[1]);
        ratios.push(p99[0] / p99[1]);
        [0, 1].into_iter().for_each(|n| all[n].push(found[n].clone()));
    }
    let spent = thread_cpu(on, "peers") - before;
    let whole = all.map(|rounds| {
        let mut whole = rounds[0].clone();
        rounds[1..].iter().for_each(|h| whole.add(h).expect("alike"));
        whole
    });
    for (name, h) in ["on", "off"].iter().zip(&whole) {
        let at = |q| h.value_at_quantile(q) as f64 / 1e3;
        println!("{name:<4} p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms", at(0.5), at(0.99), at(0.999));
    }
    // Mean of the logarithms and its interval: ratios multiply.
    let logs: Vec<f64> = ratios.iter().map(|r: &f64| r.ln()).collect();
    let mean = logs.iter().sum::<f64>() / logs.len() as f64;
    let deviation = (logs.iter().map(|l| (l - mean).powi(2)).sum::<f64>() / (logs.len() - 1) as f64).sqrt();
    // 97.5% of Student's t for 23 degrees of freedom.
    let half = 2.069 * deviation / (logs.len() as f64).sqrt();
    println!(
        "p99 on / off: {:.3} ({:.3} to {:.3}, 95% of {ROUNDS} rounds)",
        mean.exp(),
        (mean - half).exp(),
        (mean + half).exp()
    );
    let seconds = ROUNDS as f64 * SECONDS;
    println!("the link's thread among {GATEWAYS}: {:.2} ms of CPU a second", 1e3 * spent / seconds);
    let _ = std::fs::remove_dir_all(&folder);
}
