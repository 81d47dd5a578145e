//! One story for each way in which a rule could be broken.

mod common;

use common::{HostCall, TestRouter, config, endpoint, idempotent};
use milletpath_policy::host::{Charter, Effect, Group, Outcome, Profile, State};
use oorandom::Rand32;
use test_case::test_case;

const EFFECTFUL: Effect = Effect::Effectful;

fn receipted(group: Group) -> Effect {
    Effect::Receipted { group, memory: 2.0 }
}

fn profile_with(effect: Effect) -> Profile {
    Profile { effect, ..idempotent() }
}

#[test_case(Effect::Pure, true; "pure is bounced")]
#[test_case(receipted(Group::All), true; "receipted everywhere is bounced")]
#[test_case(receipted(Group::Zone), false; "receipted in a zone is terminated")]
#[test_case(EFFECTFUL, false; "effectful is terminated")]
fn an_unanswered_attempt_gets_one_final_answer_in_time(effect: Effect, rejected: bool) {
    let mut router = TestRouter::new(config(profile_with(effect)), 3);
    let id = router.arrive(0, 2.0);
    router.advance(2.0);
    let finals: Vec<_> = router
        .host
        .calls
        .iter()
        .filter(|(_, d)| matches!(d, HostCall::Reject { .. } | HostCall::Fail { .. }))
        .collect();
    let expected = if rejected { HostCall::Reject { id } } else { HostCall::Fail { id } };
    assert_eq!(finals.len(), 1);
    assert_eq!(finals[0].1, expected);
    assert!(finals[0].0 < 2.0);
}

#[test_case(0; "no worker at all")]
#[test_case(3; "all draining")]
fn without_a_ready_worker_a_request_is_rejected_early(workers: usize) {
    let mut router = TestRouter::new(config(idempotent()), workers);
    router.list((0..workers).map(|w| endpoint(w, State::Draining, None)).collect());
    let id = router.arrive(0, 4.0);
    router.advance(1.0);
    assert!(router.attempts(id).is_empty());
    assert!(router.has_called(&HostCall::Reject { id }));
}

#[test_case(Effect::Pure, Outcome::Failed, true; "pure goes on after an error")]
#[test_case(EFFECTFUL, Outcome::Failed, false; "effectful may have run")]
#[test_case(EFFECTFUL, Outcome::Cut, false; "effectful cut off")]
#[test_case(EFFECTFUL, Outcome::Full, true; "effectful never ran")]
#[test_case(EFFECTFUL, Outcome::Unreached, true; "effectful never arrived")]
#[test_case(receipted(Group::All), Outcome::Failed, true; "receipted everywhere goes on")]
fn a_failed_attempt_is_retried_only_where_that_is_harmless(effect: Effect, outcome: Outcome, again: bool) {
    let mut router = TestRouter::new(config(profile_with(effect)), 3);
    let id = router.arrive(0, 4.0);
    router.advance(0.1);
    router.answer(id, 0, outcome, 0.1);
    assert_eq!(router.attempts(id).len(), if again { 2 } else { 1 });
    assert_eq!(router.has_called(&HostCall::Fail { id }), !again, "what cannot go on ends at once");
}

#[test_case(Group::Zone; "zone")]
#[test_case(Group::Cell; "cell")]
fn a_retry_with_an_idempotency_key_stays_where_the_key_is_known(group: Group) {
    for function in 0..12 {
        let mut router = TestRouter::new(config(profile_with(receipted(group))), 8);
        let id = router.arrive(function, 4.0);
        router.answer(id, 0, Outcome::Cut, 0.1);
        let at: Vec<_> =
            router.attempts(id).iter().map(|&w| if group == Group::Zone { w % 2 } else { w / 2 }).collect();
        assert_eq!(at.len(), 2);
        assert_eq!(at[0], at[1]);
    }
}

