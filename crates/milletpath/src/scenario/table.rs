//! Prints the report of a scenario as tables.

use super::json_report::PERCENTILES;
use milletpath_emulator::scenario::ScenarioReport;
use milletpath_emulator::scenario_file::Scenario;
use milletpath_history_checker::{
    BoundReport, DetectionTimes, MembershipObservations, ServiceCounts, Violation,
};

/// Maximum number of rule violations that are listed.
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

/// Prints the outcomes of all requests, of the requests sent during each fault, and the latency percentiles.
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

/// Prints the outcomes of a group of requests in one line.
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

/// Prints the counts of fetches from the store.
fn print_store(report: &ScenarioReport) {
    println!(
        "fetches from the store: {}, rejected there: {}; requests that found an instance: {:.3}",
        report.fetches, report.rejected_fetches, report.warm_fraction
    );
}

/// Prints the rule violations, up to [`MAX_LISTED_VIOLATIONS`].
fn print_violations(violations: &[Violation]) {
    match violations.len() {
        0 => println!("rules: all five kept"),
        count => println!("rules: broken in {count} places"),
    }
    for Violation { rule, at, what } in violations.iter().take(MAX_LISTED_VIOLATIONS) {
        println!("  rule {rule} at {at:.3} s: {what}");
    }
}

/// Prints how far a bound that the members of a fleet share was used, and its violations.
fn print_bound(name: &str, BoundReport { most, bound, violations, first_violations }: &BoundReport) {
    println!("bound {name}: {most:.1} where {bound:.1} is allowed, broken {violations} times");
    for violation in first_violations {
        println!("  at {:.3} s: {}", violation.at, violation.what);
    }
}

/// Prints the traffic of membership, its false reports and its detection times.
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

/// Prints the detection times of one kind of event, if there was such an event.
fn print_detection_times(event: &str, DetectionTimes { p50, p99, detected, missed }: &DetectionTimes) {
    if let (Some(p50), Some(p99)) = (p50, p99) {
        println!("  {event} known after: p50 {p50:.2} s, p99 {p99:.2} s ({detected} times; {missed} not)");
    }
}
