//! The report of a scenario as tables.

use super::json_report::PERCENTILES;
use milletpath_emulator::scenario::ScenarioReport;
use milletpath_emulator::scenario_file::Scenario;
use milletpath_history_checker::{
    BoundReport, DetectionTimes, MembershipObservations, ServiceCounts, Violation,
};

/// Largest number of rule violations that are listed.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// Prints all tables.
pub fn print(scenario: &Scenario, report: &ScenarioReport) {
    print_requests(scenario, report);
    print_store(report);
    print_violations(&report.violations);
    for (name, bound) in &report.bounds {
        print_bound(name, bound);
    }
    if let Some(membership) = &report.membership {
        print_membership(membership);
    }
}

/// Prints how requests ended: all, and those sent during each fault.
fn print_requests(scenario: &Scenario, report: &ScenarioReport) {
    println!(
        "scenario {} with seed {}: {} requests, {} attempts",
        scenario.name, scenario.seed, report.counts.calls, report.counts.attempts
    );
    println!(
        "{:<16} {:>8} {:>8} {:>9} {:>6} {:>8} {:>8} {:>10}",
        "fault", "requests", "service", "succeeded", "late", "rejected", "failed", "unanswered"
    );
    print_counts("all", &report.counts);
    for (index, counts) in &report.by_fault {
        print_counts(&scenario.faults[*index].name, counts);
    }
    if let Some([p50, p99, p999]) = milletpath_history_checker::latencies(&report.records, PERCENTILES) {
        println!("successful attempts took: p50 {p50:.3} s, p99 {p99:.3} s, p99.9 {p999:.3} s");
    }
}

/// Prints a line of counts.
fn print_counts(name: &str, counts: &ServiceCounts) {
    println!(
        "{name:<16} {:>8} {:>8.3} {:>9} {:>6} {:>8} {:>8} {:>10}",
        counts.calls,
        counts.service(),
        counts.succeeded,
        counts.late,
        counts.rejected,
        counts.failed,
        counts.unanswered
    );
}

/// Prints what workers fetched from the store.
fn print_store(report: &ScenarioReport) {
    println!(
        "fetches from the store: {}, rejected there: {}; requests that found an instance: {:.3}",
        report.fetches, report.rejected_fetches, report.warm_fraction
    );
}

/// Prints the rules that were broken.
fn print_violations(violations: &[Violation]) {
    match violations.len() {
        0 => println!("rules: all five kept"),
        count => println!("rules: broken in {count} places"),
    }
    for Violation { rule, at, what } in violations.iter().take(MAX_LISTED_VIOLATIONS) {
        println!("  rule {rule} at {at:.3} s: {what}");
    }
}

/// Prints a bound that members of one fleet must keep together.
fn print_bound(name: &str, BoundReport { most, bound, violations, first_violations }: &BoundReport) {
    println!("bound {name}: {most:.1} where {bound:.1} is allowed, broken {violations} times");
    for violation in first_violations {
        println!("  at {:.3} s: {}", violation.at, violation.what);
    }
}

/// Prints what membership cost and how soon it noticed events.
fn print_membership(membership: &MembershipObservations) {
    println!(
        "membership: {:.1} datagrams and {:.0} bytes a second of each gateway",
        membership.datagrams_per_second, membership.bytes_per_second
    );
    println!("  false reports: {} suspects, {} dead", membership.false_suspicions, membership.false_deaths);
    print_detection_times("death", &membership.death);
    print_detection_times("join", &membership.join);
    print_detection_times("healing", &membership.healing);
}

/// Prints how soon an event was known, if there was one.
fn print_detection_times(event: &str, DetectionTimes { p50, p99, detected, missed }: &DetectionTimes) {
    if let (Some(p50), Some(p99)) = (p50, p99) {
        println!("  {event} known after: p50 {p50:.2} s, p99 {p99:.2} s ({detected} times; {missed} not)");
    }
}
