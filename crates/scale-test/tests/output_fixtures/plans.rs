//! Values parsed from the plans in the repository, and positions of errors in invalid plans.

use crate::fixture::assert_matches_fixture;
use milletpath_scale_test::plan::{Action, Component, Plan, RegionPair, read};
use std::fmt::{Debug, Write};
use std::path::PathBuf;
use test_case::test_case;

fn plan_text(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../plans").join(name);
    std::fs::read_to_string(path).expect("a plan of the repository")
}

fn write_line(text: &mut String, name: &str, value: impl Debug) {
    writeln!(text, "{name} = {value:?}").expect("a string can be written");
}

fn describe(action: &Action) -> String {
    let keyword = action.kind().keyword();
    match action {
        Action::Start { duration } => format!("{keyword}: over {duration} s"),
        Action::SteadyState { duration } => format!("{keyword}: {duration} s"),
        Action::RollingRestart { gateways, duration } => {
            format!("{keyword}: {gateways} gateways over {duration} s")
        }
        Action::RackFailure { gateways, downtime } => {
            format!("{keyword}: {gateways} gateways for {downtime} s")
        }
        Action::ZoneFailure { zone, downtime } => format!("{keyword}: {zone} for {downtime} s"),
        Action::Partition { regions: RegionPair { first, second }, duration } => {
            format!("{keyword}: {first} and {second} for {duration} s")
        }
        Action::EndpointUpdates { zone, revisions, duration } => {
            format!("{keyword}: {zone} in {revisions} over {duration} s")
        }
        Action::ConfigChanges => keyword.to_owned(),
        Action::LeaderFailure { downtime } => format!("{keyword}: for {downtime} s"),
    }
}

/// All values of a plan, labelled with their keys in the file.
fn values_of(plan: &Plan) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: &dyn Debug| write_line(&mut text, name, value);
    line("name", &plan.name);
    line("seed", &plan.seed);
    line("gateways", &plan.gateways);
    line("real", &plan.real_gateways);
    line("processes", &plan.host_processes);
    line("limit", &plan.time_limit);
    line("memory_gb", &plan.memory_limit_gb);
    line(
        "peers period, lease, floor",
        &(plan.membership.period, plan.membership.lease, plan.membership.floor),
    );
    line(
        "budgets quota, window, orders",
        &(plan.budgets.quota, plan.budgets.load_window, plan.budgets.load_requests),
    );
    line("changes control", &plan.control_machines);
    line("regions", &plan.regions);
    for zone in &plan.zones {
        line("zone", &(&zone.name, zone.region));
    }
    line("links within", &plan.links.within_region);
    line("links between", &plan.links.between_regions);
    line("links loss", &plan.links.loss);
    line("workers hollow, real", &(plan.workers.hollow, plan.workers.real));
    line("functions names", &plan.functions);
    line("functions calls", &plan.calls_per_second);
    line(
        "control runs",
        &plan.components.iter().map(|component: &Component| component.keyword()).collect::<Vec<_>>(),
    );
    line("grant cpu", &plan.limits.cpu_cores);
    line("grant memory_mb", &plan.limits.memory_mb);
    line("grant bytes", &plan.limits.bytes_per_second);
    line("grant change", &plan.limits.change_seconds);
    for play in &plan.plays {
        let action = describe(&play.action);
        line("play", &(&play.label, action, play.settle_timeout, play.changes, play.proposal_period));
    }
    text
}

#[test_case("size", None)]
#[test_case("size", Some(30); "size with 30 gateways")]
#[test_case("size-small", None)]
#[test_case("size-changes", None)]
fn a_plan_of_the_repository_is_parsed_to_the_same_values(name: &str, gateways: Option<usize>) {
    let plan = read(&plan_text(&format!("{name}.hcl")), gateways).unwrap_or_else(|e| panic!("{e:?}"));
    let size = gateways.map(|n| format!("-{n}")).unwrap_or_default();
    assert_matches_fixture(&format!("plan-{name}{size}.txt"), &values_of(&plan));
}

/// A plan with an error in nearly every key.
const BROKEN_PLAN: &str = r#"name = "not a name"
gateways = 3
real = 3
processes = 0
seed = "one"
limit = 0
surplus = 1
region "a" { zones = ["a1", "a1"] }
region "b" { zones = ["b1", "b2"] }
region "c" {}
links {
  within = -1
  loss = 2
  pair "a-a" {
    regions = ["a", "a"]
    ms = 4
  }
  pair "a-b" { regions = ["a", "b"] }
  pair "b-a" { ms = 30 }
}
peers {
  period = 2
  lease = 5
}
workers { hollow = 0 }
functions { calls = -1 }
control { runs = ["budgets", "changes"] }
changes { control = 7 }
grant { cpu = 0 }
play "quiet" { does = "settled" }
play "nowhere" {
  does = "zone"
  zone = "z"
}
play "zone-gone" { does = "zone" }
play "apart" { does = "cut" }
play "undone" {}
play "roll" {
  does = "restarts"
  gateways = 0
  changes = 9999
}
"#;

/// Positions of all errors in a plan. Their texts are for people and may be reworded.
fn positions_of_errors(text: &str) -> String {
    let errors = read(text, None).expect_err("errors");
    errors.iter().map(|error| format!("{}:{}\n", error.line, error.column)).collect()
}

#[test_case("plan-errors.txt", BROKEN_PLAN)]
#[test_case("plan-errors-empty.txt", ""; "an empty plan")]
#[test_case("plan-errors-syntax.txt", "name = \"a\"\ngateways = 4 +\n"; "no HCL")]
#[test_case("plan-errors-no-changes.txt", "name = \"a\"\ncontrol { runs = [\"changes\"] }\nchanges { control = 9 }\n";
    "a plan with little in it")]
fn an_invalid_plan_is_rejected_with_errors_at_the_same_positions(fixture: &str, text: &str) {
    assert_matches_fixture(fixture, &positions_of_errors(text));
}
