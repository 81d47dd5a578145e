//! `milletpath serve` with too few file descriptors: a connection that fails for want of one does not count as a
//! failure of the worker.

use milletpath_test_support::serve_rig::{Client, Gateway, GatewayOptions, OK, Worker, call_request};
use std::time::Duration;

/// Two concurrent calls need two connections to the worker, but only one descriptor is left, as idle clients hold the
/// others. Once descriptors are free again, all calls must succeed: the gateway must not avoid the worker because of
/// the failed connections.
#[test]
fn running_out_of_descriptors_counts_against_no_worker() {
    const DESCRIPTOR_LIMIT: usize = 40;
    const ROUNDS: usize = 5;
    let worker = Worker::start(OK, Duration::from_millis(30));
    let gateway = Gateway::with_options(
        worker.address,
        &GatewayOptions {
            top_level_settings: "cores = 1\nfunctions { lanes = 1000 }\n",
            workers_settings: "idle = 0.1",
            descriptors: DESCRIPTOR_LIMIT,
            ..GatewayOptions::default()
        },
    );
    let connect = || Client::connect(gateway.address).expect("the gateway listens");
    let mut callers: Vec<_> = (0..4).map(|_| connect()).collect();
    let mut call_concurrently = |timeout: f64| -> Vec<u16> {
        let call = call_request(&format!("milletpath-patience: {timeout}\r\n"), "");
        callers.iter_mut().for_each(|client| client.write(&call).expect("the gateway reads"));
        callers.iter_mut().map(|client| client.response().expect("the call is answered").status()).collect()
    };
    // A gateway that has just started allows only a few concurrent calls.
    assert!((0..ROUNDS).any(|_| call_concurrently(1.0) == [200; 4]), "the gateway warms up");
    // The gateway closes its idle connections to the worker in this time, so that it must open new ones.
    std::thread::sleep(Duration::from_millis(1_300));
    let idle: Vec<_> = (0..2 * DESCRIPTOR_LIMIT).map(|_| connect()).collect();
    std::thread::sleep(Duration::from_millis(100));
    let statuses_without_descriptors: Vec<_> = (0..ROUNDS).flat_map(|_| call_concurrently(0.2)).collect();
    assert!(
        statuses_without_descriptors.contains(&503),
        "the test needs connections that fail: {statuses_without_descriptors:?}"
    );
    drop(idle);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(call_concurrently(1.0), [200; 4], "after {statuses_without_descriptors:?}");
}
