//! Parsing of plans: the model of a valid plan, and the errors of an invalid one.

use milletpath_scale_test::plan::{Action, Component, Plan, RegionPair, read};
use proptest::prelude::*;
use test_case::test_case;

fn plan_text(name: &str) -> String {
    let path = std::path::PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../plans").join(name);
    std::fs::read_to_string(path).expect("a plan")
}

const SMALL_PLAN: &str = r#"name = "tiny"
gateways = 6
real = 1
region "a" { zones = ["a1", "a2"] }
region "b" { zones = ["b1"] }
links {
  within = 1
  across = 50
}
peers { period = 0.2 }
budgets { quota = 10 }
workers { hollow = 10 }
control { runs = ["membership"] }
play "begin" { does = "start" }
"#;

/// Errors of the small plan after one line is replaced.
fn errors(line: &str, replacement: &str) -> Vec<String> {
    assert!(SMALL_PLAN.contains(line), "{line}");
    let text = SMALL_PLAN.replace(line, replacement);
    read(&text, None).expect_err("an error").iter().map(ToString::to_string).collect()
}

fn valid(text: &str, gateways: Option<usize>) -> Plan {
    read(text, gateways).unwrap_or_else(|errors| panic!("{errors:?}"))
}

#[test_case("size.hcl", 1100, 4, 10)]
#[test_case("size-small.hcl", 60, 3, 6)]
fn the_plans_of_the_repository_are_valid(name: &str, gateways: usize, regions: usize, zones: usize) {
    let plan = valid(&plan_text(name), None);
    assert_eq!((plan.gateways, plan.regions.len(), plan.zones.len()), (gateways, regions, zones));
    let all = [Component::Membership, Component::Budgets, Component::EndpointList, Component::ConfigChanges];
    assert!(all.into_iter().all(|component| plan.runs(component)), "{:?}", plan.components);
    let keywords: Vec<_> = plan.plays.iter().map(|p| p.action.kind().keyword()).collect();
    assert_eq!(
        keywords,
        ["start", "settled", "changes", "restarts", "rack", "zone", "cut", "list", "control"]
    );
}

#[test]
fn changes_alone_are_played_at_full_size() {
    let plan = valid(&plan_text("size-changes.hcl"), None);
    assert_eq!(
        (plan.gateways, plan.components.clone()),
        (1100, vec![Component::ConfigChanges, Component::EndpointList])
    );
    let keywords: Vec<_> = plan.plays.iter().map(|p| (p.action.kind().keyword(), p.changes)).collect();
    let expected =
        [("settled", 0), ("settled", 15), ("changes", 20), ("zone", 20), ("control", 20), ("cut", 20)];
    assert!(expected.iter().all(|keyword| keywords.contains(keyword)), "{keywords:?}");
}

#[test]
fn control_machines_are_in_all_regions_and_no_two_in_a_zone_while_there_are_others() {
    let plan = valid(&plan_text("size-changes.hcl"), None);
    let zones: Vec<usize> = (0..plan.control_machines).map(|m| plan.zone_of_control_machine(m)).collect();
    let names: Vec<&str> = zones.iter().map(|z| plan.zones[*z].name.as_str()).collect();
    assert_eq!(names, ["north-1", "south-1", "east-1", "west-1", "north-2", "south-2", "east-2"]);
}

#[test]
fn links_have_the_stated_latency_in_both_directions() {
    let plan = valid(&plan_text("size.hcl"), None);
    // Consecutive numbers are in different zones: 0 in north-1, 3 in south-1, 6 in east-1, 10 in north-1 again.
    assert_eq!(plan.latency(0, 10), 0.001);
    assert_eq!((plan.latency(0, 3), plan.latency(3, 0)), (0.03, 0.03));
    assert_eq!((plan.latency(0, 6), plan.latency(3, 6)), (0.07, 0.1));
    assert_eq!(plan.gateways_in_zone(0).take(3).collect::<Vec<_>>(), [0, 10, 20]);
}

