//! The cost of ending many requests at once.

mod common;

use common::{TestRouter, config, idempotent};
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Time that this thread has run, whatever else the machine does.
fn thread_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("the clock exists").into()
}

/// Thread time in which this many requests end, all of which have arrived before; the shortest of some trials.
fn time_to_end(requests: usize) -> Duration {
    const TRIALS: usize = 3;
    let trial = || {
        let mut router = TestRouter::new(config(idempotent()), 0);
        let ids: Vec<_> = (0..requests).map(|_| router.arrive(0, 2.0)).collect();
        let began = thread_time();
        ids.iter().for_each(|&id| router.router.close_request(id, None, &mut router.host));
        let spent = thread_time() - began;
        assert_eq!(router.host.released_requests, ids);
        spent
    };
    (0..TRIALS).map(|_| trial()).min().expect("there is a trial")
}

/// The time to end requests is proportional to their number. Guards against a pass over all open requests for each one
/// that ends, which held up a router that was behind for seconds.
#[test]
fn requests_that_end_together_take_time_proportional_to_their_number() {
    const REQUESTS: usize = 1000;
    const FACTOR: u32 = 16;
    /// Between proportional (16) and quadratic (256) growth.
    const MAX_GROWTH: u32 = 64;
    let (few, many) = (time_to_end(REQUESTS), time_to_end(REQUESTS * FACTOR as usize));
    assert!(many < few * MAX_GROWTH, "{REQUESTS} requests: {few:?}, {FACTOR} times as many: {many:?}");
}
