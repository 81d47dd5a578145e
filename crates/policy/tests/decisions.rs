//! One story for each decision, and for each failure met in service or on the bench.

mod common;

use common::{Did, Town, charter, line, pure};
use milletpath_policy::host::{Charter, Listing, Outcome, Report, State};
use test_case::test_case;

#[test_case(2; "few routers")]
#[test_case(300; "many, of which each sees one arrival")]
fn routers_agree_on_a_function_s_home(routers: usize) {
    let mut one = Town::new(charter(pure()), 8);
    let mut other = Town::new(Charter { seed: 99, routers, ..charter(pure()) }, 8);
    for function in 0..20 {
        assert_eq!(one.serve(function, 0.1), other.serve(function, 0.1));
    }
}

#[test]
fn a_function_that_turns_hot_reaches_more_workers() {
    let mut town = Town::new(charter(pure()), 8);
    for _ in 0..60 {
        let ids: Vec<_> = (0..6).map(|_| town.arrive(0, 4.0)).collect();
        town.pass(0.2);
        for id in ids {
            (0..town.shots(id).len()).for_each(|shot| town.answer(id, shot, Outcome::Handled, 0.2));
        }
        for (_, worker) in town.holds() {
            town.router.held(town.host.now, worker, 0, Outcome::Handled, 1, &mut town.host);
        }
    }
    let mut met: Vec<_> = (0..360).flat_map(|id| town.shots(id)).collect();
    met.sort_unstable();
    met.dedup();
    assert!(met.len() >= 3, "{met:?}");
}

#[test]
fn a_full_worker_is_given_no_more_for_a_while() {
    let mut town = Town::new(charter(pure()), 4);
    let home = town.serve(0, 0.1);
    let id = town.arrive(0, 4.0);
    town.answer(id, 0, Outcome::Full, 0.0);
    assert!(town.shots(id)[1..].iter().all(|&w| w != home));
}

#[test]
fn a_load_that_outlives_its_shot_is_not_begun_again_elsewhere() {
    // Loads begun by shots that were called off left no trace, and each next one began on another worker.
    let mut town = Town::new(charter(pure()), 8);
    let id = town.arrive(0, 1.5);
    town.pass(1.5);
    town.answer(id, 0, Outcome::Withdrawn, 1.5);
    let next = town.arrive(0, 4.0);
    assert_eq!(town.shots(next)[0], town.shots(id)[0]);
}

#[test]
fn activations_join_a_load_up_to_its_lanes_and_wait_beyond_them() {
    let mut town = Town::new(charter(pure()), 8);
    let ids: Vec<_> = (0..3).map(|_| town.arrive(0, 4.0)).collect();
    assert_eq!(town.shots(ids[0]), town.shots(ids[1]));
    assert!(town.shots(ids[2]).is_empty());
    town.pass(0.5);
    town.answer(ids[0], 0, Outcome::Handled, 0.5);
    assert_eq!(town.shots(ids[2]), town.shots(ids[0]));
}

#[test_case(false; "told nothing of memory")]
#[test_case(true; "memory filled")]
fn no_instance_is_ordered_ahead_where_memory_is_filled(filled: bool) {
    let memory = if filled { vec![120.0] } else { vec![] };
    let mut town = Town::new(Charter { memory, ..charter(pure()) }, 4);
    for _ in 0..20 {
        let ids: Vec<_> = (0..8).map(|_| town.arrive(0, 4.0)).collect();
        town.pass(0.3);
        ids.iter().filter(|&&id| !town.shots(id).is_empty()).for_each(|_| ());
        for id in ids {
            (0..town.shots(id).len()).for_each(|shot| town.answer(id, shot, Outcome::Handled, 0.3));
        }
    }
    assert_eq!(town.holds().is_empty(), filled);
}

#[test]
fn a_silent_worker_loses_its_traffic() {
    let mut town = Town::new(charter(pure()), 6);
    let home = town.serve(0, 0.1);
    (0..30).for_each(|_| _ = town.serve(0, 0.1));
    // What it took ends unanswered, after a time that no chance explains.
    town.pass(0.1);
    let held: Vec<_> = (0..2).map(|_| town.arrive(0, 1.5)).collect();
    town.pass(1.5);
    held.iter().for_each(|&id| town.answer(id, 0, Outcome::Withdrawn, 1.5));
    let next: Vec<_> = (0..10).map(|_| town.arrive(0, 4.0)).collect();
    assert!(next.iter().filter(|&&id| town.shots(id).contains(&home)).count() <= 1);
}