#[test]
fn no_retry_after_the_idempotency_key_has_expired() {
    let mut router = TestRouter::new(config(profile_with(receipted(Group::All))), 4);
    let id = router.arrive(0, 9.0);
    router.advance(2.5);
    let before = router.attempts(id).len();
    router.answer(id, 0, Outcome::Cut, 2.5);
    assert_eq!(router.attempts(id).len(), before);
}

#[test]
fn an_unanswered_attempt_is_not_hedged() {
    let mut router = TestRouter::new(config(idempotent()), 4);
    let ids: Vec<_> = (0..8).map(|_| router.arrive(0, 4.0)).collect();
    router.advance(3.5);
    assert!(ids.iter().all(|&id| router.attempts(id).len() <= 1));
}

#[test_case(State::Draining; "draining")]
#[test_case(State::Gone; "gone")]
fn a_draining_worker_gets_neither_attempts_nor_load_requests(state: State) {
    let mut router = TestRouter::new(config(idempotent()), 3);
    let home = router.serve(0, 0.1);
    router.list(vec![endpoint(home, state, None)]);
    let from = router.host.calls.len();
    for _ in 0..40 {
        router.arrive(0, 4.0);
        router.advance(0.02);
    }
    assert!(router.host.calls.len() > from);
    assert!(router.host.calls[from..].iter().all(|(_, d)| !matches!(d,
        HostCall::Send { worker, .. } | HostCall::RequestLoad { worker, copies: 1.., .. } if *worker == home)));
}

#[test_case(1, 1.0; "one router")]
#[test_case(4, 1.0; "four routers")]
#[test_case(1, 0.25; "a slow day")]
fn a_worker_in_slow_start_is_not_sent_more_than_its_budget(routers: usize, pace: f64) {
    let settings = milletpath_policy::host::Charter { routers, orders: false, ..config(idempotent()) };
    let budget = settings.tip_multiple * settings.cold_share * settings.tip_window / routers as f64;
    let mut router = TestRouter::new(settings, 2);
    for n in 0..200 {
        router.serve(n % 60, 0.05 / pace);
    }
    // A warm worker takes about ten a second times the pace, and one that is alike starts.
    let rate = 10.0 * pace * routers as f64;
    let start = router.host.now;
    router.list(vec![endpoint(9, State::Ready, Some(start))]);
    for n in 0..180 {
        router.arrive(n % 60, 4.0);
        router.advance(0.01);
    }
    let to = router.host.calls.iter().filter(|(_, d)| matches!(d, HostCall::Send { worker: 9, .. })).count();
    assert!(to as f64 <= budget * rate * 1.4, "{to} shots against {}", budget * rate);
}

