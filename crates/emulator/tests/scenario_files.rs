//! Tests scenario files that extend others.

use milletpath_emulator::scenario_file::{InvalidScenario, Scenario, open};
use std::path::PathBuf;

const BASE: &str = r#"
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

/// Writes the base and a scenario that extends it to a file each, and reads the scenario.
fn open_on_base(name: &str, text: &str) -> Result<Scenario, InvalidScenario> {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("base.hcl"), BASE).unwrap();
    std::fs::write(folder.join("day.hcl"), text).unwrap();
    open(&folder.join("day.hcl"))
}

#[test]
fn a_scenario_overrides_and_extends_its_base() {
    let text = r#"
upon    = "base.hcl"
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
    let scenario = open_on_base("replaces", text).unwrap();
    assert_eq!((scenario.seconds, scenario.workers, scenario.worker_spec.cores), (20.0, 9, 2));
    assert_eq!((scenario.sharing, scenario.uneven), (true, 5.0));
    let profiles: Vec<_> = scenario.profiles.iter().map(|p| (p.name.as_str(), p.latency_objective)).collect();
    assert_eq!(profiles, [("check", 2.0), ("order", 1.0)]);
    let limit = scenario.rules.load_rate_limit.map(|limit| (limit.window, limit.free, limit.per_request));
    assert_eq!(limit, Some((3.0, 7.0, 0.1)));
    let faults: Vec<_> = scenario.faults.iter().map(|f| (f.name.as_str(), f.at, f.fraction)).collect();
    assert_eq!(faults, [("death", 1.0, 0.5), ("link-cut", 2.0, 0.4)]);
}

fn messages(invalid: InvalidScenario) -> Vec<String> {
    invalid.errors.iter().map(ToString::to_string).collect()
}

#[test]
fn errors_name_their_file_and_position() {
    let errors =
        messages(open_on_base("mistakes", "upon = \"base.hcl\"\n\nfleet { wrkers = 3 }\n").unwrap_err());
    assert!(
        errors[0].contains("day.hcl:3:9: unknown key wrkers in fleet; did you mean workers?"),
        "{errors:?}"
    );
    let errors = messages(open_on_base("absent", "upon = \"nowhere.hcl\"\n").unwrap_err());
    assert!(errors[0].contains("nowhere.hcl: can't be read"), "{errors:?}");
    let errors = messages(open_on_base("cycle", "upon = \"day.hcl\"\n").unwrap_err());
    assert!(errors[0].contains("builds on itself"), "{errors:?}");
}
