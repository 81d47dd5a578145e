//! Soak test of planned restarts, with all processes on loopback. Each restart is derived from a seed: clients keep using
//! their open connections until the router is killed at the earliest permitted time, signals come in series, the process
//! is paused, a crowd connects during the shutdown, and other threads compete for the processors. No call may be lost,
//! answered twice or answered too late, and the process has to exit by itself.
//!
//! CI runs a few small restarts. To run many by hand and print the figures of each:
//!
//! ```text
//! RESTART_SOAK_SEEDS=1..50 cargo test -p milletpath --test restart_soak -- --ignored --nocapture
//! ```
//!
//! For a restart that violates a rule, the command that runs it again is printed.

#[path = "../platform/persistent_client.rs"]
mod persistent_client;
mod restart;

use milletpath_test_support::soak_seeds::seeds_from_environment;
use restart::{Restart, RestartResult};

/// Seeds of the small restarts that CI runs.
const CI_SEEDS: std::ops::RangeInclusive<u64> = 1..=32;

/// Runs restarts and returns the seeds of those that violated a rule.
fn run_all(seeds: impl Iterator<Item = u64>, draw: impl Fn(u64) -> Restart) -> Vec<u64> {
    let violates = |&seed: &u64| {
        let restart = draw(seed);
        let result: RestartResult = restart.run();
        let violations = result.violations();
        println!(
            "seed {seed}: {} {restart:?} {result:?}",
            if violations.is_empty() { "kept" } else { "violated" }
        );
        violations.iter().for_each(|violation| println!("  violation: {violation}"));
        !violations.is_empty()
    };
    seeds.filter(violates).collect()
}

#[test]
fn small_restarts_violate_no_rule() {
    let failing = run_all(CI_SEEDS, Restart::small);
    assert!(failing.is_empty(), "seeds of restarts that violated a rule: {failing:?}");
}

/// Takes some seconds per seed.
#[test]
#[ignore = "takes minutes; run by hand with RESTART_SOAK_SEEDS"]
fn many_restarts_violate_no_rule() {
    let failing = run_all(seeds_from_environment("RESTART_SOAK_SEEDS"), Restart::drawn);
    for seed in &failing {
        println!(
            "run again: RESTART_SOAK_SEEDS={seed} cargo test -p milletpath --test restart_soak -- --ignored --nocapture"
        );
    }
    assert!(failing.is_empty(), "seeds of restarts that violated a rule: {failing:?}");
}
