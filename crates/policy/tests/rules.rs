//! One story for each way in which a rule could be broken.

mod common;

use common::{Did, Town, charter, line, pure};
use milletpath_policy::host::{Charter, Effect, Group, Outcome, Profile, State};
use oorandom::Rand32;
use test_case::test_case;

const EFFECTFUL: Effect = Effect::Effectful;

fn receipted(group: Group) -> Effect {
    Effect::Receipted { group, memory: 2.0 }
}

fn with(effect: Effect) -> Profile {
    Profile { effect, ..pure() }
}

#[test_case(Effect::Pure, true; "pure is bounced")]
#[test_case(receipted(Group::All), true; "receipted everywhere is bounced")]
#[test_case(receipted(Group::Zone), false; "receipted in a zone is terminated")]
#[test_case(EFFECTFUL, false; "effectful is terminated")]
fn an_unanswered_shot_gets_its_one_final_answer_in_time(effect: Effect, bounced: bool) {
    let mut town = Town::new(charter(with(effect)), 3);
    let id = town.arrive(0, 2.0);
    town.pass(2.0);
    let finals: Vec<_> = town
        .host
        .did
        .iter()
        .filter(|(_, d)| matches!(d, Did::Bounce { .. } | Did::Terminate { .. }))
        .collect();
    let expected = if bounced { Did::Bounce { id } } else { Did::Terminate { id } };
    assert_eq!(finals.len(), 1);
    assert_eq!(finals[0].1, expected);
    assert!(finals[0].0 < 2.0);
}

#[test_case(0; "no worker at all")]
#[test_case(3; "all draining")]
fn without_a_ready_worker_an_activation_is_bounced_early(workers: usize) {
    let mut town = Town::new(charter(pure()), workers);
    town.list((0..workers).map(|w| line(w, State::Draining, None)).collect());
    let id = town.arrive(0, 4.0);
    town.pass(1.0);
    assert!(town.shots(id).is_empty());
    assert!(town.did(&Did::Bounce { id }));
}

#[test_case(Effect::Pure, Outcome::Failed, true; "pure goes on after an error")]
#[test_case(EFFECTFUL, Outcome::Failed, false; "effectful may have run")]
#[test_case(EFFECTFUL, Outcome::Cut, false; "effectful cut off")]
#[test_case(EFFECTFUL, Outcome::Full, true; "effectful never ran")]
#[test_case(EFFECTFUL, Outcome::Unreached, true; "effectful never arrived")]
#[test_case(receipted(Group::All), Outcome::Failed, true; "receipted everywhere goes on")]
fn a_failed_shot_is_followed_only_where_that_is_harmless(effect: Effect, outcome: Outcome, again: bool) {
    let mut town = Town::new(charter(with(effect)), 3);
    let id = town.arrive(0, 4.0);
    town.pass(0.1);
    town.answer(id, 0, outcome, 0.1);
    assert_eq!(town.shots(id).len(), if again { 2 } else { 1 });
    assert_eq!(town.did(&Did::Terminate { id }), !again, "what cannot go on ends at once");
}

#[test_case(Group::Zone; "zone")]
#[test_case(Group::Cell; "cell")]
fn a_receipted_activation_stays_with_those_who_know_it(group: Group) {
    for function in 0..12 {
        let mut town = Town::new(charter(with(receipted(group))), 8);
        let id = town.arrive(function, 4.0);
        town.answer(id, 0, Outcome::Cut, 0.1);
        let at: Vec<_> =
            town.shots(id).iter().map(|&w| if group == Group::Zone { w % 2 } else { w / 2 }).collect();
        assert_eq!(at.len(), 2);
        assert_eq!(at[0], at[1]);
    }
}

#[test]
fn a_receipted_activation_is_not_repeated_after_its_receipt_is_forgotten() {
    let mut town = Town::new(charter(with(receipted(Group::All))), 4);
    let id = town.arrive(0, 9.0);
    town.pass(2.5);
    let before = town.shots(id).len();
    town.answer(id, 0, Outcome::Cut, 2.5);
    assert_eq!(town.shots(id).len(), before);
}

#[test]
fn a_silent_shot_is_left_alone() {
    let mut town = Town::new(charter(pure()), 4);
    let ids: Vec<_> = (0..8).map(|_| town.arrive(0, 4.0)).collect();
    town.pass(3.5);
    assert!(ids.iter().all(|&id| town.shots(id).len() <= 1));
}

