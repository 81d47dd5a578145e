//! `milletpath serve` with too few descriptors: that it can make no connection does not count against the worker.

use milletpath_test_support::serve_rig::{Client, Gateway, GatewayOptions, OK, Worker, call_request};
use std::time::Duration;

/// Two calls at a time need two connections to the worker, and there is a descriptor for one.
#[test]
fn running_out_of_descriptors_counts_against_no_worker() {
    const DESCRIPTOR_LIMIT: usize = 40;
    const ROUNDS: usize = 5;
    let worker = Worker::start(OK, Duration::from_millis(30));
    let gateway = Gateway::with_options(
        worker.address,
        &GatewayOptions {
            top: "cores = 1\nfunctions { lanes = 1000 }\n",
            workers: "idle = 0.1",
            descriptors: DESCRIPTOR_LIMIT,
            ..GatewayOptions::default()
        },
    );
    let connect = || Client::connect(gateway.address).expect("it listens");
    let mut callers: Vec<_> = (0..4).map(|_| connect()).collect();
    let mut call_concurrently = |patience: f64| -> Vec<u16> {
        let call = call_request(&format!("milletpath-patience: {patience}\r\n"), "");
        callers.iter_mut().for_each(|client| client.write(&call).expect("it reads"));
        callers.iter_mut().map(|client| client.response().expect("an answer").status()).collect()
    };
    // The first calls of all are few at a time.
    assert!((0..ROUNDS).any(|_| call_concurrently(1.0) == [200; 4]), "it warms up");
    // Its connections to the worker are closed as idle, so that it must make new ones.
    std::thread::sleep(Duration::from_millis(1_300));
    let idle: Vec<_> = (0..2 * DESCRIPTOR_LIMIT).map(|_| connect()).collect();
    std::thread::sleep(Duration::from_millis(100));
    let statuses_without_descriptors: Vec<_> = (0..ROUNDS).flat_map(|_| call_concurrently(0.2)).collect();
    assert!(
        statuses_without_descriptors.contains(&503),
        "the test needs connections that can't be made: {statuses_without_descriptors:?}"
    );
    drop(idle);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(call_concurrently(1.0), [200; 4], "behind {statuses_without_descriptors:?}");
}