#[test]
fn a_plan_can_be_read_for_another_number_of_gateways() {
    let plan = valid(&plan_text("size.hcl"), Some(30));
    assert_eq!(plan.gateways, 30);
    // At most all gateways but one can be restarted.
    let restarts =
        plan.plays.iter().find(|p| p.action.kind().keyword() == "restarts").map(|p| p.action.clone());
    assert_eq!(restarts, Some(Action::RollingRestart { gateways: 29, duration: 10.0 }));
}

#[test_case("gateways = 6", "gatways = 6", "2:1: unknown key gatways in the plan; did you mean gateways?")]
#[test_case(
    "gateways = 6",
    "gateways = 1",
    "2:1: gateways of the plan must be a number of gateways from 2 to 4000"
)]
#[test_case("real = 1", "real = 6", "3:1: real of 6 leaves no hollow gateway among 6")]
#[test_case("zones = [\"b1\"]", "zones = [\"a1\"]", "zone a1 is stated more than once")]
#[test_case("period = 0.2", "period = 9", "lease of peers is shorter than four periods of 9")]
#[test_case("\"membership\"", "\"budgets\"", "13:11: budgets need membership")]
#[test_case("\"membership\"", "", "13:11: runs of control has no component")]
#[test_case(
    "\"membership\"",
    "\"changes\"",
    "the plan runs changes and has no control machines; add changes { control = 7 }"
)]
#[test_case(
    "runs = [\"membership\"] }",
    "runs = [\"changes\"] }\nchanges { control = 7 }",
    "14:11: control machines of changes are more than 2 for each zone; write 6 or less"
)]
#[test_case(
    "does = \"start\"",
    "does = \"changes\"",
    "14:1: play \"begin\" proposes changes, which no gateway follows"
)]
#[test_case("\"membership\"", "\"gossip\"", "13:11: runs of control has an invalid item")]
#[test_case(
    "does = \"start\"",
    "does = \"stat\"",
    "14:16: does of play \"begin\" has the invalid value \"stat\""
)]
#[test_case(
    "does = \"start\"",
    "does = \"settled\"",
    "14:1: play \"begin\" comes before the gateways are started"
)]
#[test_case(
    "play \"begin\"",
    "play \"x\" { does = \"zone\" }\nplay \"begin\"",
    "14:1: play \"x\" has no zone"
)]
#[test_case("workers { hollow = 10 }", "", "the plan has no workers; add workers { hollow = 600, real = 3 }")]
#[test_case("across = 50", "across = 50 +", "invalid HCL")]
fn an_error_has_its_position_and_a_remedy(line: &str, replacement: &str, expected: &str) {
    let errors = errors(line, replacement);
    assert!(errors.iter().any(|error| error.contains(expected)), "{errors:#?}");
}

#[test]
fn a_partition_is_between_two_regions() {
    let read_partition = |regions: &str| {
        let text = format!("{SMALL_PLAN}play \"cut\" {{\n  does = \"cut\"\n  regions = {regions}\n}}\n");
        read(&text, None).map(|p| p.plays[1].action.clone()).map_err(|errors| errors[0].to_string())
    };
    assert_eq!(
        read_partition("[\"a\", \"b\"]"),
        Ok(Action::Partition { regions: RegionPair { first: 0, second: 1 }, duration: 10.0 })
    );
    let error = read_partition("[\"a\", \"a\"]").unwrap_err();
    assert!(error.starts_with("17:3: regions of play \"cut\" must be two different regions"), "{error}");
}

proptest! {
    /// Any text is either parsed or rejected with at least one error.
    #[test]
    fn no_text_panics_the_reader(
        at in 0..SMALL_PLAN.len(),
        text in "[ -~\n]{0,20}",
        gateways in proptest::option::of(2usize..50),
    ) {
        let broken = format!("{}{text}{}", &SMALL_PLAN[..at], &SMALL_PLAN[at..]);
        if let Err(errors) = read(&broken, gateways) {
            prop_assert!(!errors.is_empty());
        }
    }
}
