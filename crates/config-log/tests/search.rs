//! Model checking of three replicas and a follower: from many states along random walks, every sequence of events up to a
//! given depth is explored. Events are the delivery, duplication and loss of messages, proposals of changes, crashes (also
//! between storing and sending) and restarts of processes, temporary failure and loss of disks, and expiry of timers.

#[path = "search/model.rs"]
mod model;

use model::{Defect, Event, FOLLOWER, Model, REPLICA_COUNT, deliver_promptly};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;

/// Explores all sequences of up to `depth` events; returns the number of new states, or the first violation.
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

/// Walks randomly for a number of phases. Before each phase a replica may crash, lose its disk, have its storage fail, or
/// restart. In each phase a replica may be isolated or single links may be down, changes are proposed, messages are
/// delivered promptly, and sometimes a few random events follow.
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

/// Applies random events, including those of messages in transit.
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

/// The number of explored states and of committed entries over all seeds, or the first violation.
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

/// Explores to depth two from 15 states, and takes 120 more random walks. For a deeper search run
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
#[ignore = "takes minutes; run by hand, with depth and seeds from the environment"]
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

/// The random walks find each defect that is deliberately put into the protocol.
#[test_case::test_case(Defect::SendBeforeDurable; "sends messages before records are durable")]
#[test_case::test_case(Defect::Quorum; "a quorum of one of three")]
#[test_case::test_case(Defect::LostDiskVotes; "votes after the loss of its disk")]
#[test_case::test_case(Defect::IgnoreStorageFailure; "ignores a storage failure")]
fn each_seeded_defect_is_found(defect: Defect) {
    let found = search_from_random_walks(0..3_000, 0, defect);
    assert!(
        found
            .as_ref()
            .is_err_and(|error| error.contains("was chosen there") || error.contains("was never committed")),
        "{found:?}"
    );
}