#[test]
fn a_worker_that_fails_fast_loses_its_traffic_and_gets_it_back() {
    let mut town = Town::new(Charter { orders: false, ..charter(pure()) }, 6);
    let home = town.serve(0, 0.1);
    let mut kept = 0;
    for _ in 0..40 {
        let id = town.arrive(0, 4.0);
        for shot in 0..4 {
            let Some(&worker) = town.shots(id).get(shot) else { break };
            let bad = worker == home;
            kept += usize::from(bad);
            town.pass(0.01);
            town.answer(id, shot, if bad { Outcome::Failed } else { Outcome::Handled }, 0.01);
        }
    }
    assert!(kept <= 10, "{kept} of 40");
    town.pass(30.0);
    assert!((0..40).any(|_| town.serve(0, 0.01) == home));
}

#[test]
fn an_instance_past_a_set_that_shrank_is_still_used() {
    // The set shrank under its only instance, and all that came was bounced as no member had one.
    let mut town = Town::new(charter(pure()), 6);
    (0..30).for_each(|_| _ = town.serve(0, 0.01));
    let home = town.shots(0)[0];
    town.list(vec![line(home, State::Draining, None)]);
    town.pass(31.0);
    let other = town.serve(0, 0.01);
    town.list(vec![line(home, State::Ready, None)]);
    assert_eq!(town.serve(0, 0.01), other);
}

#[test]
fn a_miss_is_answered_by_an_order_and_another_shot_once_it_stands() {
    let mut town = Town::new(Charter { misses: true, ..charter(pure()) }, 4);
    let id = town.arrive(0, 4.0);
    let home = town.shots(id)[0];
    town.answer(id, 0, Outcome::Missed, 0.0);
    assert!(town.did(&Did::Hold { worker: home, function: 0, copies: 1 }));
    assert_eq!(town.shots(id), [home]);
    town.pass(0.5);
    town.router.held(town.host.now, home, 0, Outcome::Handled, 1, &mut town.host);
    assert_eq!(town.shots(id), [home, home]);
}

#[test]
fn clients_beyond_their_share_wait_first() {
    let mut town = Town::new(Charter { quotas: vec![2.0], over_share: 0.1, ..charter(pure()) }, 1);
    town.serve(0, 0.5);
    (0..12).for_each(|_| _ = town.arrive(0, 4.0));
    town.pass(0.9);
    let bounced = (0..13).filter(|&id| town.did(&Did::Bounce { id })).count();
    assert!(bounced >= 6, "{bounced}");
}

#[test]
fn a_subscription_that_broke_is_asked_for_again() {
    let mut town = Town::new(Charter { asks: true, ..charter(pure()) }, 2);
    town.router.list_failed(town.host.now, &mut town.host);
    town.pass(3.0);
    assert_eq!(town.host.did.iter().filter(|(_, d)| *d == Did::Follow).count(), 2);
}

#[test]
fn a_restarted_worker_is_forgiven_and_taken_to_be_empty() {
    let mut town = Town::new(charter(pure()), 6);
    let home = town.serve(0, 0.1);
    town.list(vec![line(home, State::Ready, Some(town.host.now))]);
    let next = town.serve(0, 0.1);
    assert_ne!(next, home, "it has no capacity yet that is known");
}

#[test]
fn late_and_unknown_word_is_passed_over() {
    let mut town = Town::new(charter(pure()), 2);
    let id = town.arrive(0, 4.0);
    town.answer(id, 0, Outcome::Handled, 0.1);
    town.answer(id, 0, Outcome::Handled, 0.1);
    town.answer(id + 7, 3, Outcome::Cut, f64::NAN);
    town.router.close(id + 9, None, &mut town.host);
    town.router.held(town.host.now, 1, 99, Outcome::Overdue, 0, &mut town.host);
    assert_eq!(town.host.forgotten, [id]);
}

