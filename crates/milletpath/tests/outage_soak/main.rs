//! Soak test of the platform's router during outages of discovery, with all processes on loopback. Each run, called a
//! day, is derived from a seed: discovery fails in different ways and for different times, while workers drain,
//! restart, fill up, hang and reset connections, routers are paused, reloaded, restarted and killed, and clients
//! abandon calls, disconnect, arrive in crowds and use their connections until the router is killed. The rules are
//! checked against what clients and workers observe on their sockets. Scheduling delays of this machine are recorded to
//! explain late events.
//!
//! CI runs a few short days. To run many by hand and print the figures of each:
//!
//! ```text
//! OUTAGE_SOAK_SEEDS=1..50 cargo test -p milletpath --test outage_soak -- --ignored --nocapture
//! ```
//!
//! For a day that violates a rule, the command that runs it again is printed. With `OUTAGE_SOAK_SHRINK` set, its faults
//! are also reduced to those that are needed to violate a rule.

mod client;
mod day;
mod fleet;
mod rules;
mod scheduling_delay;

use day::Day;
use fleet::run_day;
use milletpath_test_support::soak_seeds::seeds_from_environment;
use rules::SoakResult;

/// Seeds of the small days that CI runs. Together they have every kind of fault.
const CI_SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Reduces the faults of a day: each is removed in turn, and stays removed if the day still violates a rule.
fn shrink(day: &Day) -> Day {
    let mut smallest = day.clone();
    for index in (0..day.faults.len()).rev() {
        let mut smaller = smallest.clone();
        smaller.faults.remove(index);
        if !run_day(&smaller).violations.is_empty() {
            smallest = smaller;
        }
    }
    smallest
}

fn print_result(day: &Day, result: &SoakResult) {
    println!("seed {}: {result}", day.seed);
    for violation in &result.violations {
        println!("  violation: {violation}");
    }
    if !result.violations.is_empty() {
        println!("  day: {day:?}");
    }
}

#[test]
fn short_days_violate_no_rule() {
    let failing: Vec<_> = CI_SEEDS
        .iter()
        .filter_map(|&seed| {
            let day = Day::small(seed);
            let result = run_day(&day);
            print_result(&day, &result);
            (!result.violations.is_empty()).then(|| format!("{day:?}\n{result}\n{:#?}", result.violations))
        })
        .collect();
    assert!(failing.is_empty(), "{}", failing.join("\n"));
}

/// Takes minutes to hours.
#[test]
#[ignore = "takes minutes to hours; run by hand with OUTAGE_SOAK_SEEDS"]
fn many_days_violate_no_rule() {
    let mut failing = Vec::new();
    for seed in seeds_from_environment("OUTAGE_SOAK_SEEDS") {
        let day = Day::drawn(seed);
        let result = run_day(&day);
        print_result(&day, &result);
        if !result.violations.is_empty() {
            if std::env::var_os("OUTAGE_SOAK_SHRINK").is_some() {
                println!("  required faults: {:?}", shrink(&day).faults);
            }
            println!(
                "  run again: OUTAGE_SOAK_SEEDS={seed} cargo test -p milletpath --test outage_soak -- --ignored --nocapture"
            );
            failing.push(seed);
        }
    }
    assert!(failing.is_empty(), "seeds of days that violated a rule: {failing:?}");
}
