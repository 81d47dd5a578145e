//! What more cores bring: the gateway with 1, 2, 4 and 8 of them, instant workers, interleaved in one run.
//!
//! `cargo bench -p milletpath --bench cores` prints, for each: calls a second of a closed loop, CPU a call, how much
//! the busiest core does over the mean; then latencies at 760 calls a second. With one and two cores the gateway has
//! the first processors to itself and the load the last two; with more all share what there is. `-- --earlier PROGRAM`
//! adds an earlier build, on the first processor.

mod load;

use load::{closed, cpu, gateway, open_loop, workers};
use milletpath_emulator::gateway_process::GatewayProcess;
use nix::sched::{CpuSet, sched_setaffinity};
use nix::unistd::Pid;
use std::net::SocketAddr;

const ROUNDS: usize = 3;
const SECONDS: f64 = 3.0;
const CORES: [usize; 4] = [1, 2, 4, 8];
/// Threads of the load, and connections of each.
const LOADERS: usize = 2;
const CONNECTIONS: usize = 32;

/// Keeps this thread, and what it starts from here on, on some processors.
fn on(processors: impl Iterator<Item = usize>) {
    let mut set = CpuSet::new();
    processors.for_each(|n| set.set(n).expect("a processor"));
    sched_setaffinity(Pid::from_raw(0), &set).expect("to be pinned");
}

/// CPU used by each core's thread, in hundredths of a second.
fn by_core(under: &GatewayProcess) -> Vec<f64> {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", under.child.id())).expect("its threads");
    let ticks = |path: std::path::PathBuf| {
        let text = std::fs::read_to_string(path.join("stat")).ok()?;
        let (name, rest) = text.split_once('(')?.1.rsplit_once(')')?;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let of = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
        name.starts_with("core-").then_some(of(11)? + of(12)?)
    };
    tasks.filter_map(|t| ticks(t.ok()?.path())).collect()
}

fn main() {
    let all = std::thread::available_parallelism().expect("a count").get();
    assert!(all >= 4, "four processors are needed: two for the load");
    on(all - 2..all);
    let workers: Vec<SocketAddr> = workers(2).into_iter().chain(workers(2)).collect();
    let mut gateways: Vec<GatewayProcess> = CORES
        .iter()
        .map(|&cores| {
            on(0..if cores <= 2 { cores } else { all });
            gateway(&workers, cores)
        })
        .collect();
    let mut names: Vec<String> = CORES.iter().map(|c| format!("{c} cores")).collect();
    let mut args = std::env::args().skip_while(|a| a != "--earlier").skip(1);
    if let Some(program) = args.next() {
        on(0..1);
        gateways.push(load::gateway_of(&program, &workers, ""));
        names.push("earlier".into());
    }
    on(all - 2..all);
    let mut found = vec![Vec::new(); gateways.len()];
    for _ in 0..ROUNDS {
        for (under, found) in gateways.iter().zip(&mut found) {
            if under.child.id() > 0 && found.is_empty() {
                // A first round in which instances and connections get known.
                closed(under.address, CONNECTIONS, 1.0);
            }
            let (before, cores) = (cpu(under), by_core(under));
            let at = under.address;
            let loaders: Vec<_> =
                (0..LOADERS).map(|_| std::thread::spawn(move || closed(at, CONNECTIONS, SECONDS))).collect();
            let rate: f64 = loaders.into_iter().map(|l| l.join().expect("a loader")).sum();
            let used: Vec<f64> =
                by_core(under).iter().zip(cores).map(|(after, before)| after - before).collect();
            let mean = used.iter().sum::<f64>() / used.len() as f64;
            let busiest = used.iter().copied().fold(0.0, f64::max) / mean.max(1e-9);
            found.push((rate, (cpu(under) - before) * 1e6 / (rate * SECONDS), busiest));
        }
    }
    let middle = |mut of: Vec<f64>| {
        of.sort_by(f64::total_cmp);
        of[of.len() / 2]
    };
    println!(
        "closed loop of {} connections, median of {ROUNDS} rounds of {SECONDS} s",
        LOADERS * CONNECTIONS
    );
    let one = middle(found[0].iter().map(|f| f.0).collect());
    for (name, found) in names.iter().zip(&found) {
        let [rate, cost, busiest] =
            [|f: &(f64, f64, f64)| f.0, |f: &(f64, f64, f64)| f.1, |f: &(f64, f64, f64)| f.2]
                .map(|of| middle(found.iter().map(of).collect()));
        println!(
            "{name}: {rate:>7.0} calls/s ({:.2}), {cost:.1} us CPU a call, busiest core {busiest:.2} of \
             the mean",
            rate / one
        );
    }
    let addresses: Vec<SocketAddr> = gateways.iter().map(|g| g.address).collect();
    // One at a time at the full rate, turn about in short pieces.
    let mut latencies: Vec<Option<hdrhistogram::Histogram<u64>>> = vec![None; gateways.len()];
    for _ in 0..ROUNDS {
        for (at, all) in addresses.iter().zip(&mut latencies) {
            let piece = open_loop(&[*at], 3.0).remove(0);
            match all {
                Some(all) => all.add(piece).expect("the same bounds"),
                None => *all = Some(piece),
            }
        }
    }
    for (name, h) in names.iter().zip(latencies.iter().flatten()) {
        let at = |q| h.value_at_quantile(q) as f64 / 1e3;
        println!("{name} at 760/s: p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms", at(0.5), at(0.99), at(0.999));
    }
}
