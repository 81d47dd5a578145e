//! The page is what the command makes of the committed runs; a wrong figure moves it; scale runs find their
//! place in it.

use milletpath_capacity_model::assumed::Assumed;
use milletpath_capacity_model::derived::derived;
use milletpath_capacity_model::lacks::lacks;
use milletpath_capacity_model::model::{Ask, Kind, Lack, Role, Slopes, work_out};
use milletpath_capacity_model::page::{ASSUMPTIONS, failing, number, rewrite, tables};
use milletpath_capacity_model::roles::rows;
use milletpath_capacity_model::run::{self, Run};
use milletpath_capacity_model::scale;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use test_case::test_case;

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

/// The committed runs and what is assumed.
fn committed() -> (Assumed, BTreeMap<String, Run>) {
    let folder = docs().join("capacity");
    (Assumed::read(&folder.join(ASSUMPTIONS)).unwrap(), run::read_all(&folder).unwrap())
}

/// What fails by such runs, in order.
fn list(assumed: &Assumed, runs: BTreeMap<String, Run>) -> Vec<Lack> {
    failing(&rows(assumed, &Slopes::new(runs)), &lacks(assumed, &[]))
}

/// A folder of its own with the committed runs, without scale runs.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("milletpath-capacity-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        for file in std::fs::read_dir(docs().join("capacity")).unwrap() {
            let path = file.unwrap().path();
            let name = path.file_name().unwrap();
            if !name.to_string_lossy().starts_with("scale-") {
                std::fs::copy(&path, folder.join(name)).unwrap();
            }
        }
        Self(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn the_page_is_what_the_command_makes_of_the_runs() {
    let page = std::fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    let made = rewrite(&page, &tables(&docs().join("capacity")).unwrap()).unwrap();
    assert!(
        page == made,
        "docs/CAPACITY.md is not up to date: milletpath capacity --page \
     docs/CAPACITY.md"
    );
}

/// Every slope that a row asks for is there, and each row with a bound has a verdict.
#[test]
fn no_row_of_the_page_is_without_its_run() {
    let (assumed, runs) = committed();
    for row in rows(&assumed, &Slopes::new(runs)) {
        assert!(row.value.is_finite(), "{}: {:?}", row.what, row.source);
    }
}

#[test]
fn a_wrong_figure_moves_the_list() {
    let (assumed, runs) = committed();
    let before = list(&assumed, runs.clone());
    let what = "one worker joins: nothing else is decided for";
    let at = |list: &[Lack]| list.iter().position(|l| l.what == what);
    // A thousandth of what it takes: it holds; a thousandfold: it fails at a smaller part of the size than
    // before.
    let planted = |times: f64| {
        let mut runs = runs.clone();
        for size in &mut runs.get_mut("list-join").unwrap().sizes {
            (size.value, size.low, size.high) = (size.value * times, size.low * times, size.high * times);
        }
        list(&assumed, runs)
    };
    assert_eq!(at(&planted(1e-3)), None);
    let (was, is) = (at(&before).expect("it fails today"), planted(1e3));
    assert!(is[at(&is).unwrap()].fails_at < before[was].fails_at);
    let folder = Folder::new("wrong");
    let path = folder.0.join("list-join.json");
    let good = tables(&folder.0).unwrap();
    let mut run = run::read(&path).unwrap();
    run.sizes[0].value *= 10.0;
    std::fs::write(&path, serde_json::to_string(&run).unwrap()).unwrap();
    assert_ne!(tables(&folder.0).unwrap(), good);
}

/// What is not there at all comes first, the rest in the order of the sizes at which it fails.
#[test]
fn the_list_is_in_order() {
    let (assumed, runs) = committed();
    let list = list(&assumed, runs);
    assert!(list.windows(2).all(|pair| pair[0].fails_at <= pair[1].fails_at));
    assert!(list.iter().all(|l| l.fails_at <= 1.0), "what fails beyond the size does not miss it");
    let change =
        list.iter().find(|l| l.what.starts_with("a change of configuration")).expect("it is lacking");
    assert!((change.fails_at - 1.0 / 1_100.0).abs() < 1e-9);
}

/// A mechanism that holds at the size may fail at twice the size, and then says where.
#[test]
fn a_bound_is_solved_for_the_size_at_which_it_breaks() {
    let (assumed, runs) = committed();
    let rows = rows(&assumed, &Slopes::new(runs));
    let known = rows.iter().find(|r| r.what == "workers known").unwrap();
    assert!(!known.misses());
    assert!((known.fails_at.unwrap() - 65_536.0 / 9_100.0).abs() < 0.01, "{:?}", known.fails_at);
}

/// Where the form would have a bound hold that the measured size breaks, the break lies between measured neighbours; and
/// what the measured size keeps does not break before it.
#[test]
fn what_was_measured_at_the_size_goes_before_its_form() {
    let (assumed, mut runs) = committed();
    let what = "list, ring and figures of the fleet";
    let row = |runs: &BTreeMap<String, Run>, may: f64| {
        let ask = Ask::of(Role::Gateway, Kind::Memory, what, ("list-memory", assumed.workers()), 1.0, "MB");
        work_out(&ask.may(may), &Slopes::new(runs.clone()))
    };
    // As 0.001 a worker, but for a bump at the size itself.
    for size in &mut runs.get_mut("list-memory").unwrap().sizes {
        size.value = size.at * if size.at == 9_100.0 { 0.0015 } else { 0.001 };
    }
    let broken = row(&runs, 12.5);
    assert!(broken.misses());
    let (from, to) = ((3_000.0, 3.0), (9_100.0, 13.65));
    let at = from.0 + (to.0 - from.0) * (12.5 - from.1) / (to.1 - from.1);
    assert!((broken.fails_at.unwrap() - at / 9_100.0).abs() < 1e-3, "{:?}", broken.fails_at);
    // And a dip.
    for size in &mut runs.get_mut("list-memory").unwrap().sizes {
        size.value = size.at * if size.at == 9_100.0 { 0.0005 } else { 0.001 };
    }
    let kept = row(&runs, 5.0);
    assert!(!kept.misses() && kept.fails_at.unwrap() >= 1.0, "{:?}", kept.fails_at);
}

/// What is carried on far past what was measured says by how much other forms differ, and whether they turn the verdict.
#[test]
fn a_verdict_that_hangs_on_the_form_is_said_to_do_so() {
    let (_, mut runs) = committed();
    let run = runs.get_mut("list-memory").unwrap();
    // Between a square and a cube.
    let at = [10.0, 20.0, 40.0, 80.0, 160.0];
    run.sizes.truncate(at.len());
    for (size, n) in run.sizes.iter_mut().zip(at) {
        (size.at, size.value) = (n, n * n + 0.004 * n * n * n);
    }
    let slopes = Slopes::new(runs);
    let row = |may: f64| {
        let ask = Ask::of(Role::Gateway, Kind::Memory, "made", ("list-memory", 1_600.0), 1.0, "MB").may(may);
        work_out(&ask, &slopes)
    };
    let (low, high) = row(1.0).range.unwrap();
    assert!(low < high, "{low} to {high}");
    assert!(row((low + high) / 2.0).unsure());
    assert!(!row(high * 1.01).unsure() && !row(low * 0.99).unsure());
}

#[test]
fn a_run_that_is_not_there_is_said_to_be_not_run() {
    let folder = Folder::new("missing");
    std::fs::remove_file(folder.0.join("peers-age.json")).unwrap();
    let made = tables(&folder.0).unwrap();
    assert!(made.contains("not run: peers-age"));
    assert!(made.contains("Not known, as it was not run"));
}

const FLEET: &str = r#"{"gateways": 1100, "seed": 3, "broken": [], "runs": ["peers", "changes"],
 "control": {"cpu": {"p50": 0.004, "p99": 0.02, "worst": 0.05}, "bytes_in": {"p50": 7000, "p99": 9000, "worst": 11000}},
 "known": {"change": {"p50": 0.2, "p99": 0.9, "worst": WORST, "never": NEVER}},
 "not_played": ["changes: none"], "machine": {"saturated": true}}"#;

