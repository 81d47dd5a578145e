//! Charters as operators get them wrong: each mistake is told with its place, all at once.

use milletpath_config::{WorkerSource, read};
use milletpath_policy::host::{Effect, Group};
use proptest::prelude::*;
use test_case::test_case;

const SOUND: &str = r#"
listen   = "127.0.0.1:0"
gateways = 2
seed     = 5

profile "refill-check" {
  due     = 1.0
  cut_off = 3.0
  effect  = "pure"
}
profile "order" {
  due    = 0.5
  effect = "receipted"
  group  = "zone"
  memory = 60
}
client "clinic" {
  quota   = 44
  ceiling = 60
}
functions {
  lanes  = 2
  memory = 400
}
function "packs-a" { load = 0.7 }
workers {
  drain_grace = 0.5
  kind "std" { memory = 9856 }
  worker "w1" {
    address = "127.0.0.1:9001"
    kind    = "std"
    zone    = "room"
  }
  worker "w2" { address = "127.0.0.1:9002" }
}
limits {
  shots     = 3
  in_flight = 40
  retries {
    window = 5
    free   = 8
    share  = 0.2
  }
  ration {
    window = 10
    free   = 2
    share  = 0.1
  }
}
"#;

#[test]
fn a_sound_charter_gives_its_figures() {
    let house = read(SOUND).unwrap();
    assert_eq!((house.policy.routers, house.policy.shots, house.policy.seed), (2, 3, 5));
    assert_eq!(house.policy.profiles[1].effect, Effect::Receipted { group: Group::Zone, memory: 60.0 });
    assert_eq!(house.policy.ration, Some((10.0, 2.0, 0.1)));
    assert_eq!((house.policy.quotas[0], house.clients[0].as_str()), (44.0, "clinic"));
    assert_eq!((house.policy.ceilings[0], house.policy.hand), (60.0, 40.0));
    // Free ones are the fleet's: each gateway has its part.
    assert_eq!(house.policy.retries, Some((5.0, 4.0, 0.2)));
    assert_eq!((house.functions.of("packs-a").lanes, house.functions.of("packs-a").load), (2.0, Some(0.7)));
    assert_eq!(house.functions.of("another").memory, 400.0);
    assert_eq!((house.bounds.grace, house.profiles[1].cut_off), (0.5, 1.5));
    let WorkerSource::List(list) = house.source else { panic!("a list") };
    assert_eq!((list[0].kind.as_str(), list[1].kind.as_str()), ("std", ""));
}

/// One change to a sound text, and the line, column and words of what is told of it.
#[test_case("shots     = 3", "shotz = 3", 37, 3, "did you mean shots?"; "a slip in a key")]
#[test_case("shots     = 3", "shots = 3.5", 37, 3, "no whole number"; "half a shot")]
#[test_case("in_flight = 40", "in_flight = 1", 38, 3, "less than one shot for each of 2"; "less than a shot a gateway")]
#[test_case("shots     = 3", "shots = -3", 37, 3, "from 1 to 16"; "less than none")]
#[test_case("due    = 0.5", "", 11, 1, "has no due"; "no due time")]
#[test_case("memory = 60", "", 11, 1, "has no memory"; "receipts without memory")]
#[test_case("\"receipted\"", "\"pure\"", 14, 3, "not receipted"; "a group that means nothing")]
#[test_case("cut_off = 3.0", "cut_off = 0.3", 8, 3, "before its due time"; "a cut off before the due time")]
#[test_case("127.0.0.1:9002", "127.0.0.1:9001", 34, 17, "address of another"; "two workers at one address")]
#[test_case("worker \"w2\"", "worker \"w1\"", 34, 3, "second time"; "a worker twice")]
#[test_case("\"std\"\n", "\"fast\"\n", 31, 5, "name of a kind above"; "a kind that there is not")]
#[test_case("127.0.0.1:0", "localhost", 2, 1, "listen = \"127.0.0.1:8080\""; "an address without a port")]
#[test_case("drain_grace = 0.5", "registry = \"127.0.0.1:1\"", 27, 3, "both"; "a list and a registry")]
#[test_case("profile \"order\"", "profile \"or der\"", 11, 1, "no proper label"; "a label with a space")]
#[test_case("quota   = 44", "quota = 1e99", 18, 3, "from 0 to"; "a quota without sense")]
#[test_case("free   = 2", "free   = [2]", 46, 5, "no number"; "a list for a figure")]
#[test_case("gateways = 2", "gateways = ", 3, 12, "no HCL"; "broken grammar")]
fn a_mistake_is_told_with_its_place(from: &str, to: &str, line: usize, column: usize, words: &str) {
    assert!(SOUND.contains(from));
    let mistakes = read(&SOUND.replacen(from, to, 1)).unwrap_err();
    let told: Vec<_> = mistakes.iter().map(ToString::to_string).collect();
    let found =
        mistakes.iter().any(|m| (m.line, m.column) == (line, column) && m.to_string().contains(words));
    assert!(found, "{told:#?}");
}

#[test]
fn all_mistakes_are_told_at_once_in_order() {
    let text = SOUND
        .replace("seed ", "sead ")
        .replace("due     = 1.0", "due = \"soon\"")
        .replace("lanes ", "lines ");
    let mistakes = read(&text).unwrap_err();
    assert_eq!(mistakes.iter().map(|m| m.line).collect::<Vec<_>>(), [4, 7, 22], "{mistakes:#?}");
}

proptest! {
    /// A charter cut off or mangled anywhere is refused or read, never a panic.
    #[test]
    fn mangled_text_is_no_panic(at in 0..SOUND.len(), with in ".{0,8}", cut in 0..40usize) {
        let end = (at + cut).min(SOUND.len());
        let _ = read(&format!("{}{with}{}", &SOUND[..at], &SOUND[end..]));
    }

    #[test]
    fn any_text_is_no_panic(text in "\\PC{0,200}") {
        let _ = read(&text);
    }
}