#[test_case(true; "answered")]
#[test_case(false; "not answered")]
fn one_of_many_routers_asks_before_it_joins_a_queue_unseen(answers: bool) {
    let mut town = Town::new(Charter { routers: 100, probes: true, ..charter(pure()) }, 4);
    let id = town.arrive(0, 4.0);
    assert!(town.shots(id).is_empty());
    let Some((_, Did::Probe { worker })) = town.host.did.last().cloned() else { panic!("no probe") };
    if answers {
        let report = Some(Report { held: Some(0.0), ..Report::default() });
        town.router.probed(0.004, worker, Outcome::Handled, report, &mut town.host);
    } else {
        town.pass(0.05);
    }
    assert_eq!(town.shots(id), [worker]);
}

#[test_case(0.99, false; "busy cores")]
#[test_case(0.3, true; "cores to spare")]
fn a_worker_that_reports_a_crowd_gets_nothing_from_one_of_many_routers(busy: f64, gets: bool) {
    let mut town = Town::new(Charter { routers: 100, ..charter(pure()) }, 4);
    let home = town.serve(0, 0.1);
    let report = Some(Report { held: Some(50.0), busy: Some(busy), ..Report::default() });
    town.router.probed(0.1, home, Outcome::Handled, report, &mut town.host);
    let id = town.arrive(0, 4.0);
    assert_eq!(town.shots(id).contains(&home), gets);
}

/// Two wait at a worker, and an activation takes less than the time that may pass there. A worker of one core's size has
/// a crowd; one of five works through them at once. It was taken for as crowded while its rate was not known.
#[test_case(1.0, false; "a small worker")]
#[test_case(5.0, true; "a large one")]
fn a_large_worker_is_not_crowded_by_two_that_wait(size: f64, gets: bool) {
    for seed in 0..20 {
        let mut town = Town::new(Charter { seed, routers: 100, ..charter(pure()) }, 4);
        town.list((0..4).map(|w| Listing { size, ..line(w, State::Ready, None) }).collect());
        for w in 0..4 {
            let report = Some(Report { waiting: Some(2.02), ..Report::default() });
            town.router.probed(0.0, w, Outcome::Handled, report, &mut town.host);
        }
        let id = town.arrive(0, 4.0);
        assert_eq!(!town.shots(id).is_empty(), gets, "seed {seed}");
    }
}

/// Two activations of a function come together at one of three hundred routers, as they do at some of them all the time.
/// Read as hundreds a second they stretched its set over a dozen workers, each of which loads it.
#[test]
fn a_chance_meeting_stretches_no_set() {
    let mut met = std::collections::BTreeSet::new();
    for seed in 0..60 {
        let mut town = Town::new(Charter { seed, routers: 300, ..charter(pure()) }, 40);
        town.serve(0, 0.3);
        town.pass(30.0);
        let ids = [0, 0].map(|function| town.arrive(function, 4.0));
        met.extend(town.shots(ids[1]));
        met.extend(town.holds().into_iter().map(|(_, worker)| worker));
    }
    assert!(met.len() <= 8, "{met:?}");
}

#[test]
fn after_a_failed_load_orders_rest_for_a_while() {
    // The store was pushed over by loads that every router began again at once.
    let mut town = Town::new(Charter { misses: true, ..charter(pure()) }, 4);
    let miss = |town: &mut Town, function| {
        let id = town.arrive(function, 4.0);
        town.answer(id, 0, Outcome::Missed, 0.0);
        (town.shots(id)[0], town.holds().len())
    };
    let (home, orders) = miss(&mut town, 0);
    town.router.held(town.host.now, home, 0, Outcome::Failed, 0, &mut town.host);
    assert_eq!(miss(&mut town, 1).1, orders, "at once");
    town.pass(1.0);
    assert!(town.holds().len() > orders, "later");
}

#[test_case(0.5, true; "little time")]
#[test_case(4.0, false; "time enough")]
fn a_load_that_its_client_may_not_wait_for_is_ordered_as_well(patience: f64, ordered: bool) {
    let mut town = Town::new(charter(pure()), 4);
    let id = town.arrive(0, patience);
    let worker = town.shots(id)[0];
    assert_eq!(town.did(&Did::Hold { worker, function: 0, copies: 1 }), ordered);
}

