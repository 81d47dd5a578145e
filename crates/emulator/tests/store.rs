//! Tests the model of the store from which all workers load functions.

use milletpath_emulator::store::{Store, StoreSpec};

#[test]
fn a_store_slows_down_rejects_and_has_an_outage() {
    let mut store = Store::new(StoreSpec {
        unslowed_fetches: 2.0,
        max_fetches: 4,
        overload_rate: Some(2.0),
        outage_seconds: 5.0,
    });
    let durations: Vec<_> = (0..5).map(|_| store.begin_fetch(0.0, 1.0)).collect();
    assert_eq!(durations, [Some(1.0), Some(1.0), Some(1.5), Some(2.0), None]);
    (0..4).for_each(|_| store.fetch_ended());
    // More than six requests in three seconds overload it, and what it rejects in the outage does not prolong it.
    assert_eq!((store.begin_fetch(1.0, 1.0), store.begin_fetch(1.0, 1.0)), (Some(1.0), None));
    (0..50).for_each(|n| assert_eq!(store.begin_fetch(1.0 + f64::from(n) * 0.09, 1.0), None));
    assert_eq!(store.begin_fetch(6.1, 1.0), Some(1.0));
}
