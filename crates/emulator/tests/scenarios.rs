//! Stories of days' files: one may build on another.

use milletpath_emulator::scenario_file::{Scenario, open};
use std::path::PathBuf;

const GROUND: &str = r#"
seconds = 10
fleet {
  workers = 4
  cores   = 2
}
profile "check" { due = 2 }
rules {
  notice = 0.2
  ration { free = 7 }
}
trouble "death" { at = 1 }
"#;

/// A day upon the ground, each in a file of its own.
fn upon(name: &str, text: &str) -> Result<Scenario, Vec<String>> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("ground.hcl"), GROUND).unwrap();
    std::fs::write(folder.join("day.hcl"), text).unwrap();
    open(&folder.join("day.hcl"))
}

#[test]
fn a_day_replaces_and_adds_to_what_it_builds_on() {
    let text = r#"
upon    = "ground.hcl"
seconds = 20
fleet { workers = 9 }
profile "order" { due = 1 }
rules {
  ration { window = 3 }
}
trouble "death" { part = 0.5 }
trouble "link-cut" { at = 2 }
sharing = true
front { uneven = 5 }
"#;
    let scenario = upon("replaces", text).unwrap();
    assert_eq!((scenario.seconds, scenario.workers, scenario.worker_spec.cores), (20.0, 9, 2));
    assert_eq!((scenario.sharing, scenario.uneven), (true, 5.0));
    let profiles: Vec<_> = scenario.profiles.iter().map(|p| (p.name.as_str(), p.latency_objective)).collect();
    assert_eq!(profiles, [("check", 2.0), ("order", 1.0)]);
    let limit = milletpath_history_checker::WindowLimit { window: 3.0, free: 7.0, per_request: 0.1 };
    assert_eq!(scenario.rules.load_rate_limit, Some(limit));
    let faults: Vec<_> = scenario.faults.iter().map(|t| (t.name.as_str(), t.at, t.fraction)).collect();
    assert_eq!(faults, [("death", 1.0, 0.5), ("link-cut", 2.0, 0.4)]);
}

#[test]
fn mistakes_are_told_where_they_stand() {
    let told = upon("mistakes", "upon = \"ground.hcl\"\n\nfleet { wrkers = 3 }\n").unwrap_err();
    assert!(told[0].contains("day.hcl:3:9: unknown key wrkers in fleet; did you mean workers?"), "{told:?}");
    let told = upon("absent", "upon = \"nowhere.hcl\"\n").unwrap_err();
    assert!(told[0].contains("nowhere.hcl: can't be read"), "{told:?}");
    let told = upon("circle", "upon = \"day.hcl\"\n").unwrap_err();
    assert!(told[0].contains("builds on itself"), "{told:?}");
}
