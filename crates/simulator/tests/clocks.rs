//! A step of the wall clocks during calls, retries, drains and slow starts, while gateways hold leases on shared budgets, has
//! no effect on the scenario.

use milletpath_emulator::scenario_file::{self, FaultKind, Scenario, ScheduledFault};
use milletpath_simulator::{
    ClockStep, Machines, SimulationOptions, SimulationReport, SlowStartReport, play_with_options,
    slow_start_report,
};
use std::path::Path;
use test_case::test_case;

/// Time of the step: during the rolling restart of workers, which begins at 10 s and lasts for 7 s.
const STEP_AT: f64 = 13.0;

/// Workers are drained and replaced one by one under full load, while some of them fail attempts, which are retried.
fn rolling_restart() -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/cold-fleet.hcl");
    let mut scenario = scenario_file::open(&file).expect("a valid scenario");
    (scenario.gateways, scenario.seconds, scenario.sharing) = (6, 20.0, true);
    let (name, kind) = ("failures".into(), FaultKind::RequestFailures);
    scenario.faults.push(ScheduledFault {
        name,
        kind,
        at: 11.0,
        duration: 5.0,
        fraction: 0.2,
        magnitude: 0.3,
    });
    scenario
}

fn play(
    seed: u64,
    clock_step: Option<ClockStep>,
    reuse_worker_addresses: bool,
) -> (SimulationReport, SlowStartReport) {
    let scenario = rolling_restart();
    let report = play_with_options(
        &scenario,
        seed,
        SimulationOptions { clock_step, reuse_worker_addresses, ..SimulationOptions::default() },
    );
    let slow_start = slow_start_report(&scenario, &report.records);
    (report, slow_start)
}

#[test_case(3.0; "three seconds forward")]
#[test_case(-3.0; "three seconds back")]
#[test_case(3600.0; "an hour forward")]
#[test_case(-3600.0; "an hour back")]
fn a_step_of_wall_clocks_changes_nothing(by: f64) {
    /// The difference in service between runs with different random numbers.
    const RANDOM_VARIATION: f64 = 0.02;
    for seed in 1..=2 {
        let (without, slow_start) = play(seed, None, true);
        assert_eq!(without.violations, vec![], "seed {seed}, without a step");
        assert!(
            slow_start.bound_fraction <= 1.0 && slow_start.attempts > 100,
            "seed {seed}, without a step: {slow_start:?}"
        );
        let expected = without.counts.service();
        for machines in [Machines::Gateways, Machines::Workers, Machines::All] {
            let (stepped, slow_start) = play(seed, Some(ClockStep { at: STEP_AT, by, machines }), true);
            assert_eq!(stepped.violations, vec![], "seed {seed}, {machines:?}");
            assert!(
                slow_start.bound_fraction <= 1.0 && slow_start.attempts > 100,
                "seed {seed}, {machines:?}: {slow_start:?}"
            );
            let service = stepped.counts.service();
            assert!(
                (service - expected).abs() <= RANDOM_VARIATION,
                "seed {seed}, {machines:?}: {service:.3}, {expected:.3}"
            );
        }
    }
}

/// A forward step of the gateways' own clocks does not change a single event.
#[test_case(3.0; "three seconds")]
#[test_case(3600.0; "an hour")]
fn a_forward_step_of_gateway_clocks_leaves_the_history_unchanged(by: f64) {
    let step = ClockStep { at: STEP_AT, by, machines: Machines::Gateways };
    assert_eq!(play(1, None, false).0.records, play(1, Some(step), false).0.records);
}
