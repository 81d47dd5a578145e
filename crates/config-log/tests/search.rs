//! Three replicas and a follower, and every order in which messages are delivered, duplicated or lost, changes are proposed,
//! processes crash (also between storing and sending) and restart, a disk fails for a while or is lost, and timers run
//! out: to a given depth, from many states along random walks.

#[path = "search/model.rs"]
mod model;

use model::{Defect, Event, FOLLOWER, Model, REPLICA_COUNT, deliver_promptly};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;

/// Explores all that can happen within that many events; returns the number of new states, or the first fault.
fn search(model: &Model, depth: usize, visited: &mut HashSet<u64>) -> Result<usize, String> {
    let mut states = 0;
    for event in model.events() {
        let mut next = model.clone();
        next.apply(event);
        if !visited.insert(next.fingerprint()) {
            continue;
        }
        states += 1;
        if let Some(violation) = &next.violation {
            return Err(format!("after {event:?}: {violation}"));
        }
        if depth > 1 {
            states += search(&next, depth - 1, visited).map_err(|error| format!("{event:?}, {error}"))?;
        }
    }
    Ok(states)
}

/// Some phases. Before each, a replica may crash, lose its disk, or restart; in each, one may be isolated or single links be
/// down; changes are proposed, and for a moment messages are delivered in any order.
fn random_walk(model: &mut Model, phases: usize, rng: &mut ChaCha8Rng) {
    for _ in 0..phases {
        let n = rng.random_range(0..REPLICA_COUNT);
        match model.nodes[n] {
            Some(_) if rng.random_bool(0.15) && model.may_lose_disk(n) => model.apply(Event::LoseDisk(n)),
            Some(_) if rng.random_bool(0.3) => model.apply(Event::Crash(n)),
            Some(_) if rng.random_bool(0.3) && model.failing[n].is_none() => {
                model.apply(Event::Fail(n, rng.random_bool(0.5)));
            }
            _ => {}
        }
        for n in 0..REPLICA_COUNT {
            if model.failing[n].is_some() && rng.random_bool(0.4) {
                model.apply(Event::Recover(n));
            }
            if model.nodes[n].is_none() && rng.random_bool(0.8) {
                model.apply(Event::Start(n));
            }
        }
        let mut link_is_up = [[true; REPLICA_COUNT + 1]; REPLICA_COUNT + 1];
        match rng.random_range(0..8) {
            0 | 1 => {}
            2 => link_is_up.iter_mut().flatten().for_each(|is_up| *is_up = rng.random_bool(0.6)),
            _ => {
                let isolated = rng.random_range(0..REPLICA_COUNT);
                (0..=FOLLOWER)
                    .for_each(|n| (link_is_up[isolated][n], link_is_up[n][isolated]) = (false, false));
            }
        }
        for _ in 0..rng.random_range(0..3) {
            model.apply(Event::Propose(rng.random_range(0..REPLICA_COUNT)));
        }
        let seconds = if rng.random_bool(0.5) { 0.05..0.4 } else { 0.8..3.0 };
        deliver_promptly(model, &link_is_up, rng.random_range(seconds));
        if rng.random_bool(0.3) {
            let events = rng.random_range(0..10);
            random_events(model, events, rng);
        }
    }
}

/// Random events, with messages in transit.
fn random_events(model: &mut Model, events: usize, rng: &mut ChaCha8Rng) {
    for _ in 0..events {
        let events = model.events();
        let event = events[rng.random_range(0..events.len())];
        let ends = matches!(
            event,
            Event::Crash(_) | Event::LoseDisk(_) | Event::DeliverThenCrash(..) | Event::Drop(_)
        );
        if !ends || rng.random_bool(0.2) {
            model.apply(event);
        }
    }
}

/// States and commits over all seeds, or the first fault.
fn search_from_random_walks(
    seeds: std::ops::Range<u64>,
    depth: usize,
    defect: Defect,
) -> Result<(usize, usize), String> {
    let (mut states, mut commits) = (0, 0);
    for seed in seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut model = Model::new(defect);
        for _ in 0..3 {
            random_walk(&mut model, 6, &mut rng);
            if let Some(violation) = &model.violation {
                return Err(format!("seed {seed} at {:.3} s: {violation}", model.now));
            }
            if depth > 0 {
                random_events(&mut model, 12, &mut rng);
                let error = |error| format!("seed {seed} at {:.3} s: {error}", model.now);
                states += search(&model, depth, &mut HashSet::new()).map_err(error)?;
            }
            let mut healed = model.clone();
            healed.heal().map_err(|error| format!("seed {seed}, healed at {:.3} s: {error}", model.now))?;
        }
        commits += model.chosen.len();
    }
    Ok((states, commits))
}

/// Every order of events to depth two from 15 states, and 120 more random walks; deeper by hand:
/// `DEPTH=4 cargo test --release -p milletpath-config-log --test search -- --ignored`.
#[test]
fn no_order_of_events_breaks_the_log() {
    let (states, commits) =
        search_from_random_walks(0..5, 2, Defect::None).unwrap_or_else(|error| panic!("{error}"));
    println!("{states} states, {commits} commits");
    assert!(states > 5_000 && commits > 50, "{states} states, {commits} commits");
    let (_, commits) =
        search_from_random_walks(1_000..1_120, 0, Defect::None).unwrap_or_else(|error| panic!("{error}"));
    println!("{commits} commits");
    assert!(commits > 1_200, "{commits} commits");
}

#[test]
#[ignore = "takes minutes; depth and seeds are asked for by hand"]
fn no_order_of_events_breaks_the_log_in_depth() {
    let from_environment =
        |name: &str, default| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
    let (depth, seeds, walks) =
        (from_environment("DEPTH", 3), from_environment("SEEDS", 40), from_environment("WAYS", 20_000));
    let found = search_from_random_walks(0..seeds, depth as usize, Defect::None)
        .unwrap_or_else(|error| panic!("{error}"));
    println!("{} states, {} commits", found.0, found.1);
    let found = search_from_random_walks(10_000..10_000 + walks, 0, Defect::None)
        .unwrap_or_else(|error| panic!("{error}"));
    println!("{walks} walks, {} commits", found.1);
}

/// The same walks find a protocol with a seeded defect.
#[test_case::test_case(Defect::SendBeforeDurable; "sends before what was stored is durable")]
#[test_case::test_case(Defect::Quorum; "one of three is enough")]
#[test_case::test_case(Defect::LostDiskVotes; "a lost disk is passed over")]
#[test_case::test_case(Defect::IgnoreStorageFailure; "what could not be stored is taken for stored")]
fn each_seeded_defect_is_found(defect: Defect) {
    let found = search_from_random_walks(0..3_000, 0, defect);
    assert!(
        found.as_ref().is_err_and(|error| error.contains("which was") || error.contains("is said")),
        "{found:?}"
    );
}