#[test_case(State::Draining; "draining")]
#[test_case(State::Gone; "gone")]
fn a_worker_that_leaves_gets_neither_shots_nor_orders(state: State) {
    let mut town = Town::new(charter(pure()), 3);
    let home = town.serve(0, 0.1);
    town.list(vec![line(home, state, None)]);
    let from = town.host.did.len();
    for _ in 0..40 {
        town.arrive(0, 4.0);
        town.pass(0.02);
    }
    assert!(town.host.did.len() > from);
    assert!(town.host.did[from..].iter().all(|(_, d)| !matches!(d,
        Did::Send { worker, .. } | Did::Hold { worker, copies: 1.., .. } if *worker == home)));
}

#[test_case(1, 1.0; "one router")]
#[test_case(4, 1.0; "four routers")]
#[test_case(1, 0.25; "a slow day")]
fn a_cold_worker_is_not_sent_more_than_its_budget(routers: usize, pace: f64) {
    let terms = milletpath_policy::host::Charter { routers, orders: false, ..charter(pure()) };
    let budget = terms.tip_multiple * terms.cold_share * terms.tip_window / routers as f64;
    let mut town = Town::new(terms, 2);
    for n in 0..200 {
        town.serve(n % 60, 0.05 / pace);
    }
    // A warm worker takes about ten a second times the pace, and one that is alike starts.
    let rate = 10.0 * pace * routers as f64;
    let start = town.host.now;
    town.list(vec![line(9, State::Ready, Some(start))]);
    for n in 0..180 {
        town.arrive(n % 60, 4.0);
        town.pass(0.01);
    }
    let to = town.host.did.iter().filter(|(_, d)| matches!(d, Did::Send { worker: 9, .. })).count();
    assert!(to as f64 <= budget * rate * 1.4, "{to} shots against {}", budget * rate);
}

/// Connections to a cold worker that come up late, all at once: what was decided before does not begin together with
/// what is decided then.
#[test_case(0.25; "a quarter of the window")]
#[test_case(0.5; "half of the window")]
#[test_case(1.0; "all of the window")]
fn late_connections_do_not_exceed_a_cold_worker_s_bound(late: f64) {
    const RATE: f64 = 800.0;
    const STEP: f64 = 0.0005;
    let terms = Charter { orders: false, warm_up: 1e4, tip_window: 1.0, ..charter(pure()) };
    let (window, n) = (terms.tip_window, terms.tip_multiple * terms.cold_share * terms.tip_window * RATE);
    let mut town = Town::new(terms, 1);
    for function in 0..4000 {
        town.serve(function % 400, 1.0 / RATE);
    }
    let start = town.host.now;
    town.list(vec![line(0, State::Draining, None), line(9, State::Ready, Some(start))]);
    // For so long before `up` no connection comes up; then all are there at once.
    let up = start + window;
    let (mut waiting, mut begun) = (Vec::new(), Vec::new());
    let mut seen = town.host.did.len();
    while town.host.now < up + window {
        town.arrive(town.host.did.len() % 400, 0.9);
        town.pass(STEP);
        let now = town.host.now;
        for (decided, did) in &town.host.did[seen..] {
            if let Did::Send { id, worker: 9 } = did {
                waiting.push((*decided, *id));
            }
        }
        seen = town.host.did.len();
        if now >= up || now < up - late {
            for (decided, id) in std::mem::take(&mut waiting) {
                if now - decided <= late && town.router.may_begin(now, id, 9) {
                    begun.push(now);
                    town.answer(id, town.shots(id).len() - 1, Outcome::Handled, 0.01);
                } else {
                    town.router.close(id, None, &mut town.host);
                    town.answer(id, town.shots(id).len() - 1, Outcome::Unsent, 0.01);
                }
            }
        }
    }
    let most =
        begun.iter().map(|from| begun.iter().filter(|at| (*from..*from + window).contains(*at)).count());
    let most = most.max().unwrap_or(0) as f64;
    let bound = n + 2.0 * n.sqrt() + 2.0;
    assert!(most > 0.4 * n, "{most} of {n}");
    assert!(most <= bound, "{most} in a window, for {bound:.1} at most");
}

