//! What a charter says of changes, and what a change may state: read, refused with its place, taken back.

use milletpath_config::{
    ConfigChange, FunctionConfig, FunctionConfigs, FunctionOverrides, GatewayConfig, Subject, read,
};
use proptest::prelude::*;
use test_case::test_case;

const SOUND: &str = r#"
listen   = "10.1.0.3:8080"
profile "check" {
  due    = 1.0
  effect = "pure"
}
profile "order" {
  due    = 0.5
  effect = "effectful"
}
functions {
  lanes  = 2
  memory = 400
}
function "packs-a" {
  load    = 0.7
  profile = "check"
}
workers {
  registry = "127.0.0.1:9000"
}
changes {
  control = ["10.0.0.1:7500", "10.0.1.1:7500", "10.0.2.1:7500"]
  key     = "changes.key"
}
"#;

fn house() -> GatewayConfig {
    read(SOUND).unwrap_or_else(|m| panic!("{m:#?}"))
}

#[test]
fn the_usual_figures_of_changes() {
    let changes = house().changes.expect("stated");
    assert_eq!(changes.control.len(), 3);
    assert_eq!((changes.key.to_str(), changes.state.to_str()), (Some("changes.key"), Some("changes.state")));
    assert_eq!((changes.listen.to_string(), changes.name), ("0.0.0.0:0".into(), "10.1.0.3:8080".into()));
    let six = SOUND.replace("10.0.0.1", "[::1]").replace("10.0.1.1", "[::2]").replace("10.0.2.1", "[::3]");
    assert_eq!(read(&six).unwrap().changes.unwrap().listen.to_string(), "[::]:0");
    let without = SOUND.split("changes {").next().unwrap();
    assert_eq!(read(without).unwrap().changes, None);
}

/// The name of peers is that of changes, where these give none.
#[test]
fn a_gateway_has_one_name() {
    let peers =
        "gateways = 2\npeers {\n  listen = \"10.1.0.3:7400\"\n  name = \"g-3\"\n  key = \"peers.key\"\n}\n";
    let text = format!("{peers}{SOUND}");
    assert_eq!(read(&text).unwrap().changes.unwrap().name, "g-3");
    let own = text.replace("changes {", "changes {\n  name = \"other\"");
    assert_eq!(read(&own).unwrap().changes.unwrap().name, "other");
}

#[test_case("\"10.0.1.1:7500\"", "\"10.0.0.1:7500\"", 23, 3, "named as two"; "one twice")]
#[test_case("\"10.0.1.1:7500\"", "\"10.0.0.1:0\"", 23, 3, "no place of a control"; "no port")]
#[test_case("\"10.0.1.1:7500\"", "\"0.0.0.0:7500\"", 23, 3, "no place of a control"; "any address")]
#[test_case("\"10.0.1.1:7500\"", "\"[::1]:7500\"", 23, 3, "all by IPv4 or all by IPv6"; "two families")]
#[test_case("\"10.0.1.1:7500\"", "\"host\"", 23, 3, "holds what it can't"; "a host's name")]
#[test_case("[\"10.0.0.1:7500\", \"10.0.1.1:7500\", \"10.0.2.1:7500\"]", "[]", 23, 3, "names 0"; "none")]
#[test_case("  key     = \"changes.key\"", "", 22, 1, "has no key"; "no key")]
#[test_case("  key ", "  listen = \"[::]:0\"\n  key ", 24, 3, "can't reach"; "listens elsewhere")]
#[test_case("\"10.1.0.3:8080\"", "\"0.0.0.0:8080\"", 22, 1, "has no name"; "an address that tells nothing")]
#[test_case("  key ", "  name = \"a b\"\n  key ", 24, 3, "up to 64 letters"; "no name")]
#[test_case("  key ", "  kay = 1\n  key ", 24, 3, "did you mean key?"; "a slip")]
fn a_mistake_of_changes_is_told(from: &str, to: &str, line: usize, column: usize, words: &str) {
    assert!(SOUND.contains(from));
    let mistakes = read(&SOUND.replacen(from, to, 1)).unwrap_err();
    let here = |m: &&milletpath_config::ConfigError| (m.line, m.column) == (line, column);
    assert!(mistakes.iter().filter(here).any(|m| m.to_string().contains(words)), "{mistakes:#?}");
}

