//! The hand-over structures against plain sequential models, and stories of the decisions about cores.

use milletpath_multicore::budget::Budget;
use milletpath_multicore::connection_balancer::{ConnectionBalancer, CoreLoad, REBALANCE_INTERVAL};
use milletpath_multicore::mailbox::Mailbox;
use milletpath_multicore::response_claim::ResponseClaim;
use milletpath_multicore::watchdog::{CoreAction, REPLACE_THRESHOLD, STALL_THRESHOLD, Watchdog};
use proptest::prelude::*;

proptest! {
    /// Any sequence of puts and takes on a box is that of a bounded queue that asks for a wake when it was empty.
    #[test]
    fn a_mailbox_is_a_bounded_queue(steps in proptest::collection::vec(any::<Option<u8>>(), 0..60)) {
        const MOST: usize = 5;
        let (mailbox, mut model) = (Mailbox::new(MOST), Vec::new());
        for step in steps {
            match step {
                Some(message) if model.len() < MOST => {
                    prop_assert_eq!(mailbox.push(message), Ok(model.is_empty()));
                    model.push(message);
                }
                Some(message) => prop_assert_eq!(mailbox.push(message), Err(message)),
                None => prop_assert_eq!(Vec::from(mailbox.take_all()), std::mem::take(&mut model)),
            }
            prop_assert_eq!(mailbox.len(), model.len());
        }
    }

    #[test]
    fn a_budget_is_a_bounded_sum(steps in proptest::collection::vec((0usize..6, any::<bool>()), 0..60)) {
        let (budget, mut taken) = (Budget::new(10), Vec::new());
        for (much, take) in steps {
            if take {
                let fits = taken.iter().sum::<usize>() + much <= 10;
                prop_assert_eq!(budget.try_acquire(much), fits);
                taken.extend(fits.then_some(much));
            } else if let Some(much) = taken.pop() {
                budget.release(much);
            }
            prop_assert_eq!(budget.used(), taken.iter().sum::<usize>());
        }
    }

    /// Whatever is asked of a claim and in which order: nothing is written after the last word, and that is said only
    /// between a call and the first byte of its answer, or where nothing is owed.
    #[test]
    fn a_claim_lets_one_speak(steps in proptest::collection::vec(0u8..5, 0..40)) {
        #[derive(Clone, Copy, PartialEq)]
        enum State { Idle, Pending, Answering, TakenOver }
        let (claim, mut is) = (ResponseClaim::default(), State::Idle);
        for step in steps {
            match step {
                0 => {
                    prop_assert_eq!(claim.expect_response(), is != State::TakenOver);
                    is = if is == State::TakenOver { is } else { State::Pending };
                }
                1 => {
                    prop_assert_eq!(claim.begin_response(), is != State::TakenOver);
                    is = if is == State::Pending { State::Answering } else { is };
                }
                2 => {
                    claim.finish_response();
                    is = if is == State::Answering { State::Idle } else { is };
                }
                3 => {
                    prop_assert_eq!(claim.take_over(), is == State::Pending);
                    is = if is == State::Pending { State::TakenOver } else { is };
                }
                _ => {
                    prop_assert_eq!(claim.take_over_idle(), is == State::Idle);
                    is = if is == State::Idle { State::TakenOver } else { is };
                }
            }
            prop_assert_eq!(claim.is_taken_over(), is == State::TakenOver);
        }
    }
}

fn looks(
    balancer: &mut ConnectionBalancer,
    from: f64,
    looks: usize,
    rates: &[f64],
    open: &[usize],
) -> (f64, Vec<usize>) {
    let (mut now, mut away) = (from, vec![0; rates.len()]);
    for _ in 0..looks {
        now += REBALANCE_INTERVAL;
        let seen = |(rate, open): (&f64, &usize)| CoreLoad {
            connections: *open,
            requests: (rate * now) as u64,
            stalled: false,
        };
        let seen: Vec<_> = rates.iter().zip(open).map(seen).collect();
        balancer.rebalance(now, &seen).iter().for_each(|a| away[a.core] += a.connections);
    }
    (now, away)
}

