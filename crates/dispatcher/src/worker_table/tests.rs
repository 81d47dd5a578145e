//! Start times of workers while wall clocks are stepped: ours, those of the workers, or both as on one machine.

use super::*;
use test_case::test_case;

/// The Unix time at which the monotonic clock of these tests begins.
const UNIX: f64 = 1.7e9;
/// Seconds that pass between a start and its news.
const ON_ITS_WAY: f64 = 0.1;
const STEPS: [f64; 4] = [3.0, -3.0, 3600.0, -3600.0];

/// Which clocks a step moves.
#[derive(Clone, Copy, PartialEq)]
enum Stepped {
    Ours,
    Theirs,
    Both,
}

fn roll() -> WorkerTable {
    WorkerTable::new(&[], 5, StartTimes::new(UNIX), 0, 10.0)
}

fn entry(name: &str, started: Option<f64>) -> Entry {
    Entry {
        name: name.into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
        started,
        size: 1.0,
        kind: String::new(),
        zone: String::new(),
        cell: String::new(),
        state: Standing::Ready,
    }
}

/// Takes one line of news, as the decisions hear it: when that worker started.
fn take(roll: &mut WorkerTable, now: f64, whole: bool, entry: Entry) -> Option<f64> {
    let mut listings = Vec::new();
    roll.take(now, whole, &[entry], |listing| listings.push(listing));
    listings[0].started
}

/// A worker joins right after a step: the news can't be older than the last confirmation of the list, whatever the
/// clocks say. It counted as an hour old, or as one of the future that stays cold for an hour.
#[test_case(Stepped::Ours; "our clock")]
#[test_case(Stepped::Theirs; "its clock")]
#[test_case(Stepped::Both; "one clock of both")]
fn a_worker_that_joins_is_as_old_as_its_news_at_most(stepped: Stepped) {
    for step in STEPS {
        let mut roll = roll();
        take(&mut roll, 0.0, true, entry("early", None));
        roll.start_times.wall_clock_read(20.0, UNIX + 20.0);
        roll.start_times.list_confirmed(20.0);
        let now = 20.5;
        let ours = if stepped == Stepped::Theirs { 0.0 } else { step };
        let theirs = if stepped == Stepped::Ours { 0.0 } else { step };
        roll.start_times.wall_clock_read(now, UNIX + now + ours);
        let stamp = UNIX + now - ON_ITS_WAY + theirs;
        let started = take(&mut roll, now, false, entry("joins", Some(stamp))).expect("a start");
        assert!((now - 0.6..=now).contains(&started), "step {step}: started at {started:.1}, news at {now}");
    }
}

/// A process begins anew under its name while a clock is stepped: another one, started after its predecessor. One whose
/// stamp was earlier than its predecessor's was taken for the old, warm one.
#[test_case(Stepped::Ours; "our clock")]
#[test_case(Stepped::Theirs; "its clock")]
#[test_case(Stepped::Both; "one clock of both")]
fn a_worker_that_begins_anew_is_another_process(stepped: Stepped) {
    for step in STEPS {
        let mut roll = roll();
        let before =
            take(&mut roll, 20.0, true, entry("w", Some(UNIX + 20.0 - ON_ITS_WAY))).expect("a start");
        let process = roll.address(0).1;
        roll.start_times.list_confirmed(22.0);
        let now = 22.5;
        let ours = if stepped == Stepped::Theirs { 0.0 } else { step };
        let theirs = if stepped == Stepped::Ours { 0.0 } else { step };
        roll.start_times.wall_clock_read(now, UNIX + now + ours);
        let stamp = UNIX + now - ON_ITS_WAY + theirs;
        let started = take(&mut roll, now, false, entry("w", Some(stamp))).expect("a start");
        assert!(roll.address(0).1 > process, "step {step}: taken for the process before it");
        assert!(
            started > before && (now - 0.6..=now).contains(&started),
            "step {step}: started at {started:.1}"
        );
    }
}