#[test]
fn eight_control_machines_are_one_too_many() {
    let all: Vec<_> = (1..=8).map(|n| format!("\"10.0.0.{n}:7500\"")).collect();
    let old = "[\"10.0.0.1:7500\", \"10.0.1.1:7500\", \"10.0.2.1:7500\"]";
    let of = |n: usize| read(&SOUND.replace(old, &format!("[{}]", all[..n].join(", "))));
    assert_eq!(of(7).unwrap().changes.unwrap().control.len(), 7);
    assert!(of(8).unwrap_err()[0].to_string().contains("names 8 control machines"));
}

const FILE: &str = r#"# Why: more calls than one lane bears.
function "packs-a" {
  lanes   = 4
  profile = "order"
}
  functions { memory = 200 }
function "b" {}
"#;

#[test]
fn a_file_of_changes_is_cut_into_its_statements() {
    let stated = house().statements(FILE).unwrap();
    let seen: Vec<_> = stated.iter().map(|s| (s.subject.to_string(), s.line, s.column)).collect();
    let wanted = [("function packs-a", 2, 1), ("functions", 6, 3), ("function b", 7, 1)];
    assert_eq!(seen, wanted.map(|(key, line, column)| (key.to_owned(), line, column)));
    assert_eq!(stated[1].text, "functions { memory = 200 }");
    // Each text says by itself what it said in the file.
    for one in &stated {
        let amendment = house().amendment(&one.subject.to_string(), Some(&one.text)).unwrap();
        let wanted = ConfigChange { subject: one.subject.clone(), statement: Some(one.statement) };
        assert_eq!(amendment, wanted);
    }
}

/// One change to a file, and the line, column and words of what is told of it.
#[test_case("lanes   = 4", "lanes = 0", 3, 3, "from 1 to 10000"; "no lane")]
#[test_case("lanes   = 4", "lines = 4", 3, 3, "did you mean lanes?"; "a slip in a key")]
#[test_case("\"order\"", "\"late\"", 4, 3, "\"check\" or \"order\""; "a profile that there is not")]
#[test_case("\"b\"", "\"packs-a\"", 7, 1, "second time"; "one function twice")]
#[test_case("function \"b\"", "client \"b\"", 7, 1, "can't carry client, by which all gateways"; "a quota")]
#[test_case("function \"b\"", "limits", 7, 1, "can't carry limits, by which all gateways"; "a limit")]
#[test_case("function \"b\" {}", "cores = 3", 7, 1, "each gateway's own"; "a gateway's own")]
#[test_case("function \"b\"", "fanction \"b\"", 7, 1, "did you mean function?"; "a slip in a block")]
#[test_case("\"b\"", "\"b b\"", 7, 1, "no proper label"; "no name")]
#[test_case("\"b\" {}", "\"b\" {", 7, 16, "no HCL here"; "broken grammar")]
fn a_mistake_of_a_change_is_told(from: &str, to: &str, line: usize, column: usize, words: &str) {
    assert!(FILE.contains(from));
    let mistakes = house().statements(&FILE.replacen(from, to, 1)).unwrap_err();
    let here = |m: &&milletpath_config::ConfigError| (m.line, m.column) == (line, column);
    assert!(mistakes.iter().filter(here).any(|m| m.to_string().contains(words)), "{mistakes:#?}");
}

