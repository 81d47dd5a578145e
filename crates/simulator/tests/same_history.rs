//! Every scenario in `days/` yields its recorded history in simulated time, so refactoring and renaming must preserve every
//! event, its order and its values. A change of behaviour changes the expected values, and its commit has to explain why.

mod same_history {
    pub mod digest;
    pub mod encoding;
}

use milletpath_emulator::scenario_file::{self, FaultKind, Scenario, ScheduledFault};
use milletpath_simulator::{
    ClockStep, Machines, SimulationOptions, SimulationReport, play, play_with_options,
};
use same_history::digest::Digest;
use same_history::encoding::{encode_event, encode_report};
use std::path::Path;
use test_case::test_case;

const SEED: u64 = 7;

/// The compared values: the number of events, the digest of all events, and the digest of the report's values.
#[derive(Debug, PartialEq)]
struct Fingerprint {
    events: usize,
    history: u64,
    report_digest: u64,
}

fn fingerprint(report: &SimulationReport) -> Fingerprint {
    let mut history = Digest::new();
    for record in &report.records {
        encode_event(record, &mut history);
    }
    let mut report_digest = Digest::new();
    encode_report(report, &mut report_digest);
    Fingerprint {
        events: report.records.len(),
        history: history.value(),
        report_digest: report_digest.value(),
    }
}

fn scenario(name: &str) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../days/{name}.hcl"));
    scenario_file::open(&file).expect("a valid scenario")
}

/// A scenario short enough for a debug build. Its duration and the times of its faults are scaled down alike, and its traffic
/// is limited to a rate that a debug build simulates within a second or two.
fn shortened(name: &str) -> Scenario {
    const LONGEST_SECONDS: f64 = 14.0;
    const HIGHEST_RATE: f64 = 360.0;
    let mut scenario = scenario(name);
    let scale = (LONGEST_SECONDS / scenario.seconds).min(1.0);
    scenario.seconds *= scale;
    scenario.traffic.rate = scenario.traffic.rate.min(HIGHEST_RATE);
    for fault in &mut scenario.faults {
        fault.at *= scale;
        fault.duration *= scale;
    }
    scenario
}

#[test_case("bad-cores", 26_926, 0x8075_68cd_cb7a_f339, 0x89b0_cdda_3c4a_8d7c; "bad-cores")]
#[test_case("bad-day", 26_926, 0xc075_a02d_cee0_1ae9, 0x89b0_cdda_3c4a_8d7c; "bad-day")]
#[test_case("cold-fleet", 28_288, 0x34b5_92f1_8439_5d6d, 0xc918_ede3_3600_aeef; "cold-fleet")]
#[test_case("cold-worker", 16_762, 0xa717_b228_2b9b_8bf7, 0x3e14_ca6e_71d7_0fe2; "cold-worker")]
#[test_case("cores-day", 8_630, 0x8661_151b_f968_5112, 0xd88a_6b30_3890_9534; "cores-day")]
#[test_case("cut-day", 8_607, 0xe1f1_e043_2dcf_afeb, 0x9ce7_aaf6_1895_637c; "cut-day")]
#[test_case("large-day", 25_428, 0x069f_87ce_4108_d091, 0x3831_0f72_536c_f65e; "large-day")]
#[test_case("lend-day", 11_010, 0xfef3_f9ee_e99f_4d29, 0xacea_2c84_4e32_a375; "lend-day")]
#[test_case("lists-day", 8_720, 0x10a3_e98b_223c_b978, 0x5c75_bda3_6d33_c64d; "lists-day")]
#[test_case("peers-day", 26_392, 0x2547_c8a2_b52e_cad5, 0x17d8_296f_65da_2345; "peers-day")]
#[test_case("quiet-day", 25_645, 0xfc2b_185a_646a_30ff, 0x06d0_0fe0_0f1b_4f3c; "quiet-day")]
#[test_case("short-day", 8_691, 0x9e66_4273_242b_f496, 0x5724_007b_56b9_bc05; "short-day")]
#[test_case("town", 25_645, 0xfc2b_185a_646a_30ff, 0x06d0_0fe0_0f1b_4f3c; "town")]
#[test_case("village", 8_596, 0xc8bc_146c_e8e7_634e, 0x13ad_4ef9_bd4c_fcb6; "village")]
fn a_scenario_gives_the_same_history(name: &str, events: usize, history: u64, report_digest: u64) {
    let report = play(&shortened(name), SEED);
    assert_eq!(fingerprint(&report), Fingerprint { events, history, report_digest }, "{name}");
}

/// Every file in `days/` is covered by a case above.
#[test]
fn every_scenario_file_has_a_test_case() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days");
    let files = std::fs::read_dir(folder).expect("the folder of scenarios").count();
    let cases = include_str!("same_history.rs").lines().filter(|line| line.starts_with("#[test_case(\""));
    assert_eq!(cases.count(), files);
}

/// Faults of workers and of the store that no shortened scenario file reaches before its end, in succession, in a cluster
/// with shared budgets.
#[test]
fn faults_in_a_sharing_cluster_give_the_same_history() {
    let mut scenario = scenario("village");
    (scenario.gateways, scenario.sharing, scenario.seconds) = (5, true, 12.0);
    let fault = |(number, kind): (usize, FaultKind)| ScheduledFault {
        name: format!("fault-{number}"),
        kind,
        at: 0.5 + number as f64,
        duration: 1.5,
        fraction: 0.4,
        magnitude: 2.0,
    };
    let kinds = [
        FaultKind::FunctionRelease,
        FaultKind::StoreSlowness,
        FaultKind::StoreRejections,
        FaultKind::FunctionRelease,
        FaultKind::StoreOutage,
        FaultKind::Drain,
        FaultKind::Slowness,
        FaultKind::RollingReplacement,
        FaultKind::WorkerCrash,
        FaultKind::ImpatientClients,
    ];
    scenario.faults = kinds.into_iter().enumerate().map(fault).collect();
    let expected =
        Fingerprint { events: 7_537, history: 0x7fbb_122d_20d4_cb56, report_digest: 0x4007_3653_f278_52cf };
    assert_eq!(fingerprint(&play(&scenario, SEED)), expected);
}

/// A step of the workers' wall clocks during a rolling restart, with reused and with new worker addresses.
#[test_case(true, 26_738, 0x63f7_3875_3084_998a, 0x814f_1678_2364_d43b; "same address")]
#[test_case(false, 26_738, 0x63f7_3875_3084_998a, 0x814f_1678_2364_d43b; "new address")]
fn a_clock_step_gives_the_same_history(
    reuse_worker_addresses: bool,
    events: usize,
    history: u64,
    report_digest: u64,
) {
    let mut scenario = shortened("cold-fleet");
    (scenario.gateways, scenario.sharing) = (6, true);
    let clock_step = Some(ClockStep { at: 6.0, by: -3600.0, machines: Machines::Workers });
    let report = play_with_options(
        &scenario,
        SEED,
        SimulationOptions { clock_step, reuse_worker_addresses, ..SimulationOptions::default() },
    );
    assert_eq!(fingerprint(&report), Fingerprint { events, history, report_digest });
}
