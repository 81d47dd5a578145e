//! Tests the shared structures against sequential models, and the decisions about cores.

use milletpath_multicore::budget::Budget;
use milletpath_multicore::connection_balancer::{ConnectionBalancer, CoreLoad, REBALANCE_INTERVAL};
use milletpath_multicore::mailbox::Mailbox;
use milletpath_multicore::response_claim::ResponseClaim;
use milletpath_multicore::watchdog::{CoreAction, REPLACE_THRESHOLD, STALL_THRESHOLD, Watchdog};
use proptest::prelude::*;

proptest! {
    /// Under any sequence of pushes and takes, a mailbox acts as a bounded queue that requests a wake-up for a push
    /// into an empty queue.
    #[test]
    fn a_mailbox_is_a_bounded_queue(steps in proptest::collection::vec(any::<Option<u8>>(), 0..60)) {
        const CAPACITY: usize = 5;
        let (mailbox, mut model) = (Mailbox::new(CAPACITY), Vec::new());
        for step in steps {
            match step {
                Some(message) if model.len() < CAPACITY => {
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
        let (budget, mut acquired) = (Budget::new(10), Vec::new());
        for (amount, acquire) in steps {
            if acquire {
                let fits = acquired.iter().sum::<usize>() + amount <= 10;
                prop_assert_eq!(budget.try_acquire(amount), fits);
                acquired.extend(fits.then_some(amount));
            } else if let Some(amount) = acquired.pop() {
                budget.release(amount);
            }
            prop_assert_eq!(budget.used(), acquired.iter().sum::<usize>());
        }
    }

    /// In any order of calls: nothing is written after a takeover, and a takeover succeeds only between a request and
    /// the first byte of its response, or while no response is pending.
    #[test]
    fn a_claim_lets_one_thread_respond(steps in proptest::collection::vec(0u8..5, 0..40)) {
        #[derive(Clone, Copy, PartialEq)]
        enum State { Idle, Pending, Responding, TakenOver }
        let (claim, mut state) = (ResponseClaim::default(), State::Idle);
        for step in steps {
            match step {
                0 => {
                    prop_assert_eq!(claim.expect_response(), state != State::TakenOver);
                    state = if state == State::TakenOver { state } else { State::Pending };
                }
                1 => {
                    prop_assert_eq!(claim.begin_response(), state != State::TakenOver);
                    state = if state == State::Pending { State::Responding } else { state };
                }
                2 => {
                    claim.finish_response();
                    state = if state == State::Responding { State::Idle } else { state };
                }
                3 => {
                    prop_assert_eq!(claim.take_over(), state == State::Pending);
                    state = if state == State::Pending { State::TakenOver } else { state };
                }
                _ => {
                    prop_assert_eq!(claim.take_over_idle(), state == State::Idle);
                    state = if state == State::Idle { State::TakenOver } else { state };
                }
            }
            prop_assert_eq!(claim.is_taken_over(), state == State::TakenOver);
        }
    }
}

/// Runs `rounds` rounds with constant request rates; returns how many connections each core was told to close.
fn rebalance_rounds(
    balancer: &mut ConnectionBalancer,
    rounds: usize,
    rates: &[f64],
    open: &[usize],
) -> Vec<usize> {
    let mut closed = vec![0; rates.len()];
    for round in 1..=rounds {
        let now = round as f64 * REBALANCE_INTERVAL;
        let load = |(rate, open): (&f64, &usize)| CoreLoad {
            connections: *open,
            requests: (rate * now) as u64,
            stalled: false,
        };
        let loads: Vec<_> = rates.iter().zip(open).map(load).collect();
        balancer.rebalance(now, &loads).iter().for_each(|shift| closed[shift.core] += shift.connections);
    }
    closed
}

#[test]
fn idle_connections_are_spread_evenly() {
    let mut balancer = ConnectionBalancer::new(4, 0.0);
    let mut counts = [0; 4];
    (0..42).for_each(|_| counts[balancer.pick_core()] += 1);
    assert!(counts.iter().all(|c| (10..=11).contains(c)), "{counts:?}");
}

/// A core that receives 90% of the requests closes some of its connections, and new connections go to the other cores.
#[test]
fn a_core_with_most_requests_closes_connections() {
    let mut balancer = ConnectionBalancer::new(4, 0.0);
    let closed = rebalance_rounds(&mut balancer, 12, &[9000.0, 333.0, 333.0, 333.0], &[30, 30, 30, 30]);
    assert!(closed[0] >= 3 && closed[1..] == [0, 0, 0], "{closed:?}");
    let picked: Vec<_> = (0..12).map(|_| balancer.pick_core()).collect();
    assert!(!picked.contains(&0), "{picked:?}");
}

/// No connections are closed if loads differ only by random variation, if loads are low, or if a core has a single busy
/// client.
#[test]
fn balanced_or_idle_cores_close_nothing() {
    for (rates, open) in
        [([1100.0, 1000.0, 900.0], [9, 9, 9]), ([90.0, 9.0, 9.0], [9, 9, 9]), ([3000.0, 0.0, 0.0], [1, 0, 0])]
    {
        let closed = rebalance_rounds(&mut ConnectionBalancer::new(3, 0.0), 40, &rates, &open);
        assert_eq!(closed, [0, 0, 0], "{rates:?}");
    }
}

#[test]
fn a_stalled_core_gets_no_connections() {
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
fn a_stalled_core_is_taken_over_and_then_replaced() {
    let watchdog = Watchdog::new(0.0);
    assert_eq!(watchdog.check(10.0, 10.0 - STALL_THRESHOLD / 2.0), CoreAction::Nothing);
    assert_eq!(watchdog.check(10.0, 9.5), CoreAction::SendDueResponses);
    assert_eq!(watchdog.check(10.0, 8.5), CoreAction::TakeOverMessages);
    assert_eq!(watchdog.check(10.0, 9.9 - REPLACE_THRESHOLD), CoreAction::Replace);
}

/// When the watching thread itself was stalled, for example because the process was stopped, the cores had no chance to
/// run either and must not count as stalled.
#[test]
fn a_stall_of_the_watching_thread_is_not_attributed_to_cores() {
    let mut watchdog = Watchdog::new(0.0);
    watchdog.resume(20.0);
    assert_eq!(watchdog.check(20.1, 10.0), CoreAction::Nothing);
    assert_eq!(watchdog.check(20.5, 10.0), CoreAction::SendDueResponses);
}

/// A core that exits immediately after each start is restarted with growing delays; one that was stable is restarted
/// without delay.
#[test]
fn restarts_of_a_failing_core_back_off() {
    let (mut watchdog, mut now, mut delays) = (Watchdog::new(0.0), 1.0, Vec::new());
    for _ in 0..12 {
        let at = watchdog.core_lost(now);
        assert_eq!(watchdog.check(now + 9.0, 0.0), CoreAction::Nothing, "there is no thread to replace");
        assert!(watchdog.may_restart(at) && (at <= now || !watchdog.may_restart(now)));
        delays.push(at - now);
        now = at;
        watchdog.core_started(now);
    }
    assert!(
        delays[0] == 0.0 && delays.windows(2).all(|r| r[0] <= r[1] + 1e-9) && delays[11] > 9.9,
        "{delays:?}"
    );
    assert_eq!(watchdog.core_lost(now + 60.0), now + 60.0);
}