#[test]
fn what_is_too_long_or_empty_is_no_change() {
    let house = house();
    let name = |n: usize| format!("function \"{}\" {{}}\n", "n".repeat(n));
    assert_eq!(house.statements(&name(87)).unwrap().len(), 1);
    assert!(house.statements(&name(88)).unwrap_err()[0].to_string().contains("up to 87 bytes"));
    let padded = |n: usize| format!("functions {{\n#{}\n}}", "x".repeat(n - 15));
    assert_eq!(house.statements(&padded(800)).unwrap()[0].text.len(), 800);
    assert!(house.statements(&padded(801)).unwrap_err()[0].to_string().contains("801 bytes"));
    assert!(house.statements("# nothing\n").unwrap_err()[0].to_string().contains("nothing is stated"));
}

#[test_case("function a", "function \"b\" {}"; "another function")]
#[test_case("functions", "function \"a\" {}"; "one for all")]
#[test_case("function a", "function \"a\" {}\nfunction \"b\" {}"; "two at once")]
#[test_case("quota a", "function \"a\" {}"; "a key of a later version")]
#[test_case("function a b", "function \"a\" {}"; "a key that is none")]
fn a_text_must_say_what_its_key_says(key: &str, text: &str) {
    assert!(house().amendment(key, Some(text)).is_err());
}

fn figures(functions: &FunctionConfigs, name: &str) -> FunctionConfig {
    functions.of(name)
}

/// A statement takes the place of the charter's as a whole; taken back, the charter's own holds again.
#[test]
fn an_amendment_holds_until_it_is_taken_back() {
    let house = house();
    let mut functions = house.functions.clone();
    let amend = |functions: &mut FunctionConfigs, key: &str, text: Option<&str>| {
        functions.amend(&house.amendment(key, text).unwrap(), &house.functions);
    };
    amend(&mut functions, "function packs-a", Some("function \"packs-a\" { lanes = 4 }"));
    let is = FunctionConfig { lanes: 4.0, memory: 400.0, load: None, profile: None };
    assert_eq!(figures(&functions, "packs-a"), is);
    // What it leaves out is what holds for all, also when that changes.
    amend(&mut functions, "functions", Some("functions { memory = 300 }"));
    assert_eq!(figures(&functions, "packs-a"), FunctionConfig { memory: 300.0, ..is });
    assert_eq!(figures(&functions, "b"), FunctionConfig { lanes: 1.0, memory: 300.0, ..is });
    amend(&mut functions, "function b", Some("function \"b\" { load = 2 }"));
    for key in ["function packs-a", "function b", "functions", "function never-stated"] {
        amend(&mut functions, key, None);
    }
    assert_eq!(functions, house.functions);
}

proptest! {
    #[test]
    fn a_mangled_change_is_no_panic(at in 0..FILE.len(), with in ".{0,8}", cut in 0..40usize) {
        let end = (at + cut).min(FILE.len());
        let text = format!("{}{with}{}", &FILE[..at], &FILE[end..]);
        let house = house();
        let _ = house.statements(&text);
        let _ = house.amendment("functions", Some(&text));
    }

    /// Whatever is stated and taken back in whatever order, what holds is the last word for each key.
    #[test]
    fn the_last_word_holds(words in proptest::collection::vec((0..4usize, proptest::option::of(1..9u8)), 0..30)) {
        let house = house();
        let keys = ["functions", "function packs-a", "function b", "function c"];
        let mut functions = house.functions.clone();
        let mut last = [None; 4];
        for (key, lanes) in words {
            let subject = Subject::of(keys[key]).unwrap();
            let statement = lanes.map(|n| FunctionOverrides { lanes: Some(f64::from(n)), ..FunctionOverrides::default() });
            functions.amend(&ConfigChange { subject, statement }, &house.functions);
            last[key] = statement;
        }
        prop_assert_eq!(functions.usual, last[0].unwrap_or(house.functions.usual));
        for (key, name) in [(1, "packs-a"), (2, "b"), (3, "c")] {
            let own = last[key].or(house.functions.named.get(name).copied());
            prop_assert_eq!(functions.named.get(name).copied(), own);
        }
    }
}
