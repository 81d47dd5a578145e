//! The cost of ending many requests at once.

mod common;

use common::{TestRouter, config, idempotent};
use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeVal;
use std::time::Duration;

/// Time that this thread has run, whatever else the machine does, to the system's clock tick.
fn thread_time() -> Duration {
    let usage = getrusage(UsageWho::RUSAGE_THREAD).expect("the usage of a thread is known");
    let seconds = |time: TimeVal| time.tv_sec() as f64 + time.tv_usec() as f64 / 1e6;
    Duration::from_secs_f64(seconds(usage.user_time()) + seconds(usage.system_time()))
}

/// Thread time in which this many requests arrive and then end, `rounds` times in a row.
fn time_to_end(rounds: usize, requests: usize) -> Duration {
    let began = thread_time();
    for _ in 0..rounds {
        let mut router = TestRouter::new(config(idempotent()), 0);
        let ids: Vec<_> = (0..requests).map(|_| router.arrive(0, 2.0)).collect();
        ids.iter().for_each(|&id| router.router.close_request(id, None, &mut router.host));
        assert_eq!(router.host.released_requests, ids);
    }
    thread_time() - began
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
