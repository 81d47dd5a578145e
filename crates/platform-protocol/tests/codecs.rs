//! Codecs of the platform: what is sound comes through whole, what is not is named, and nothing is set aside for what
//! is claimed. Wild bytes by the thousand never do more than that.

mod pen;

use milletpath_platform_protocol::events::{self, Line};
use milletpath_platform_protocol::frames;
use milletpath_platform_protocol::lines::{self, Said};
use milletpath_platform_protocol::told;
use milletpath_policy::host::Outcome;
use pen::frame;
use proptest::prelude::*;
use test_case::test_case;

fn call(change: &str) -> String {
    let call = r#"{"jsonrpc":"2.0","id":7,"method":"p","params":{"i":"9b1f03aa5c7e2d41","d":1500,"t":"acme","r":1,"o":"7f3a9c21e0b4d655","info":"memory_mb:512;lanes:2;load_ms:640","content":"aGk="}}"#;
    let (from, to) = change.split_once("=>").unwrap_or(("", ""));
    call.replacen(from, to, 1)
}

#[test]
fn a_call_is_read_with_all_that_it_says() {
    let Ok(Said::Call(ask)) = lines::read(call("").as_bytes()) else { panic!("it is sound") };
    assert_eq!((ask.number, ask.id, ask.profile.as_str()), (7, 0x9b1f_03aa_5c7e_2d41, "p"));
    assert_eq!((ask.client.as_str(), ask.function.as_str()), ("acme", "7f3a9c21e0b4d655"));
    assert_eq!((ask.patience, ask.repeat, &ask.body[..]), (1.5, true, &b"hi"[..]));
    assert_eq!((ask.memory, ask.lanes, ask.load), (512.0, 2.0, Some(0.64)));
}

#[test_case(r#""id":7=>"id":0"#, "id"; "no number")]
#[test_case(r#""id":7=>"id":"7""#, "id"; "a number as text")]
#[test_case("9b1f=>9B1F", "i"; "an id in capitals")]
#[test_case("9b1f=>9b1", "i"; "a short id")]
#[test_case("7f3a=>zzzz", "o"; "a function that is no number")]
#[test_case("1500=>-1", "d"; "a negative time")]
#[test_case("1500=>1e300", "d"; "an endless time")]
#[test_case("lanes:2=>lanes:NaN", "info.lanes"; "a figure that is none")]
#[test_case("512=>1e99", "info.memory_mb"; "a figure past sense")]
#[test_case("aGk==>a", "content"; "no base64")]
#[test_case(r#""r":1=>"r":[]"#, "r"; "a mark that is none")]
#[test_case(r#""r":1=>"k":7"#, "k"; "a mark that is no text")]
#[test_case(r#""r":1=>"k":"a,queue=q""#, "k"; "a mark that would name other fields")]
#[test_case(r#""r":1=>"k":"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0""#, "k"; "a mark past its bound")]
#[test_case("2.0=>1.0", "jsonrpc"; "another protocol")]
#[test_case("{=>", "line"; "no json")]
fn a_call_that_is_unsound_is_told_where(change: &str, place: &str) {
    let Err((_, fault)) = lines::read(call(change).as_bytes()) else { panic!("it is unsound") };
    assert_eq!(fault.place, place);
}

/// Calls of receipted profiles bear a mark; without it no worker knows a repeat. It was left out of every shot.
#[test_case(r#""r":1=>"k":"51c47357e4320fd8""#, ",uniq=51c47357e4320fd8"; "marked")]
#[test_case("", ""; "unmarked")]
fn a_mark_goes_on_to_the_worker(change: &str, field: &str) {
    let Ok(Said::Call(ask)) = lines::read(call(change).as_bytes()) else { panic!("it is sound") };
    let lines::Ask { id, profile, function, mark, body, .. } = &*ask;
    let mut made = Vec::new();
    frames::shot(&mut made, &frames::Shot { id: *id, profile, function, mark, body }, 1.5);
    let fields = usize::from(u16::from_be_bytes([made[2], made[3]]));
    let wanted = format!("queue=p,path=7f3a9c21e0b4d655,budget=1500{field}");
    assert_eq!(std::str::from_utf8(&made[16..16 + fields]), Ok(wanted.as_str()));
}

#[test_case(lines::BODY, true; "at the bound")]
#[test_case(lines::BODY + 1, false; "one past it")]
fn bodies_are_bounded(length: usize, fits: bool) {
    use base64::Engine;
    let body = base64::engine::general_purpose::STANDARD.encode(vec![b'x'; length]);
    assert_eq!(lines::read(call(&format!("aGk==>{body}")).as_bytes()).is_ok(), fits);
}

