//! `milletpath serve` with too few descriptors: that it can make no connection does not count against the worker.

use milletpath_test_support::serve_rig::{Client, Gateway, GatewayOptions, OK, Worker, call_request};
use std::time::Duration;

/// Two calls at a time need two connections to the worker, and there is a descriptor for one.
#[test]
fn descriptors_that_run_out_count_against_no_worker() {
    const GRANTED: usize = 40;
    const ROUNDS: usize = 5;
    let worker = Worker::start(OK, Duration::from_millis(30));
    let gateway = Gateway::with_options(
        worker.address,
        &GatewayOptions {
            top_level_settings: "cores = 1\nfunctions { lanes = 1000 }\n",
            workers_settings: "idle = 0.1",
            descriptors: GRANTED,
            ..GatewayOptions::default()
        },
    );
    let connect = || Client::connect(gateway.address).expect("it listens");
    let mut callers: Vec<_> = (0..4).map(|_| connect()).collect();
    let mut call_at_once = |patience: f64| -> Vec<u16> {
        let call = call_request(&format!("milletpath-patience: {patience}\r\n"), "");
        callers.iter_mut().for_each(|client| client.write(&call).expect("it reads"));
        callers.iter_mut().map(|client| client.response().expect("an answer").status()).collect()
    };
    // The first calls of all are few at a time.
    assert!((0..ROUNDS).any(|_| call_at_once(1.0) == [200; 4]), "it warms up");
    // Its connections to the worker are closed as idle, so that it must make new ones.
    std::thread::sleep(Duration::from_millis(1_300));
    let idle: Vec<_> = (0..2 * GRANTED).map(|_| connect()).collect();
    std::thread::sleep(Duration::from_millis(100));
    let scarce: Vec<_> = (0..ROUNDS).flat_map(|_| call_at_once(0.2)).collect();
    assert!(scarce.contains(&503), "the test needs connections that can't be made: {scarce:?}");
    drop(idle);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(call_at_once(1.0), [200; 4], "behind {scarce:?}");
}
