//! Soak test of releases of a fleet of any size while the router gets any part of a processor, with all processes on
//! loopback. Each release is derived from a seed: how many workers an event names, how fast and in what pieces it comes,
//! the part of the processor, what else happens (a lost subscription, a reload, a start from a long list of known events,
//! SIGTERM during the release). Clients keep using their open connections until the router is killed at the earliest
//! permitted time. No call may be lost, answered twice or answered too late, and the process has to exit by itself.
//!
//! CI plays a few. To play many by hand and print the figures of each:
//!
//! ```text
//! RELEASE_SOAK_SEEDS=1..50 cargo test -p milletpath --test release_soak -- --ignored --nocapture
//! ```

#[path = "../platform/persistent_client.rs"]
mod persistent_client;
mod release;

use milletpath_test_support::soak_seeds::seeds_from_environment;
use release::Release;
use test_case::test_case;

/// Seeds of the releases that CI plays.
const CI_SEEDS: std::ops::RangeInclusive<u64> = 1..=12;

/// Plays releases and returns the seeds of those that violated a rule.
fn play_all(seeds: impl Iterator<Item = u64>, draw: impl Fn(u64) -> Release) -> Vec<u64> {
    let violates = |&seed: &u64| {
        let release = draw(seed);
        let result = release.play(seed as usize);
        let violations = result.violations();
        println!(
            "seed {seed}: {} {release:?} {result:?}",
            if violations.is_empty() { "kept" } else { "violated" }
        );
        violations.iter().for_each(|violation| println!("  violation: {violation}"));
        if !violations.is_empty() {
            result.log.iter().for_each(|line| println!("  log: {line}"));
        }
        !violations.is_empty()
    };
    seeds.filter(violates).collect()
}

#[test]
fn small_releases_violate_no_rule() {
    let failing = play_all(CI_SEEDS, Release::small);
    assert!(failing.is_empty(), "seeds of releases that violated a rule: {failing:?}");
}

/// Guards against a router that stops in a release whose events are larger than a turn applies.
#[test_case(0; "with a whole processor")]
#[test_case(1; "with half of one")]
#[test_case(3; "with a quarter")]
#[test_case(5; "with a sixth")]
#[test_case(9; "with a tenth")]
#[test_case(19; "with a twentieth")]
#[ignore = "depends on the processor time of a release build; run by hand with MILLETPATH_PROGRAM"]
fn a_release_in_large_steps_loses_no_call(busy_processes: usize) {
    let result = Release::in_large_steps(busy_processes).play(busy_processes);
    assert_eq!(result.violations(), Vec::<String>::new(), "{result:?}");
}

/// Takes some seconds per seed.
#[test]
#[ignore = "takes minutes; run by hand with RELEASE_SOAK_SEEDS"]
fn many_releases_violate_no_rule() {
    let failing = play_all(seeds_from_environment("RELEASE_SOAK_SEEDS"), Release::drawn);
    for seed in &failing {
        println!(
            "play again: RELEASE_SOAK_SEEDS={seed} cargo test -p milletpath --test release_soak -- --ignored --nocapture"
        );
    }
    assert!(failing.is_empty(), "seeds of releases that violated a rule: {failing:?}");
}
