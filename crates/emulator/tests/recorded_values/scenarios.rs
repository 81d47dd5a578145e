//! Every file of `days/` must give the recorded scenario, gateway configurations and traffic, and invalid files the
//! recorded messages.

use crate::digest::Digest;
use milletpath_emulator::scenario::{GatewayConfigFile, rule_parameters, service_weights};
use milletpath_emulator::scenario_file::{Scenario, open};
use milletpath_emulator::traffic;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use test_case::test_case;

fn scenario(name: &str) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(name).with_extension("hcl");
    open(&file).expect("a valid scenario")
}

fn values(scenario: &Scenario) -> u64 {
    let mut digest = Digest::new();
    digest.text(&scenario.name).integer(scenario.seed).float(scenario.seconds);
    digest.integer(scenario.gateways as u64).integer(scenario.cores.map_or(0, |cores| cores as u64));
    digest.integer(u64::from(scenario.sharing)).float(scenario.uneven).integer(scenario.workers as u64);
    add_worker(&mut digest, scenario);
    add_functions_and_traffic(&mut digest, scenario);
    add_profiles_and_clients(&mut digest, scenario);
    add_rules(&mut digest, scenario);
    for fault in &scenario.faults {
        digest.text(&fault.name).integer(fault.kind as u64);
        digest.float(fault.at).float(fault.duration).float(fault.fraction).float(fault.magnitude);
    }
    digest.value()
}

fn add_worker(digest: &mut Digest, scenario: &Scenario) {
    let spec = &scenario.worker_spec;
    for integer in [spec.cores, spec.concurrent_loads, spec.queue] {
        digest.integer(integer as u64);
    }
    for float in [spec.speed, spec.memory, spec.idle_timeout, spec.initial_capacity, spec.warm_up] {
        digest.float(float);
    }
    digest.float(spec.overload_multiple).float(spec.overload_window);
    digest.integer(u64::from(spec.rejects_unloaded)).integer(u64::from(spec.loads_ahead));
    let store = &scenario.store_spec;
    digest
        .float(store.unslowed_fetches)
        .integer(store.max_fetches as u64)
        .optional_float(store.overload_rate)
        .float(store.outage_seconds);
}

fn add_functions_and_traffic(digest: &mut Digest, scenario: &Scenario) {
    digest.integer(scenario.functions as u64).float(scenario.zipf);
    let function = &scenario.function_model;
    digest.integer(u64::from(function.concurrency)).float(function.memory);
    digest.float(function.fetch).float(function.start);
    let traffic = &scenario.traffic;
    digest.float(traffic.rate).float(traffic.work).float(traffic.io).integer(traffic.body as u64);
    digest.float(traffic.shortest_timeout).integer(u64::from(traffic.retries));
    digest.float(traffic.backoff).float(traffic.abandonment);
}

fn add_profiles_and_clients(digest: &mut Digest, scenario: &Scenario) {
    for profile in &scenario.profiles {
        digest
            .text(&profile.name)
            .float(profile.share)
            .float(profile.latency_objective)
            .float(profile.deadline);
        digest.integer(profile.idempotency as u64).float(profile.importance);
    }
    for group in &scenario.groups {
        digest.text(&group.name).float(group.share).optional_float(group.quota).optional_float(group.ceiling);
    }
}

fn add_rules(digest: &mut Digest, scenario: &Scenario) {
    let rules = &scenario.rules;
    for limit in [rules.load_rate_limit, rules.retries].into_iter().flatten() {
        digest.float(limit.window).float(limit.free).float(limit.per_request);
    }
    digest.float(rules.drain_grace).optional_float(rules.in_flight).float(rules.idempotency_window);
    digest.float(rules.late_weight).float(rules.over_quota_weight).float(rules.notification_delay);
    let checked = rule_parameters(scenario, 0.25);
    digest.float(checked.drain_grace).float(checked.initial_capacity).float(checked.warm_up);
    digest.float(checked.overload_multiple).float(checked.overload_window).float(checked.tolerance);
    digest.integer(u64::from(checked.load_rate_limit.is_some()));
    let counted = service_weights(scenario);
    digest.float(counted.late).float(counted.over_quota);
    counted.quotas.iter().for_each(|quota| _ = digest.optional_float(*quota));
}

