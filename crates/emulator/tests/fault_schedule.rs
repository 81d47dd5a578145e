//! Tests the steps of faults on workers and on the store.

use milletpath_emulator::scenario::{FaultStep, TimedStep, affects_workers, pick, worker_steps};
use milletpath_emulator::scenario_file::{FaultKind, RuleSettings, ScheduledFault};
use milletpath_protocol::registry::EndpointStatus;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const BEGAN: f64 = 100.0;

const RULES: RuleSettings = RuleSettings {
    drain_grace: 1.0,
    load_rate_limit: None,
    retries: None,
    in_flight: None,
    idempotency_window: 30.0,
    late_weight: 0.1,
    over_quota_weight: 0.05,
    notification_delay: 1.5,
};

fn fault(kind: FaultKind, duration: f64, magnitude: f64) -> ScheduledFault {
    ScheduledFault { name: "fault".into(), kind, at: 0.0, duration, fraction: 0.5, magnitude }
}

fn steps(kind: FaultKind, duration: f64, workers: &[usize]) -> Vec<(f64, FaultStep)> {
    let steps = worker_steps(&fault(kind, duration, 4.0), BEGAN, workers, &RULES);
    steps.into_iter().map(|TimedStep { at, step }| (at, step)).collect()
}

#[test]
fn a_crash_is_detected_late_and_workers_are_replaced_at_the_end() {
    let workers = vec![2, 0];
    let expected = |detected, replaced| {
        vec![
            (BEGAN, FaultStep::Kill(workers.clone())),
            (detected, FaultStep::SetStatus(workers.clone(), EndpointStatus::Gone)),
            (replaced, FaultStep::Replace(workers.clone())),
        ]
    };
    assert_eq!(steps(FaultKind::WorkerCrash, 6.0, &workers), expected(101.5, 106.0));
    // The crash is detected when the fault ends, at the latest.
    assert_eq!(steps(FaultKind::WorkerCrash, 1.0, &workers), expected(101.0, 101.0));
}

#[test]
fn a_rolling_replacement_takes_one_worker_after_the_other() {
    let draining = |worker| FaultStep::SetStatus(vec![worker], EndpointStatus::Draining);
    let expected = vec![
        (100.0, draining(7)),
        (102.0, draining(3)),
        (102.5, FaultStep::StopAdmission(7)),
        (103.0, FaultStep::Replace(vec![7])),
        (104.5, FaultStep::StopAdmission(3)),
        (105.0, FaultStep::Replace(vec![3])),
    ];
    assert_eq!(steps(FaultKind::RollingReplacement, 4.0, &[7, 3]), expected);
}

#[test]
fn a_fault_is_reverted_when_it_ends() {
    let store = |kind| steps(kind, 5.0, &[]);
    let expected = [(100.0, FaultStep::SetStoreSlowness(4.0)), (105.0, FaultStep::SetStoreSlowness(1.0))];
    assert_eq!(store(FaultKind::StoreSlowness), expected);
    let expected =
        [(100.0, FaultStep::SetStoreRejecting(true)), (105.0, FaultStep::SetStoreRejecting(false))];
    assert_eq!(store(FaultKind::StoreRejections), expected);
    assert_eq!(store(FaultKind::StoreOutage), [(100.0, FaultStep::BeginStoreOutage(5.0))]);
    let slowness = |factor| FaultStep::SetSlowness(vec![1], factor);
    assert_eq!(steps(FaultKind::Slowness, 5.0, &[1]), [(100.0, slowness(4.0)), (105.0, slowness(1.0))]);
    let failures =
        [(100.0, FaultStep::FailRequests(vec![1], 4.0)), (105.0, FaultStep::ClearResponseFaults(vec![1]))];
    assert_eq!(steps(FaultKind::RequestFailures, 5.0, &[1]), failures);
}

#[test]
fn gateway_link_and_traffic_faults_have_no_steps() {
    for kind in [FaultKind::GatewayCrash, FaultKind::LinkLoss, FaultKind::TrafficBurst] {
        assert!(!affects_workers(kind) && steps(kind, 5.0, &[]).is_empty(), "{kind:?}");
    }
}

#[test]
fn pick_takes_a_fraction_and_at_least_one() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut picked = pick(&mut rng, 10, 0.4);
    picked.sort_unstable();
    picked.dedup();
    assert!(picked.len() == 4 && picked.iter().all(|number| *number < 10), "{picked:?}");
    assert_eq!(pick(&mut rng, 10, 0.0).len(), 1);
}