#[test]
fn idle_connections_are_dealt_in_turn() {
    let mut balancer = ConnectionBalancer::new(4, 0.0);
    let mut counts = [0; 4];
    (0..42).for_each(|_| counts[balancer.pick_core()] += 1);
    assert!(counts.iter().all(|c| (10..=11).contains(c)), "{counts:?}");
}

/// One core has nine tenths of the calls: new connections go to the others, and some of its own are asked to go too.
#[test]
fn a_core_with_most_of_the_calls_is_relieved() {
    let mut balancer = ConnectionBalancer::new(4, 0.0);
    let (_, away) = looks(&mut balancer, 0.0, 12, &[9000.0, 333.0, 333.0, 333.0], &[30, 30, 30, 30]);
    assert!(away[0] >= 3 && away[1..] == [0, 0, 0], "{away:?}");
    let dealt: Vec<_> = (0..12).map(|_| balancer.pick_core()).collect();
    assert!(!dealt.contains(&0), "{dealt:?}");
}

/// Alike but for chance, or hardly used, or crowded by one client alone: nobody is sent away.
#[test]
fn nobody_is_sent_away_without_need() {
    for (rates, open) in
        [([1100.0, 1000.0, 900.0], [9, 9, 9]), ([90.0, 9.0, 9.0], [9, 9, 9]), ([3000.0, 0.0, 0.0], [1, 0, 0])]
    {
        let (_, away) = looks(&mut ConnectionBalancer::new(3, 0.0), 0.0, 40, &rates, &open);
        assert_eq!(away, [0, 0, 0], "{rates:?}");
    }
}

#[test]
fn nothing_is_dealt_to_a_core_that_stands_still() {
    let mut balancer = ConnectionBalancer::new(2, 0.0);
    balancer.rebalance(
        1.0,
        &[
            CoreLoad { stalled: true, ..CoreLoad::default() },
            CoreLoad { connections: 50, ..CoreLoad::default() },
        ],
    );
    assert!((0..9).all(|_| balancer.pick_core() == 1));
}

#[test]
fn a_core_is_stood_in_for_and_then_replaced() {
    let watchdog = Watchdog::new(0.0);
    assert_eq!(watchdog.check(10.0, 10.0 - STALL_THRESHOLD / 2.0), CoreAction::Nothing);
    assert_eq!(watchdog.check(10.0, 9.5), CoreAction::SendDueResponses);
    assert_eq!(watchdog.check(10.0, 8.5), CoreAction::TakeOverMessages);
    assert_eq!(watchdog.check(10.0, 9.9 - REPLACE_THRESHOLD), CoreAction::Replace);
}

/// The watcher itself stood still, as when all of the process was stopped: the cores had no chance to be seen.
#[test]
fn nobody_is_blamed_for_the_watchers_own_standstill() {
    let mut watchdog = Watchdog::new(0.0);
    watchdog.resume(20.0);
    assert_eq!(watchdog.check(20.1, 10.0), CoreAction::Nothing);
    assert_eq!(watchdog.check(20.5, 10.0), CoreAction::SendDueResponses);
}

/// A core that dies at once each time is started ever more seldom; one that lived is replaced at once.
#[test]
fn a_place_that_keeps_losing_its_core_rests() {
    let (mut watchdog, mut now, mut rests) = (Watchdog::new(0.0), 1.0, Vec::new());
    for _ in 0..12 {
        let at = watchdog.core_lost(now);
        assert_eq!(watchdog.check(now + 9.0, 0.0), CoreAction::Nothing, "there is nobody to replace");
        assert!(watchdog.may_restart(at) && (at <= now || !watchdog.may_restart(now)));
        rests.push(at - now);
        now = at;
        watchdog.core_started(now);
    }
    assert!(rests[0] == 0.0 && rests.windows(2).all(|r| r[0] <= r[1] + 1e-9) && rests[11] > 9.9, "{rests:?}");
    assert_eq!(watchdog.core_lost(now + 60.0), now + 60.0);
}