/// One-off functions, each wanted once, would pile up for as long as a router lives.
#[test]
fn functions_asked_for_once_are_forgotten_and_busy_ones_are_not() {
    let mut town = Town::new(charter(pure()), 4);
    for one_off in 0..400 {
        town.serve(0, 0.05);
        town.serve(1 + one_off, 0.05);
    }
    let forgotten = &town.host.forgotten_functions;
    // Those of the last 15 s or so, and the time a round takes, are still known.
    assert!((150..400).contains(&forgotten.len()), "{} forgotten", forgotten.len());
    assert!(!forgotten.contains(&0));
    // What is forgotten is served as if new.
    town.serve(1, 0.05);
}

/// The answer to an order that comes after its function was forgotten would be booked on another one.
#[test]
fn a_function_with_an_order_out_is_not_forgotten() {
    let mut town = Town::new(Charter { misses: true, order_wait: 60.0, ..charter(pure()) }, 2);
    let forgotten_after = |town: &mut Town, seconds: usize| {
        for _ in 0..seconds {
            town.arrive(3, 0.4);
            town.pass(1.0);
        }
        town.host.forgotten_functions.contains(&2)
    };
    let id = town.arrive(2, 0.5);
    (0..4).for_each(|shot| town.answer(id, shot, Outcome::Missed, 0.01));
    assert!(!town.holds().is_empty());
    assert!(!forgotten_after(&mut town, 50));
    assert!(forgotten_after(&mut town, 50));
}

/// A client group that waited 0.25 s a try came again at once with each bounce, four times what it had to ask, while
/// the workers answered in half that time.
#[test_case(4.0; "a patient client")]
#[test_case(0.3; "one of little time, that answers still reach")]
fn a_worker_that_answers_in_time_is_sent_what_its_client_waits_for(patience: f64) {
    let mut town = Town::new(charter(pure()), 1);
    for n in 0..120 {
        town.serve(n % 10, 0.05);
    }
    let before: Vec<_> = (0..4).map(|function| town.arrive(function, 4.0)).collect();
    assert!(before.iter().all(|&id| town.shots(id).len() == 1));
    let id = town.arrive(5, patience);
    assert_eq!(town.shots(id).len(), 1);
}

/// Kept to the end of its client's own time, which was shorter than the due time, it came too late for a further try.
#[test]
fn nobody_is_kept_past_half_of_his_own_time_without_a_shot() {
    let mut town = Town::new(charter(pure()), 0);
    let id = town.arrive(0, 0.4);
    town.pass(0.19);
    assert!(town.did(&Did::Bounce { id }));
}

/// Bad clients called functions that no worker knows: each failed at four workers, and soon all were distrusted.
#[test]
fn a_function_that_fails_everywhere_is_no_fault_of_the_workers() {
    let mut town = Town::new(charter(pure()), 6);
    let home = town.serve(0, 0.1);
    for function in 1..40 {
        let id = town.arrive(function, 4.0);
        while let Some(shot) = town.shots(id).len().checked_sub(1).filter(|_| !town.did(&Did::Bounce { id }))
        {
            town.answer(id, shot, Outcome::Failed, 0.001);
        }
        assert_eq!(town.shots(id).len(), 2);
    }
    assert!((0..20).all(|_| town.serve(0, 0.1) == home));
}

/// With a sixth of the workers cold, three routers turned a third away from queues that had room: the bound was set for
/// a hundred routers, which see little of what the others send.
#[test]
fn few_routers_give_a_worker_more_than_each_of_many() {
    let taken = |routers| {
        let mut town = Town::new(Charter { routers, ..charter(pure()) }, 1);
        for n in 0..120 {
            town.serve(n % 30, 0.1);
        }
        let ids: Vec<_> = (0..30).map(|function| town.arrive(function, 4.0)).collect();
        ids.into_iter().filter(|&id| !town.shots(id).is_empty()).count()
    };
    let (few, many) = (taken(3), taken(100));
    assert!(few > many && many > 0, "{few} and {many}");
}