#[test]
fn orders_to_load_stay_within_the_ration() {
    let terms =
        milletpath_policy::host::Charter { ration: Some((5.0, 2.0, 0.05)), misses: true, ..charter(pure()) };
    let mut town = Town::new(terms, 6);
    let mut taken = Vec::new();
    for n in 0..300 {
        taken.push(town.host.now);
        let id = town.arrive(n % 60, 4.0);
        if !town.shots(id).is_empty() {
            town.answer(id, 0, Outcome::Missed, 0.0);
        }
        town.pass(0.05);
    }
    let holds = town.holds();
    assert!(holds.len() > 3);
    for &(at, _) in &holds {
        // An arrival just at the edge is out, however its time was rounded.
        let orders = holds.iter().filter(|&&(t, _)| t <= at && at - t < 5.0 + 1e-6).count() as f64;
        let share = taken.iter().filter(|&&t| t <= at && at - t < 5.0 - 1e-6).count() as f64;
        assert!(orders <= 2.0 + 0.05 * share);
    }
}

/// Any legal order of events: each activation has one final answer in its time, nothing is sent after it, and
/// nothing to workers that left.
#[test_case(1, Effect::Pure; "pure")]
#[test_case(2, EFFECTFUL; "effectful")]
#[test_case(3, Effect::Receipted { group: Group::Cell, memory: 1.0 }; "receipted in a cell")]
#[test_case(4, Effect::Receipted { group: Group::All, memory: 1.0 }; "receipted everywhere")]
fn whatever_happens_the_rules_hold(seed: u64, effect: Effect) {
    let mut chance = Rand32::new(seed);
    let mut town = Town::new(
        milletpath_policy::host::Charter { misses: seed.is_multiple_of(2), ..charter(with(effect)) },
        6,
    );
    let (mut ready, mut open, mut out) = (vec![true; 6], Vec::new(), Vec::new());
    let (mut ends, mut seen) = (Vec::new(), 0);
    for _ in 0..4000 {
        match chance.rand_range(0..10) {
            0..3 => {
                let patience = f64::from(chance.rand_range(1..2000)) / 1000.0;
                let id = town.arrive(chance.rand_range(0..9) as usize, patience);
                ends.push((town.host.now + patience, 0, Vec::new()));
                open.push(id);
            }
            3..7 if !out.is_empty() => {
                let at = chance.rand_range(0..out.len() as u32) as usize;
                let (id, shot): (usize, usize) = out.swap_remove(at);
                let outcome = [
                    Outcome::Handled,
                    Outcome::Failed,
                    Outcome::Full,
                    Outcome::Cut,
                    Outcome::Unreached,
                    Outcome::Missed,
                    Outcome::Withdrawn,
                ][chance.rand_range(0..7) as usize];
                let settled = outcome == Outcome::Handled && ends[id].1 == 0;
                ends[id].1 += usize::from(settled);
                ends[id].2[shot] = outcome.never_ran();
                town.answer(id, shot, outcome, 0.1);
            }
            7 => {
                let w = chance.rand_range(0..6) as usize;
                ready[w] = !ready[w];
                let state = if ready[w] { State::Ready } else { State::Draining };
                town.list(vec![line(w, state, None)]);
            }
            8 => town.router.held(town.host.now, 1, 3, Outcome::Failed, 0, &mut town.host),
            _ => town.pass(0.03),
        }
        for n in seen..town.host.did.len() {
            let (at, did) = town.host.did[n].clone();
            match did {
                Did::Send { id, worker } => {
                    let (until, finals, never_ran) = &mut ends[id];
                    assert!(*finals == 0 && at < *until && ready[worker]);
                    assert!(effect != EFFECTFUL || never_ran.iter().all(|&n| n));
                    out.push((id, never_ran.len()));
                    never_ran.push(false);
                }
                Did::Bounce { id } | Did::Terminate { id } => {
                    ends[id].1 += 1;
                    assert!(
                        effect != EFFECTFUL || did == Did::Terminate { id } || ends[id].2.iter().all(|&n| n)
                    );
                    assert!(at <= ends[id].0 + 1e-9);
                }
                _ => {}
            }
        }
        seen = town.host.did.len();
    }
    town.pass(3.0);
    for (_, did) in &town.host.did[seen..] {
        if let Did::Bounce { id } | Did::Terminate { id } = did {
            ends[*id].1 += 1;
        }
    }
    assert!(ends.iter().all(|&(_, finals, _)| finals == 1));
}
