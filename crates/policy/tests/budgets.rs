//! Stories of budgets that all routers share: what this one may use of them, by its part and by what it is allotted.

mod common;

use common::{Did, Town, charter, line, pure};
use milletpath_policy::host::{Budget, Charter, Outcome, State};
use std::collections::BTreeMap;
use test_case::test_case;

/// Activations of a steady stream of twenty a second that are bounced within so many seconds.
fn bounced(town: &mut Town, seconds: f64) -> usize {
    let ids: Vec<_> = (0..(20.0 * seconds) as usize)
        .map(|_| {
            let id = town.arrive(0, 4.0);
            town.pass(0.05);
            if !town.shots(id).is_empty() {
                town.answer(id, 0, Outcome::Handled, 0.05);
            }
            id
        })
        .collect();
    ids.into_iter().filter(|id| town.did(&Did::Bounce { id: *id })).count()
}

fn under(ceiling: f64, routers: usize) -> Town {
    let terms = Charter { ceilings: vec![ceiling], come_back: Some(5.0), routers, ..charter(pure()) };
    let mut town = Town::new(terms, 4);
    town.pass(1.0);
    town
}

#[test_case(40.0, 1, 0; "more than asked for")]
#[test_case(10.0, 1, 95; "half of it")]
#[test_case(40.0, 4, 95; "one of four routers")]
fn a_group_is_held_to_its_ceiling(ceiling: f64, routers: usize, wanted: usize) {
    let mut town = under(ceiling, routers);
    let bounced = bounced(&mut town, 10.0);
    assert!(bounced.abs_diff(wanted) <= 8, "{bounced}");
    assert_eq!(town.host.lacked.contains(&Budget::Ceiling(0)), bounced > 0);
    // Told when there is room again: a tenth of a second for each call at ten a second, not all in step.
    assert!(town.host.away.iter().all(|a| a.is_some_and(|a| a > 0.0 && a <= 0.2)), "{:?}", town.host.away);
}

/// What is allotted counts until its time, and not a moment longer.
#[test]
fn what_is_allotted_ends_by_itself() {
    let mut town = under(10.0, 1);
    let end = town.host.now + 5.0;
    town.router.allot(Budget::Ceiling(0), [10.0, -8.0], end);
    assert!(bounced(&mut town, 5.0) <= 10);
    let after = bounced(&mut town, 10.0);
    assert!(after >= 175, "{after} of 200 at two a second");
}

/// A burst after a lull has half a second of the ceiling, however long the lull was.
#[test]
fn a_lull_saves_up_half_a_second() {
    let mut town = under(20.0, 1);
    town.pass(60.0);
    let ids: Vec<_> = (0..40).map(|n| town.arrive(n, 4.0)).collect();
    assert_eq!(ids.iter().filter(|id| !town.shots(**id).is_empty()).count(), 10);
}

/// A process stood still between deciding a shot and sending it: by then the ceiling has to let it through anew.
#[test]
fn what_was_let_through_long_ago_is_not_sent() {
    let mut town = under(20.0, 1);
    let id = town.arrive(0, 4.0);
    let worker = town.shots(id)[0];
    assert!(town.router.may_begin(town.host.now + 0.3, id, worker));
    assert!(!town.router.may_begin(town.host.now + 0.6, id, worker));
}

#[test_case(None, 3; "no bound")]
#[test_case(Some((10.0, 1.0, 0.0)), 1; "one free")]
#[test_case(Some((10.0, 0.0, 2.0)), 2; "two for each activation")]
#[test_case(Some((10.0, 0.0, 0.0)), 0; "none")]
fn further_shots_are_rationed(retries: Option<(f64, f64, f64)>, wanted: usize) {
    let mut town = Town::new(Charter { retries, ..charter(pure()) }, 6);
    town.serve(0, 0.01);
    town.pass(10.0);
    let id = town.arrive(0, 4.0);
    for shot in 0..4 {
        if town.shots(id).len() > shot {
            town.pass(0.01);
            town.answer(id, shot, Outcome::Cut, 0.01);
        }
    }
    assert_eq!(town.shots(id).len() - 1, wanted);
    assert_eq!(town.router.in_use(town.host.now, Budget::Retries), if wanted == 1 { 1.0 } else { 0.0 });
    // Ended at once rather than kept until its time is over.
    assert!(town.did(&Did::Bounce { id }), "{:?}", town.host.did);
}

