//! Prints a gateway's report on the other gateways as tables.

use milletpath_gateway::MembershipStatus;
use milletpath_membership::{MembershipView, Reachability};

/// Prints all tables.
pub fn print(status: &MembershipStatus) {
    print_own_state(&status.view);
    print_members(&status.view);
    print_budgets(status);
    print_counters(status);
}

/// Prints the gateway's own state, and its estimates of the number of gateways.
fn print_own_state(view: &MembershipView) {
    let reachability = match view.reachability {
        Reachability::Majority => "reaches a majority",
        Reachability::Minority => "reaches some gateways, no majority",
        Reachability::Nobody => "reaches no other gateway",
    };
    println!("{} ({}), incarnation {}: {reachability}", view.name, view.instance_id, view.incarnation);
    println!(
        "gateways: {} at most, {} likely, {} that may use more than their floor",
        view.max_gateways, view.likely_gateways, view.max_with_quorum
    );
    let quorum = match view.quorum_seconds {
        0.0 => "no quorum proof: it has its floor".to_owned(),
        seconds => format!("its quorum proof is valid for {seconds:.1} s"),
    };
    println!("quota fraction: {:.3}; {quorum}", view.fraction);
}

/// Prints a line for each other gateway.
fn print_members(view: &MembershipView) {
    println!(
        "{:<24} {:<8} {:>9} {:>17} {:>11}  address",
        "gateway", "state", "for, s", "last assertion, s", "incarnation"
    );
    for member in &view.members {
        let assertion_age = member.assertion_age.map_or("never".into(), |age| format!("{age:.1}"));
        let warning = if member.duplicate_name { "  TWO GATEWAYS OF ONE NAME" } else { "" };
        println!(
            "{:<24} {:<8} {:>9.1} {assertion_age:>17} {:>11}  {}{warning}",
            member.name, member.state, member.seconds_in_state, member.incarnation, member.address
        );
    }
}

/// Prints a line for each shared budget.
fn print_budgets(status: &MembershipStatus) {
    if status.budgets.is_empty() {
        return;
    }
    println!(
        "{:<32} {:>10} {:>10} {:>10} {:>10} {:>10}",
        "budget", "quota", "allowed", "demand", "granted", "held"
    );
    for budget in &status.budgets {
        println!(
            "{:<32} {:>10.3} {:>10.3} {:>10.3} {:>10.3} {:>10.3}",
            budget.name, budget.quota, budget.allowed, budget.demand, budget.granted, budget.held
        );
    }
}

/// Prints the counters since the gateway's start.
fn print_counters(status: &MembershipStatus) {
    let sharing = &status.sharing;
    println!(
        "budget messages: {} sent, {} suppressed for lack of bytes, {} unreadable; {} requests, {} grants",
        sharing.messages, sharing.suppressed, sharing.unreadable, sharing.requests, sharing.grants
    );
    let counters = &status.view.counters;
    println!(
        "datagrams: {} sent ({} bytes), {} accepted, {} replayed",
        counters.sent, counters.bytes, counters.accepted, counters.replayed
    );
    println!(
        "datagrams rejected: {} of another key or altered, {} of a wrong size, {} of another version, {} unreadable, \
         {} for a former process",
        counters.rejected_seal,
        counters.rejected_size,
        counters.rejected_version,
        counters.rejected_body,
        counters.misaddressed
    );
    println!(
        "probes: {}, unanswered {}; refutations {}; pauses of this process {}",
        counters.probes, counters.probes_unanswered, counters.refutations, counters.pauses
    );
}