/// A digest of the configurations of all gateways, with links and without.
fn configurations(scenario: &Scenario) -> u64 {
    let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let links: Vec<_> = (0..scenario.gateways as u16).map(|gateway| address(3000 + gateway)).collect();
    let mut digest = Digest::new();
    for gateway in 0..scenario.gateways {
        for links in [None, Some(links.as_slice())] {
            let (listen, registry) = (address(1000), address(2000));
            let config = GatewayConfigFile { scenario, gateway, listen, registry, links, seed: 49 };
            digest.text(&config.to_string());
        }
    }
    digest.value()
}

fn planned_traffic(scenario: &Scenario, seed: u64) -> u64 {
    let mut digest = Digest::new();
    for request in traffic::plan(scenario, seed) {
        digest.float(request.at).text(&request.function);
        digest.integer(request.profile as u64).integer(request.group as u64);
        digest
            .float(request.work)
            .float(request.io)
            .float(request.timeout)
            .optional_float(request.abandoned_after);
        digest.optional_float(request.fault.map(|fault| fault as f64));
    }
    digest.value()
}

#[test_case("bad-cores", [0x8333_f0b5_7a52_2ab9, 0xe583_c70a_ff66_5cb3, 0x270e_2b4d_c53d_51e2])]
#[test_case("bad-day", [0xfef4_58fc_fad4_d476, 0xe583_c70a_ff66_5cb3, 0xfa7f_1e99_b488_b30b])]
#[test_case("cold-fleet", [0x24f0_4946_a972_177a, 0x4897_c3e0_51a0_fdfb, 0x59cb_18d9_4b7b_aac1])]
#[test_case("cold-worker", [0x06f6_862d_aad7_da51, 0x83bf_da79_7fc2_e16d, 0x0572_e3cb_6235_2735])]
#[test_case("cores-day", [0x2d74_12e7_fe35_b439, 0x327f_c777_a36a_9227, 0x1f2f_0662_7a1b_0f09])]
#[test_case("cut-day", [0xb8d3_ab92_9b37_7e76, 0xef2e_c755_20f3_cd3f, 0x73a8_afac_0b6b_a0c1])]
#[test_case("large-day", [0x76b1_3b1e_6843_bf3d, 0x0de9_50a2_46e3_aaab, 0xc9c1_6016_c355_166f])]
#[test_case("lend-day", [0xfa85_a43f_46ec_3832, 0x45cb_9bbb_a48c_cf7b, 0xec24_70bc_0ca2_a339])]
#[test_case("lists-day", [0xcf40_b54e_7364_6c0a, 0x327f_c777_a36a_9227, 0x5153_54f7_779b_b92a])]
#[test_case("peers-day", [0xe3e3_68c1_9a70_6a4e, 0x1f36_3f37_8998_4f11, 0xf341_b425_7a10_d0a2])]
#[test_case("quiet-day", [0xd1ab_8471_12ea_0de3, 0xe583_c70a_ff66_5cb3, 0x065f_1e68_749e_7218])]
#[test_case("short-day", [0xd2b7_a34a_13e5_25f9, 0x327f_c777_a36a_9227, 0x7d16_0f00_5ec5_eb17])]
#[test_case("town", [0x6aad_cef8_73b6_e8ed, 0xe583_c70a_ff66_5cb3, 0x065f_1e68_749e_7218])]
#[test_case("village", [0x8eeb_5263_1235_f70a, 0x327f_c777_a36a_9227, 0xe075_c3b1_e92e_90d9])]
fn a_scenario_is_as_recorded(name: &str, recorded: [u64; 3]) {
    let scenario = scenario(name);
    let digests = [values(&scenario), configurations(&scenario), planned_traffic(&scenario, 49)];
    assert_eq!(digests, recorded, "{name}: {digests:#018x?}");
}