/// A whole list that repeats a stamp tells of the same process, though the clock was stepped since.
#[test]
fn a_stamp_that_is_repeated_is_the_same_process() {
    for step in STEPS {
        let mut roll = roll();
        let stamp = Some(UNIX + 9.9);
        let started = take(&mut roll, 10.0, true, entry("w", stamp));
        let process = roll.address(0).1;
        roll.start_times.wall_clock_read(30.0, UNIX + 30.0 + step);
        for whole in [true, false] {
            assert_eq!(take(&mut roll, 30.0, whole, entry("w", stamp)), started);
            assert_eq!(take(&mut roll, 31.0, whole, entry("w", stamp.map(|at| at + 0.0005))), started);
            // A line without a stamp says nothing of the process.
            assert_eq!(take(&mut roll, 32.0, whole, entry("w", None)), started);
        }
        assert_eq!(roll.address(0).1, process);
    }
}

/// Without a stamp a worker started early, also where it is first reported by news.
#[test]
fn a_worker_without_a_stamp_started_early() {
    let mut roll = roll();
    take(&mut roll, 0.0, true, entry("early", None));
    roll.start_times.list_confirmed(20.0);
    assert_eq!(take(&mut roll, 20.5, false, entry("joins", None)), None);
}

/// What nothing contradicts is believed: a list that was known before the start, and news of an outage.
#[test]
fn a_stamp_that_nothing_contradicts_is_believed() {
    let mut roll = roll();
    let started = take(&mut roll, 0.0, true, entry("known", Some(UNIX - 60.0))).expect("a start");
    assert!((started + 60.0).abs() < 1e-3, "{started}");
    roll.start_times.list_confirmed(20.0);
    // The list was not heard for ten seconds; eight seconds ago a worker joined.
    let started = take(&mut roll, 30.0, true, entry("joined", Some(UNIX + 22.0))).expect("a start");
    assert!((started - 22.0).abs() < 1e-3, "{started}");
}

/// The same outage with a step forward amid it: the reading before the step places the stamp as if there were none.
#[test_case(3.0)]
#[test_case(3600.0)]
fn a_step_forward_amid_an_outage_ages_nobody(step: f64) {
    let mut roll = roll();
    take(&mut roll, 0.0, true, entry("early", None));
    roll.start_times.list_confirmed(20.0);
    roll.start_times.wall_clock_read(30.0, UNIX + 30.0 + step);
    let started = take(&mut roll, 30.0, false, entry("joined", Some(UNIX + 29.0))).expect("a start");
    assert!((started - 29.0).abs() < 1e-3, "{started}");
}

/// Where the decisions broke, their successor knows the processes that were listed, and believes no step since.
#[test_case(3600.0)]
#[test_case(-3600.0)]
fn a_successor_knows_when_workers_started(step: f64) {
    let mut roll = roll();
    take(&mut roll, 0.0, true, entry("early", None));
    roll.start_times.list_confirmed(20.0);
    let stamp = Some(UNIX + 20.4 + step);
    let started = take(&mut roll, 20.5, false, entry("joins", stamp));
    roll.start_times.wall_clock_read(25.0, UNIX + 25.0 + step);
    let mut successor = roll.successor(5);
    assert_eq!(take(&mut successor, 25.0, true, entry("joins", stamp)), started);
    assert!(successor.address(0).1 > roll.address(0).1);
}

/// A worker is off the list for so long that its name is forgotten, as when discovery lost sight of it: the same stamp is
/// the same process, another stamp is another. Taken for new, a fleet that came back would be cold as a whole.
#[test]
fn a_worker_that_was_forgotten_keeps_its_start() {
    for (stamp, same) in [(UNIX + 9.9, true), (UNIX + 9.9 - 3600.0, false)] {
        let mut roll = roll();
        let started = take(&mut roll, 10.0, true, entry("w", Some(UNIX + 9.9)));
        take(&mut roll, 20.0, true, entry("other", None));
        take(&mut roll, 40.0, true, entry("other", None));
        assert!(roll.names.get("w").is_none());
        roll.start_times.list_confirmed(59.5);
        let again = take(&mut roll, 60.0, false, entry("w", Some(stamp)));
        assert_eq!(again, if same { started } else { Some(60.0) });
    }
}