#[test]
fn nesting_costs_no_stack() {
    assert!(lines::read(&b"[".repeat(lines::LONGEST)).is_err());
}

/// An answer that claims 3 GB and keeps coming is known by its head.
#[test_case(&[127, 200, 0, 0, 0xc0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8]; "three gigabytes")]
#[test_case(&[127, 200, 0xff, 0xff, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8]; "long fields")]
#[test_case(&[126]; "a router's mark")]
#[test_case(&[127, 1]; "an unknown code")]
fn what_can_not_be_read_is_not_waited_for(bytes: &[u8]) {
    assert!(frames::read(bytes).is_err());
}

#[test]
fn senseless_figures_are_left_out() {
    let bytes = frame(200, 5, "same=-3,use=q:NaN;x0:0.5;x1:-1,later=1", b"");
    let (answer, _) = frames::read(&bytes).expect("sound").expect("whole");
    let report = answer.report.expect("a report");
    assert_eq!((answer.company, report.waiting, report.memory, report.loading), (0.0, None, Some(0.5), None));
}

#[test_case("17", Some(Line::Last(17)); "a number alone")]
#[test_case(r#"{"no":17}"#, Some(Line::Last(17)); "a number in an object")]
#[test_case(r#"{"no":41,"roster":{"members":[{"id":"a","phase":"gone"}]}}"#, None; "an unknown state")]
#[test_case(r#"{"no":41,"roster":{"members":[{"id":"a","phase":"active"}]}}"#, None; "no address")]
#[test_case(r#"{"no":41,"roster":"#, None; "half an event")]
fn lines_of_the_bulletin(line: &str, read: Option<Line>) {
    assert_eq!(events::read(line.as_bytes()).ok(), read);
}

proptest! {
    #[test]
    fn answers_come_through_whole_or_not_at_all(
        id: u64, same in 0u8..30, body in prop::collection::vec(any::<u8>(), 0..200), flip: prop::sample::Index,
    ) {
        let bytes = frame(200, id, &format!("same={same}"), &body);
        for end in 0..bytes.len() {
            prop_assert!(matches!(frames::read(&bytes[..end]), Ok(None)));
        }
        let twice = [&bytes[..], &bytes[..]].concat();
        let (answer, took) = frames::read(&twice).unwrap().unwrap();
        prop_assert_eq!((answer.id, answer.outcome, answer.body, took), (id, Outcome::Handled, &body[..], bytes.len()));
        prop_assert_eq!(answer.company, f64::from(same));
        // What was spoilt past the head is never believed.
        let at = 16 + flip.index(bytes.len() - 16);
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 1;
        prop_assert!(frames::read(&spoilt).is_err());
    }

    #[test]
    fn wild_bytes_do_no_harm(bytes in prop::collection::vec(any::<u8>(), 0..300), mark: bool) {
        let mut bytes = bytes;
        if let Some(first) = bytes.first_mut().filter(|_| mark) {
            *first = 127;
        }
        let _ = frames::read(&bytes);
        let _ = events::read(&bytes);
        let _ = milletpath_platform_protocol::told::read(&bytes);
        prop_assert!(lines::read(&bytes).is_err());
    }
}

/// A file read again: the bulletin's address is taken, and what else differs is named; the list so far and the seed are
/// new with every file.
#[test_case("", &[]; "the same")]
#[test_case(r#""no":1=>"no":9"#, &[]; "a longer list so far")]
#[test_case(r#""memory_mb":64=>"memory_mb":32"#, &["limits.memory_mb"]; "another limit")]
#[test_case(r#""Tick":1000=>"Tock":1000"#, &["settings.Tick", "settings.Tock"]; "a key for another")]
#[test_case(r#""Effect":"free"=>"Effect":"single_shot""#, &["settings.Classes"]; "another effect")]
fn what_a_file_read_again_says(change: &str, places: &[&str]) {
    let first = r#"{"listen":"127.0.0.1:1","seed":"5","bulletin":"127.0.0.1:2","known":{"no":1},"limits":{"memory_mb":64},
        "settings":{"Classes":[{"Name":"p","Effect":"free"}],"Tick":1000}}"#;
    let (from, to) = change.split_once("=>").unwrap_or(("", ""));
    let again = first.replacen(from, to, 1).replace("127.0.0.1:2", "127.0.0.1:3");
    let (bulletin, other) = told::again(again.as_bytes(), first.as_bytes()).expect("sound");
    assert_eq!((bulletin.port(), other.iter().map(String::as_str).collect::<Vec<_>>()), (3, places.to_vec()));
    assert!(told::again(&again.as_bytes()[..40], first.as_bytes()).is_err());
}
