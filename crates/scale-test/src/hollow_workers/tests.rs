//! Updates of the hollow workers in the endpoint list.

use super::HollowWorkers;
use crate::plan::{Plan, read};
use milletpath_protocol::registry::EndpointStatus;

fn plan() -> Plan {
    let text = "name = \"tiny\"\ngateways = 4\nregion \"a\" { zones = [\"a1\", \"a2\"] }\n\
                links {\n  within = 1\n  across = 50\n}\nworkers { hollow = 4 }\n\
                control { runs = [\"list\"] }\nplay \"begin\" { does = \"start\" }\n";
    read(text, None).unwrap_or_else(|errors| panic!("{errors:?}"))
}

#[test]
fn all_workers_are_present_at_first_and_spread_over_the_zones() {
    let endpoints = HollowWorkers::new(4).endpoints(&plan());
    let zones: Vec<&str> = endpoints.iter().map(|endpoint| endpoint.zone.as_str()).collect();
    assert_eq!(zones, ["a1", "a2", "a1", "a2"]);
    assert!(endpoints.iter().all(|endpoint| endpoint.started.is_none()));
}

#[test]
fn workers_that_are_gone_are_not_on_the_list() {
    let mut workers = HollowWorkers::new(4);
    let changed = workers.update(&plan(), &[1, 3], 0, false);
    assert!(changed.iter().all(|endpoint| endpoint.state == EndpointStatus::Gone));
    let names: Vec<String> = workers.endpoints(&plan()).into_iter().map(|endpoint| endpoint.name).collect();
    assert_eq!(names, ["worker-0", "worker-2"]);
}

#[test]
fn a_worker_that_returns_is_another_process() {
    let mut workers = HollowWorkers::new(2);
    workers.update(&plan(), &[1], 0, false);
    let changed = workers.update(&plan(), &[1], 1, true);
    assert_eq!((changed.len(), changed[0].started), (1, Some(2.0)));
    assert_eq!(workers.endpoints(&plan()).len(), 2);
}

#[test]
fn unknown_workers_are_ignored() {
    assert!(HollowWorkers::new(2).update(&plan(), &[2, 7], 1, true).is_empty());
}
