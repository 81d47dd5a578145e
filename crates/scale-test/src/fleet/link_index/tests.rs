//! Assignment of relay links to gateways, control machines, followers and authors.

use super::LinkIndex;
use crate::control::AUTHOR_COUNT;
use crate::plan::{Plan, read};

fn plan(changes: bool) -> Plan {
    let components = if changes { "\"membership\", \"changes\"" } else { "\"membership\"" };
    let machines = if changes { "changes { control = 3 }" } else { "" };
    let text = format!(
        "name = \"tiny\"\ngateways = 4\nreal = 1\n\
         region \"a\" {{ zones = [\"a1\", \"a2\"] }}\nregion \"b\" {{ zones = [\"b1\"] }}\n\
         links {{\n  within = 1\n  across = 50\n}}\npeers {{ period = 0.2 }}\nworkers {{ hollow = 10 }}\n\
         control {{ runs = [{components}] }}\n{machines}\nplay \"begin\" {{ does = \"start\" }}\n"
    );
    read(&text, None).unwrap_or_else(|errors| panic!("{errors:?}"))
}

#[test]
fn without_control_machines_there_are_membership_links_only() {
    let plan = plan(false);
    let index = LinkIndex::new(&plan);
    assert_eq!(index.follower(0), None);
    assert_eq!(index.regions(&plan), [0, 0, 1, 0]);
}

#[test]
fn each_link_has_an_index_of_its_own() {
    let plan = plan(true);
    let index = LinkIndex::new(&plan);
    let mut indices: Vec<usize> = (0..4).map(|gateway| index.membership(gateway)).collect();
    indices.extend((0..3).map(|machine| index.control_machine(machine)));
    indices.extend((0..4).filter_map(|gateway| index.follower(gateway)));
    indices.extend((0..AUTHOR_COUNT).map(|author| index.author(author)));
    let all: Vec<usize> = (0..index.regions(&plan).len()).collect();
    assert_eq!(indices, all);
}

#[test]
fn a_follower_is_in_the_region_of_its_gateway() {
    let plan = plan(true);
    let index = LinkIndex::new(&plan);
    let regions = index.regions(&plan);
    for gateway in 0..4 {
        let follower = index.follower(gateway).expect("the plan has control machines");
        assert_eq!(regions[follower], regions[index.membership(gateway)]);
    }
}