/// Shots out at a worker over all routers: this one has its part, and what it is allotted.
#[test]
fn shots_at_a_worker_are_bounded() {
    let terms = Charter { hand: 8.0, routers: 4, orders: false, ..charter(pure()) };
    let mut town = Town::new(terms, 1);
    town.serve(0, 0.1);
    let out = |town: &Town, ids: &[usize]| ids.iter().filter(|id| !town.shots(**id).is_empty()).count();
    let ids: Vec<_> = (0..6).map(|_| town.arrive(0, 4.0)).collect();
    assert_eq!(out(&town, &ids), 2);
    assert!(town.host.lacked.contains(&Budget::Hand(0)));
    assert_eq!(town.router.in_use(town.host.now, Budget::Hand(0)), 2.0);
    town.router.allot(Budget::Hand(0), [-1.0, -1.0], f64::INFINITY);
    // Sent before, and too many by now: what has not begun does not begin.
    assert!(!town.router.may_begin(town.host.now, ids[0], 0));
    town.answer(ids[0], 0, Outcome::Unsent, 0.0);
    assert!(town.router.may_begin(town.host.now, ids[1], 0));
}

/// Nobody is told anything: whatever the list of budgets, all is as it was without them.
#[test]
fn a_budget_that_nobody_states_decides_nothing() {
    let played = |terms: Charter| {
        let mut town = Town::new(terms, 6);
        for round in 0..200 {
            let ids: Vec<_> = (0..3).map(|n| town.arrive((round + n) % 5, 4.0)).collect();
            town.pass(0.03);
            for id in ids {
                for shot in 0..town.shots(id).len() {
                    let outcome = if (round + shot) % 7 == 0 { Outcome::Failed } else { Outcome::Handled };
                    town.answer(id, shot, outcome, 0.03);
                }
            }
        }
        town.host.did
    };
    let ample = Charter {
        ceilings: vec![f64::INFINITY],
        retries: Some((10.0, f64::INFINITY, 0.0)),
        hand: 1e9,
        ..charter(pure())
    };
    assert_eq!(played(charter(pure())), played(ample));
}

fn members(town: &mut Town, rate: usize, busy: Option<f64>) -> usize {
    for _ in 0..100 {
        let ids: Vec<_> = (0..rate).map(|_| town.arrive(0, 4.0)).collect();
        town.pass(0.1);
        for id in ids {
            (0..town.shots(id).len()).for_each(|shot| town.answer(id, shot, Outcome::Handled, 0.1));
        }
        for (_, worker) in town.holds() {
            town.router.held(town.host.now, worker, 0, Outcome::Handled, 1, &mut town.host);
        }
        if let Some(busy) = busy {
            town.router.elsewhere(town.host.now, &BTreeMap::from([(1000, busy)]));
        }
    }
    let last = town.host.now - 3.0;
    let met = town.host.did.iter().filter_map(|(at, did)| match did {
        Did::Send { worker, .. } if *at > last => Some(*worker),
        _ => None,
    });
    met.collect::<std::collections::BTreeSet<_>>().len()
}

/// A set is sized by what others say that they keep busy, and not by own times count, while they say so.
#[test]
fn a_set_is_sized_by_what_all_see() {
    let routers = Charter { routers: 12, ..charter(pure()) };
    // Alone a router that sees one call at a time takes it for twelve.
    let guessed = members(&mut Town::new(routers.clone(), 12), 1, None);
    let told = members(&mut Town::new(routers.clone(), 12), 1, Some(0.5));
    let busy = members(&mut Town::new(routers, 12), 1, Some(11.0));
    assert!(told <= 2 && told < guessed && busy >= 4, "{told} {guessed} {busy}");
}

/// The word of others fades: after some seconds the router's own guess counts again.
#[test]
fn what_others_said_fades() {
    let mut town = Town::new(Charter { routers: 12, ..charter(pure()) }, 12);
    let told = members(&mut town, 1, Some(0.5));
    town.pass(30.0);
    town.list((0..12).map(|w| line(w, State::Ready, None)).collect());
    let guessed = members(&mut town, 1, None);
    assert!(guessed > told, "{guessed} {told}");
}