/// A scale run that shows a change known to all takes it off the list, and stands in both tables; what it
/// did not measure is said so.
#[test_case("1.4", 0, true; "in time")]
#[test_case("3.2", 0, false; "too late")]
#[test_case("1.4", 2, false; "never at two")]
fn a_scale_run_takes_its_place(worst: &str, never: u32, holds: bool) {
    let folder = Folder::new(&format!("scale-{worst}-{never}"));
    assert!(tables(&folder.0).unwrap().contains("Not run: no `scale-*.json`"));
    let line = FLEET.replace('\n', "").replace("WORST", worst).replace("NEVER", &never.to_string());
    let before = line.replace("\"changes\"", "\"shares\"").replace("\"change\"", "\"death\"");
    std::fs::write(folder.0.join("scale-after.json"), format!("{{\"progress\": 0.5}}\n{line}\n")).unwrap();
    std::fs::write(folder.0.join("scale-before.json"), format!("{before}\n")).unwrap();
    let made = tables(&folder.0).unwrap();
    assert!(made.contains("| 0.4, 2, 5 **MISSES** | not measured | 7, 9, 11 |"), "{made}");
    assert!(made.contains("| changes: none | saturated: figures are of a crowd too |"), "{made}");
    assert!(made.contains("| before | never |"));
    let late = if never > 0 { format!("{worst}; never: {never}") } else { worst.to_owned() };
    let row = format!("| after | 0.2, 0.9, {late} | {}", if holds { "holds" } else { "**MISSES**" });
    assert!(made.contains(&row), "{row}");
    assert_eq!(made.contains("| a change of configuration"), !holds);
    let fleets = scale::read_all(&folder.0).unwrap();
    assert!(fleets.iter().any(|f| f.ran("changes")) && fleets.iter().any(|f| !f.ran("changes")));
}

