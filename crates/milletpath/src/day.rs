//! `milletpath scenario`: plays a scripted day through real sockets and prints rules and service.

use milletpath_emulator::scenario::{RunOptions, ScenarioReport, play};
use milletpath_emulator::scenario_file::{self, Scenario};
use milletpath_history_checker::{BoundReport, DetectionTimes, ServiceCounts};
use std::path::Path;
use std::process::ExitCode;

/// How a day is to be played.
pub struct Asked<'a> {
    pub file: &'a Path,
    pub seed: Option<u64>,
    pub json: bool,
    pub lag: f64,
    pub cores: Option<u8>,
    /// A fault that all gateways are started with.
    pub injected_fault: Option<&'a str>,
    /// Where the records go, one a line.
    pub records: Option<&'a Path>,
}

pub fn day(asked: &Asked<'_>) -> ExitCode {
    let mut scenario = match scenario_file::open(asked.file) {
        Ok(scenario) => scenario,
        Err(mistakes) => {
            mistakes.iter().for_each(|mistake| eprintln!("{mistake}"));
            return ExitCode::from(2);
        }
    };
    scenario.seed = asked.seed.unwrap_or(scenario.seed);
    scenario.cores = asked.cores.map(usize::from).or(scenario.cores);
    match staged(&scenario, asked) {
        Ok(played) => {
            print(&scenario, &played, asked.json);
            if played.rules_kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(e) => {
            eprintln!("{}: can't be played: {e}", asked.file.display());
            ExitCode::FAILURE
        }
    }
}

fn staged(scenario: &Scenario, asked: &Asked<'_>) -> std::io::Result<ScenarioReport> {
    let folder = std::env::temp_dir().join(format!("milletpath-day-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let program = std::env::current_exe()?;
    let stage = RunOptions {
        program: &program,
        folder: &folder,
        seed: scenario.seed,
        tolerance: asked.lag,
        injected_fault: asked.injected_fault,
    };
    let played = play(scenario, &stage);
    if let (Ok(played), Some(path)) = (&played, asked.records) {
        let lines: Vec<_> = played.records.iter().filter_map(|r| serde_json::to_string(r).ok()).collect();
        std::fs::write(path, lines.join("\n"))?;
    }
    // Charters and logs are kept where something went wrong.
    match &played {
        Ok(p) if p.rules_kept() => std::fs::remove_dir_all(&folder)?,
        _ => eprintln!("the gateways' charters and logs are in {}", folder.display()),
    }
    played.map_err(std::io::Error::other)
}

fn line(name: &str, counts: &ServiceCounts) -> String {
    format!(
        "{name:<16} {:>7} {:>8.3} {:>8} {:>6} {:>8} {:>10} {:>10}",
        counts.calls,
        counts.service(),
        counts.handled,
        counts.late,
        counts.bounced,
        counts.terminated,
        counts.unanswered
    )
}

fn print(scenario: &Scenario, played: &ScenarioReport, json: bool) {
    /// Broken places that are told in full.
    const MOST: usize = 20;
    let latencies = milletpath_history_checker::latencies(&played.records, [0.5, 0.99, 0.999]);
    if json {
        let counts = |c: &ServiceCounts| {
            serde_json::json!({
                "calls": c.calls, "service": c.service(), "handled": c.handled, "late": c.late,
                "bounced": c.bounced, "terminated": c.terminated, "unanswered": c.unanswered,
            })
        };
        let faults: Vec<_> = played
            .by_fault
            .iter()
            .map(|(t, c)| serde_json::json!({"trouble": scenario.faults[*t].name, "counts": counts(c)}))
            .collect();
        let broken: Vec<_> = played
            .violations
            .iter()
            .map(|b| serde_json::json!({"rule": b.rule, "at": b.at, "what": b.what}))
            .collect();
        let mut report = serde_json::json!({
            "day": scenario.name, "seed": scenario.seed, "whole": counts(&played.counts), "troubles": faults,
            "fetches": played.fetches, "warm": played.warm_fraction, "refusals": played.rejected_fetches, "broken": broken, "latencies": latencies,
        });
        if let Some(known) = &played.membership {
            report["bounds"] = serde_json::json!(played.bounds);
            report["peers"] = serde_json::json!(known);
        }
        println!("{report}");
        return;
    }
    println!(
        "day {} with seed {}: {} calls, {} tries",
        scenario.name, scenario.seed, played.counts.calls, played.counts.tries
    );
    println!(
        "{:<16} {:>7} {:>8} {:>8} {:>6} {:>8} {:>10} {:>10}",
        "trouble", "calls", "service", "handled", "late", "bounced", "terminated", "unanswered"
    );
    println!("{}", line("whole day", &played.counts));
    for (fault, counts) in &played.by_fault {
        println!("{}", line(&scenario.faults[*fault].name, counts));
    }
    if let Some([p50, p99, p999]) = latencies {
        println!("handled tries took: p50 {p50:.3} s, p99 {p99:.3} s, p99.9 {p999:.3} s");
    }
    println!(
        "fetches from the store: {}, turned away there: {}; calls that found an instance: {:.3}",
        played.fetches, played.rejected_fetches, played.warm_fraction
    );
    match played.violations.len() {
        0 => println!("rules: all five kept"),
        n => println!("rules: broken in {n} places"),
    }
    for b in played.violations.iter().take(MOST) {
        println!("  rule {} at {:.3} s: {}", b.rule, b.at, b.what);
    }
    for (name, bound) in &played.bounds {
        let BoundReport { most, bound, broken, places } = bound;
        println!("bound {name}: {most:.1} where {bound:.1} is allowed, broken {broken} times");
        places.iter().for_each(|b| println!("  at {:.3} s: {}", b.at, b.what));
    }
    if let Some(known) = &played.membership {
        println!(
            "peers: {:.1} letters and {:.0} bytes a second of each gateway",
            known.datagrams, known.bytes
        );
        println!("  told wrongly: {} suspects, {} dead", known.false_suspicions, known.false_deaths);
        for (what, times) in [("death", &known.death), ("join", &known.join), ("healing", &known.healing)] {
            let DetectionTimes { p50, p99, learnt, never } = times;
            if let (Some(p50), Some(p99)) = (p50, p99) {
                println!(
                    "  {what} known after: p50 {p50:.2} s, p99 {p99:.2} s ({learnt} times; {never} not)"
                );
            }
        }
    }
}
