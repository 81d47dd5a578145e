//! What many requests, and changes in a large fleet, cost.

mod common;

use common::{TestRouter, config, endpoint, idempotent};
use milletpath_policy::EndpointState;
use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeVal;
use std::time::Duration;

/// Time that this thread has run, whatever else the machine does, to the system's clock tick.
fn thread_time() -> Duration {
    let usage = getrusage(UsageWho::RUSAGE_THREAD).expect("the usage of a thread is known");
    let seconds = |time: TimeVal| time.tv_sec() as f64 + time.tv_usec() as f64 / 1e6;
    Duration::from_secs_f64(seconds(usage.user_time()) + seconds(usage.system_time()))
}

/// Thread time that an action takes.
fn thread_time_of(action: impl FnOnce()) -> Duration {
    let began = thread_time();
    action();
    thread_time() - began
}

/// Thread time in which this many requests arrive and then end, `rounds` times in a row.
fn time_to_end(rounds: usize, requests: usize) -> Duration {
    thread_time_of(|| {
        for _ in 0..rounds {
            let mut router = TestRouter::new(config(idempotent()), 0);
            let ids: Vec<_> = (0..requests).map(|_| router.arrive(0, 2.0)).collect();
            ids.iter().for_each(|&id| router.router.close_request(id, None, &mut router.host));
            assert_eq!(router.host.released_requests, ids);
        }
    })
}

/// The time to end requests is proportional to their number. Guards against a pass over all open requests for each one
/// that ends, which held up a router that was behind for seconds.
#[test]
fn requests_that_end_together_take_time_proportional_to_their_number() {
    const REQUESTS: usize = 2000;
    const ROUNDS: usize = 16;
    /// Between proportional (1) and quadratic (16) growth.
    const MAX_GROWTH: u32 = 4;
    let in_rounds = time_to_end(ROUNDS, REQUESTS);
    let at_once = time_to_end(1, ROUNDS * REQUESTS);
    assert!(
        at_once < in_rounds * MAX_GROWTH,
        "{ROUNDS} rounds of {REQUESTS} requests: {in_rounds:?}, all at once: {at_once:?}"
    );
}

/// Thread time in which workers of a fleet of this size drain and return one by one, each by an event of its own, while
/// some functions are known.
fn time_to_change(workers: usize, changes: usize) -> Duration {
    const FUNCTIONS: usize = 100;
    let mut router = TestRouter::new(config(idempotent()), workers);
    for function in 0..FUNCTIONS {
        router.arrive(function, 2.0);
    }
    thread_time_of(|| {
        for change in 0..changes {
            let state = if change % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
            router.router.update_endpoint(endpoint(change / 2 * 7 % workers, state, None));
            router.router.end_list(router.host.now, &mut router.host);
        }
    })
}

/// A change of one worker costs about the same in a fleet of the largest size as in a small one. Guards against a ring
/// that is built anew for each change: in a release it stopped the router for many seconds.
#[test]
fn a_change_of_one_worker_costs_the_same_in_a_fleet_of_any_size() {
    const SMALL: usize = 100;
    const LARGE: usize = 3200;
    const CHANGES: usize = 4000;
    /// Far below the growth of the fleet, 32.
    const MAX_GROWTH: u32 = 4;
    let in_small = time_to_change(SMALL, CHANGES).max(Duration::from_millis(10));
    let in_large = time_to_change(LARGE, CHANGES);
    assert!(in_large < in_small * MAX_GROWTH, "{SMALL} workers: {in_small:?}, {LARGE} workers: {in_large:?}");
}
