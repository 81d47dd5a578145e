//! `milletpath peers`: what a gateway knows of the others, for operators in trouble.

use milletpath_gateway::Told;
use milletpath_membership::Hears;
use std::path::Path;
use std::process::ExitCode;

pub fn peers(charter: &Path, json: bool) -> ExitCode {
    let house = match crate::read(charter) {
        Ok(house) => house,
        Err(code) => return code,
    };
    if house.membership.is_none() {
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
    let hears = match view.hears {
        Hears::Majority => "hears a majority",
        Hears::Some => "hears some, no majority",
        Hears::Nothing => "hears nobody",
    };
    println!("{} ({}), incarnation {}: {hears}", view.name, view.life, view.incarnation);
    println!(
        "gateways: {} at most, {} likely, {} that may use more than their floor",
        view.most, view.likely, view.highest
    );
    let backed = match view.stands {
        0.0 => "no majority backs it: it has its floor".to_owned(),
        left => format!("a majority backs it for {left:.1} s"),
    };
    println!("its part: {:.3} of one in the most; {backed}", view.part);
    println!("{:<24} {:<8} {:>9} {:>9} {:>11}  at", "gateway", "state", "for, s", "heard, s", "incarnation");
    for m in &view.members {
        let age = m.age.map_or("never".into(), |age| format!("{age:.1}"));
        let twice = if m.twice { "  TWO UNDER ONE NAME" } else { "" };
        let (state, since) = (&m.state, m.since);
        println!("{:<24} {state:<8} {since:>9.1} {age:>9} {:>11}  {}{twice}", m.name, m.incarnation, m.at);
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
            b.name, b.part, b.allowed, b.need, b.lent, b.borrowed
        );
    }
    let s = &told.sharing;
    println!(
        "notes on budgets: {} sent, {} held back for want of bytes, {} unreadable; asks {}, grants {}",
        s.notes, s.held_back, s.unread, s.asks, s.grants
    );
    let t = &view.tally;
    println!("letters: {} sent ({} bytes), {} taken, {} repeated", t.sent, t.bytes, t.taken, t.repeated);
    println!(
        "not taken: {} of another key or changed, {} of a wrong size, {} of a version not read, {} unreadable, \
         {} for a former process",
        t.seals, t.sizes, t.versions, t.bodies, t.misled
    );
    println!(
        "probes: {}, unanswered {}; objections {}; stood still {}",
        t.probes, t.missed, t.objections, t.stood
    );
}
