//! `milletpath peers`: what a gateway knows of the others, for operators in trouble.

use milletpath_gateway::Told;
use milletpath_membership::Reachability;
use std::path::Path;
use std::process::ExitCode;

pub fn peers(charter: &Path, json: bool) -> ExitCode {
    let house = match crate::read(charter) {
        Ok(house) => house,
        Err(code) => return code,
    };
    if house.peers.is_none() {
        eprintln!("{}: has no peers; add peers {{ ... }} to the charter", charter.display());
        return ExitCode::from(2);
    }
    match milletpath_gateway::ask(&house) {
        Ok(told) if json => match serde_json::to_string(&told) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(_) => ExitCode::FAILURE,
        },
        Ok(told) => {
            print(&told);
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{}: {e}", charter.display());
            ExitCode::FAILURE
        }
    }
}

fn print(told: &Told) {
    let view = &told.view;
    let reachability = match view.reachability {
        Reachability::Majority => "hears a majority",
        Reachability::Minority => "hears some, no majority",
        Reachability::Nobody => "hears nobody",
    };
    println!("{} ({}), incarnation {}: {reachability}", view.name, view.instance_id, view.incarnation);
    println!(
        "gateways: {} at most, {} likely, {} that may use more than their floor",
        view.max_gateways, view.likely_gateways, view.max_with_quorum
    );
    let quorum = match view.quorum_seconds {
        0.0 => "no majority backs it: it has its floor".to_owned(),
        left => format!("a majority backs it for {left:.1} s"),
    };
    println!("its part: {:.3} of one in the most; {quorum}", view.fraction);
    println!("{:<24} {:<8} {:>9} {:>9} {:>11}  at", "gateway", "state", "for, s", "heard, s", "incarnation");
    for m in &view.members {
        let age = m.assertion_age.map_or("never".into(), |age| format!("{age:.1}"));
        let twice = if m.duplicate_name { "  TWO UNDER ONE NAME" } else { "" };
        let (state, since) = (&m.state, m.seconds_in_state);
        println!(
            "{:<24} {state:<8} {since:>9.1} {age:>9} {:>11}  {}{twice}",
            m.name, m.incarnation, m.address
        );
    }
    if !told.budgets.is_empty() {
        println!(
            "{:<32} {:>10} {:>10} {:>10} {:>10} {:>10}",
            "budget", "its part", "allowed", "needed", "lent", "borrowed"
        );
    }
    for b in &told.budgets {
        println!(
            "{:<32} {:>10.3} {:>10.3} {:>10.3} {:>10.3} {:>10.3}",
            b.name, b.quota, b.allowed, b.demand, b.granted, b.held
        );
    }
    let s = &told.sharing;
    println!(
        "notes on budgets: {} sent, {} held back for want of bytes, {} unreadable; asks {}, grants {}",
        s.messages, s.suppressed, s.unreadable, s.requests, s.grants
    );
    let c = &view.counters;
    println!("letters: {} sent ({} bytes), {} taken, {} repeated", c.sent, c.bytes, c.accepted, c.replayed);
    println!(
        "not taken: {} of another key or changed, {} of a wrong size, {} of a version not read, {} unreadable, \
         {} for a former process",
        c.rejected_seal, c.rejected_size, c.rejected_version, c.rejected_body, c.misaddressed
    );
    println!(
        "probes: {}, unanswered {}; objections {}; stood still {}",
        c.probes, c.probes_unanswered, c.refutations, c.pauses
    );
}