/// Covers every kind of fault that changes traffic, all at once.
#[test]
fn traffic_under_faults_is_as_recorded() {
    let faults = ["burst", "one-offs", "hot", "heavy", "impatience"];
    let faults = faults.map(|word| format!("trouble \"{word}\" {{\n  at = 2\n  part = 0.3\n}}\n")).concat();
    let text = format!("seconds = 10\ntraffic {{ leave = 0.1 }}\nprofile \"check\" {{ due = 1 }}\n{faults}");
    let scenario = open(&write_scenario("faults", &text)).expect("a valid scenario");
    assert_eq!(
        planned_traffic(&scenario, 7),
        0xd82e_f997_9d00_d841,
        "{:#018x}",
        planned_traffic(&scenario, 7)
    );
}

/// Covers every keyword for a fault, with its defaults.
#[test]
fn the_defaults_of_each_fault_are_as_recorded() {
    let words = "death rolling drain failures silence lost-answers slowness wrong-full release burst one-offs hot heavy \
                 impatience store-slow store-refuses store-stops half-answers garbage resets gateway-stall \
                 gateway-kill core-stall core-panic desk-break list-late list-stalled list-lost list-repeated \
                 list-emptied link-lost link-cut link-deaf link-late link-repeat link-garbage gateway-join";
    let faults = words.split_whitespace().map(|word| format!("trouble \"{word}\" {{}}\n"));
    let text = format!("profile \"check\" {{}}\n{}", faults.collect::<String>());
    let scenario = open(&write_scenario("defaults", &text)).expect("a valid scenario");
    assert_eq!(scenario.faults.len(), 37);
    assert_eq!(values(&scenario), 0x7c0e_59b8_dc6e_739a, "{:#018x}", values(&scenario));
}

/// Writes a file into a folder of its own.
fn write_scenario(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("fixture").join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("day.hcl");
    std::fs::write(&file, text).expect("a file");
    file
}

/// The lines of the messages about a file, with `FOLDER` for its folder.
fn messages(name: &str, text: &str) -> Vec<String> {
    let file = write_scenario(name, text);
    let folder = file.parent().expect("a folder").display().to_string();
    let text = open(&file).expect_err("an invalid scenario").to_string();
    text.lines().map(|line| line.replace(&folder, "FOLDER")).collect()
}

#[test_case("unreadable", "upon = \"absent.hcl\"", &[
    "FOLDER/absent.hcl: can't be read: No such file or directory (os error 2); name a day's file",
])]
#[test_case("syntax", "seconds = ", &["FOLDER/day.hcl:1:1: unexpected token; mend the line"])]
#[test_case("keys", "scnds = 1\nfleet {\n  cores = 0\n  eager = 1\n}\nprofile \"a\" { effect = \"x\" }\n", &[
    "FOLDER/day.hcl:1:1: unknown key scnds in the configuration; did you mean seconds?",
    "FOLDER/day.hcl:3:3: cores of fleet must be a number from 1 to 1000000; write cores = NUMBER, 1 to 1000000",
    "FOLDER/day.hcl:4:3: eager of fleet must be true or false; write eager = true or eager = false",
    "FOLDER/day.hcl:6:15: effect of profile \"a\" has the invalid value \"x\"; write effect = \"pure\" or \
     \"receipted\" or \"effectful\"",
])]
#[test_case("faults", "profile \"a\" {}\ntrouble \"quake\" {}\n", &[
    "FOLDER/day.hcl:2:1: there is no trouble called quake; one of death, rolling, drain, failures, silence, \
     lost-answers, slowness, wrong-full, release, burst, one-offs, hot, heavy, impatience, store-slow, store-refuses, \
     store-stops, half-answers, garbage, resets, gateway-stall, gateway-kill, core-stall, core-panic, desk-break, \
     list-late, list-stalled, list-lost, list-repeated, list-emptied, link-lost, link-cut, link-deaf, link-late, \
     link-repeat, link-garbage, gateway-join; `death-at-night` names a second death",
])]
#[test_case("profiles", "", &["FOLDER/day.hcl:1:1: the day has no profile; add profile \"usual\" { latency_objective = 1.0 }"])]
#[test_case("cycle", "upon = \"day.hcl\"\n", &[
    "FOLDER/day.hcl: builds on itself; write a day that ends at one without upon",
])]
fn messages_about_invalid_files_are_as_recorded(name: &str, text: &str, recorded: &[&str]) {
    assert_eq!(messages(&format!("invalid-{name}"), text), recorded);
}