/// Slopes of what only whole fleets show are those of the committed scale runs, and no others.
#[test]
fn slopes_of_fleets_are_made_of_their_scale_runs() {
    let folder = docs().join("capacity");
    let made = derived(&scale::read_all(&folder).unwrap());
    assert_eq!(made.len(), 6);
    for run in made {
        let committed = run::read(&folder.join(format!("{}.json", run.name))).unwrap();
        assert!(committed == run, "{} is another: milletpath capacity --derive", run.name);
    }
    let fleets = scale::read_all(&folder).unwrap();
    assert_eq!(derived(&fleets[..3]), [], "fewer than four sizes give no slope");
}

/// Of fleets that spent more than is granted, or did not all know who was there, the least stands on the list.
#[test]
fn the_least_fleet_that_misses_stands_on_the_list() {
    let folder = Folder::new("scale-least");
    let settled = FLEET.replace('\n', "").replace("WORST", "0.9").replace("NEVER", "0");
    let spent = |gateways: &str, cpu: &str, broken: &str| {
        let broken = format!("\"broken\": [{broken}]");
        let line = settled.replace("1100", gateways).replace("\"p50\": 0.004", &format!("\"p50\": {cpu}"));
        std::fs::write(
            folder.0.join(format!("scale-{gateways}.json")),
            line.replace("\"broken\": []", &broken),
        )
        .unwrap();
    };
    spent("55", "0.012", "\"control.bytes_in in quiet\"");
    spent("110", "0.0121", "\"other\", \"never settled in roll: 93 of 110\"");
    spent("220", "0.04", "\"never settled in begin: 0 of 220\"");
    let (assumed, runs) = committed();
    let fleets = scale::read_all(&folder.0).unwrap();
    let list = failing(&rows(&assumed, &Slopes::new(runs)), &lacks(&assumed, &fleets));
    let of = |what: &str| list.iter().find(|l| l.what.contains(what)).unwrap().clone();
    let processor = of("control's part of a core in the scale run");
    assert!((processor.fails_at - 0.1).abs() < 1e-9 && processor.why.contains("1.21 % (p50) among 110"));
    let unsettled = of("all know who is there");
    assert!((unsettled.fails_at - 0.1).abs() < 1e-9 && unsettled.why.starts_with("never settled in roll"));
}