/// Connections to a cold worker that come up late, all at once: what was decided before does not begin together with
/// what is decided then.
#[test_case(0.25; "a quarter of the window")]
#[test_case(0.5; "half of the window")]
#[test_case(1.0; "all of the window")]
fn late_connections_do_not_exceed_the_limit_of_a_slow_start(late: f64) {
    const RATE: f64 = 800.0;
    const STEP: f64 = 0.0005;
    let settings = Charter { orders: false, warm_up: 1e4, tip_window: 1.0, ..config(idempotent()) };
    let (window, n) =
        (settings.tip_window, settings.tip_multiple * settings.cold_share * settings.tip_window * RATE);
    let mut router = TestRouter::new(settings, 1);
    for function in 0..4000 {
        router.serve(function % 400, 1.0 / RATE);
    }
    let start = router.host.now;
    router.list(vec![endpoint(0, State::Draining, None), endpoint(9, State::Ready, Some(start))]);
    // For so long before `up` no connection comes up; then all are there at once.
    let up = start + window;
    let (mut waiting, mut begun) = (Vec::new(), Vec::new());
    let mut checked = router.host.calls.len();
    while router.host.now < up + window {
        router.arrive(router.host.calls.len() % 400, 0.9);
        router.advance(STEP);
        let now = router.host.now;
        for (decided, calls) in &router.host.calls[checked..] {
            if let HostCall::Send { id, worker: 9 } = calls {
                waiting.push((*decided, *id));
            }
        }
        checked = router.host.calls.len();
        if now >= up || now < up - late {
            for (decided, id) in std::mem::take(&mut waiting) {
                if now - decided <= late && router.router.may_begin(now, id, 9) {
                    begun.push(now);
                    router.answer(id, router.attempts(id).len() - 1, Outcome::Handled, 0.01);
                } else {
                    router.router.close(id, None, &mut router.host);
                    router.answer(id, router.attempts(id).len() - 1, Outcome::Unsent, 0.01);
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
fn load_requests_stay_within_their_budget() {
    let settings = milletpath_policy::host::Charter {
        ration: Some((5.0, 2.0, 0.05)),
        misses: true,
        ..config(idempotent())
    };
    let mut router = TestRouter::new(settings, 6);
    let mut taken = Vec::new();
    for n in 0..300 {
        taken.push(router.host.now);
        let id = router.arrive(n % 60, 4.0);
        if !router.attempts(id).is_empty() {
            router.answer(id, 0, Outcome::Missed, 0.0);
        }
        router.advance(0.05);
    }
    let load_requests = router.load_requests();
    assert!(load_requests.len() > 3);
    for &(at, _) in &load_requests {
        // An arrival just at the edge is out, however its time was rounded.
        let orders = load_requests.iter().filter(|&&(t, _)| t <= at && at - t < 5.0 + 1e-6).count() as f64;
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
fn any_order_of_events_keeps_the_rules(seed: u64, effect: Effect) {
    let mut chance = Rand32::new(seed);
    let mut router = TestRouter::new(
        milletpath_policy::host::Charter { misses: seed.is_multiple_of(2), ..config(profile_with(effect)) },
        6,
    );
    let (mut ready, mut open, mut out) = (vec![true; 6], Vec::new(), Vec::new());
    let (mut ends, mut checked) = (Vec::new(), 0);
    for _ in 0..4000 {
        match chance.rand_range(0..10) {
            0..3 => {
                let patience = f64::from(chance.rand_range(1..2000)) / 1000.0;
                let id = router.arrive(chance.rand_range(0..9) as usize, patience);
                ends.push((router.host.now + patience, 0, Vec::new()));
                open.push(id);
            }
            3..7 if !out.is_empty() => {
                let at = chance.rand_range(0..out.len() as u32) as usize;
                let (id, attempt): (usize, usize) = out.swap_remove(at);
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
                ends[id].2[attempt] = outcome.never_ran();
                router.answer(id, attempt, outcome, 0.1);
            }
            7 => {
                let w = chance.rand_range(0..6) as usize;
                ready[w] = !ready[w];
                let state = if ready[w] { State::Ready } else { State::Draining };
                router.list(vec![endpoint(w, state, None)]);
            }
            8 => router.router.held(router.host.now, 1, 3, Outcome::Failed, 0, &mut router.host),
            _ => router.advance(0.03),
        }
        for n in checked..router.host.calls.len() {
            let (at, calls) = router.host.calls[n].clone();
            match calls {
                HostCall::Send { id, worker } => {
                    let (until, finals, never_ran) = &mut ends[id];
                    assert!(*finals == 0 && at < *until && ready[worker]);
                    assert!(effect != EFFECTFUL || never_ran.iter().all(|&n| n));
                    out.push((id, never_ran.len()));
                    never_ran.push(false);
                }
                HostCall::Reject { id } | HostCall::Fail { id } => {
                    ends[id].1 += 1;
                    assert!(
                        effect != EFFECTFUL
                            || calls == HostCall::Fail { id }
                            || ends[id].2.iter().all(|&n| n)
                    );
                    assert!(at <= ends[id].0 + 1e-9);
                }
                _ => {}
            }
        }
        checked = router.host.calls.len();
    }
    router.advance(3.0);
    for (_, calls) in &router.host.calls[checked..] {
        if let HostCall::Reject { id } | HostCall::Fail { id } = calls {
            ends[*id].1 += 1;
        }
    }
    assert!(ends.iter().all(|&(_, finals, _)| finals == 1));
}