/// A fleet in which changes ran and none was made is not taken for one without them.
#[test]
fn a_fleet_that_made_no_change_is_told_as_after() {
    let folder = Folder::new("scale-none");
    let line = FLEET.replace('\n', "").replace("WORST", "0.9").replace("NEVER", "0");
    std::fs::write(folder.0.join("scale-after.json"), &line).unwrap();
    let none = line.replace("\"change\"", "\"death\"");
    std::fs::write(folder.0.join("scale-none.json"), none).unwrap();
    let made = tables(&folder.0).unwrap();
    assert!(made.contains("| after | never | **MISSES**, on a full machine |"), "{made}");
    assert!(!made.contains("| before |"), "{made}");
}

/// What a small fleet shows is not taken for the size.
#[test]
fn a_change_that_only_a_small_fleet_knew_stays_on_the_list() {
    let folder = Folder::new("scale-small");
    let line = FLEET.replace('\n', "").replace("WORST", "0.9").replace("NEVER", "0").replace("1100", "60");
    std::fs::write(folder.0.join("scale-small.json"), line).unwrap();
    let made = tables(&folder.0).unwrap();
    assert!(made.contains("not shown among more than 60 gateways"), "{made}");
}

#[test_case("{\"gateways\": 3}\n", "no line of it is a scale run's last"; "no last line")]
#[test_case("gateways\n", ":1:"; "no JSON")]
#[test_case("{\"gateways\": -3, \"seed\": 1, \"control\": {}}\n", ":1:"; "fewer than none")]
fn a_bad_scale_run_is_told_with_its_place(text: &str, wrong: &str) {
    let folder = Folder::new(&format!("bad-{}", text.len()));
    std::fs::write(folder.0.join("scale-bad.json"), text).unwrap();
    let told = tables(&folder.0).unwrap_err();
    assert!(told.contains("scale-bad.json") && told.contains(wrong), "{told}");
}

#[test_case("\"zipf\"", "\"zipff\"", "zipf is missing"; "misspelt")]
#[test_case("\"value\": 1.6", "\"value\": 0", "zipf is no figure above 0"; "nothing")]
#[test_case("\"gateways\": 1100", "\"gatewais\": 1100", "gatewais"; "an unknown figure")]
fn a_bad_assumption_is_told_with_its_remedy(from: &str, to: &str, wrong: &str) {
    let folder = Folder::new(&format!("assumed-{}", wrong.len()));
    let path = folder.0.join(ASSUMPTIONS);
    let text = std::fs::read_to_string(&path).unwrap();
    assert!(text.contains(from));
    std::fs::write(&path, text.replace(from, to)).unwrap();
    let told = tables(&folder.0).unwrap_err();
    assert!(told.contains(ASSUMPTIONS) && told.contains(wrong), "{told}");
}

#[test]
fn a_page_without_its_marks_is_not_written_over() {
    assert!(rewrite("# Capacity\n", "tables").unwrap_err().contains("add it where the tables belong"));
}

#[test_case(0.0, "0"; "nothing")]
#[test_case(0.001234, "0.00123"; "small")]
#[test_case(12.0, "12"; "whole")]
#[test_case(999.6, "1,000"; "rounded up")]
#[test_case(1234567.0, "1,234,567"; "large")]
#[test_case(-650.0, "-650"; "below nothing")]
#[test_case(f64::NAN, "-"; "none")]
fn a_number_reads_well(x: f64, text: &str) {
    assert_eq!(number(x), text);
}
