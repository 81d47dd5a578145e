//! Start times of workers when wall clocks are stepped: the gateway's, the workers', or a shared one on the same
//! machine.

use super::*;
use test_case::test_case;

/// The Unix time at time 0 of the monotonic clock.
const UNIX_TIME: f64 = 1.7e9;
/// Seconds between the start of a process and its report.
const REPORT_DELAY: f64 = 0.1;
/// Sizes of clock steps, in seconds.
const STEPS: [f64; 4] = [3.0, -3.0, 3600.0, -3600.0];

/// Which clocks are stepped.
#[derive(Clone, Copy, PartialEq)]
enum Stepped {
    Gateway,
    Worker,
    Both,
}

fn table() -> WorkerTable {
    WorkerTable::new(&[], 5, StartTimes::new(UNIX_TIME), 0, 10.0)
}

fn entry(name: &str, started: Option<f64>) -> EndpointEntry {
    EndpointEntry {
        name: name.into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
        started,
        size: 1.0,
        kind: String::new(),
        zone: String::new(),
        cell: String::new(),
        state: EndpointStatus::Ready,
    }
}

/// Applies a list of one entry and returns the start time passed to the router.
fn update(table: &mut WorkerTable, now: f64, complete: bool, entry: EndpointEntry) -> Option<f64> {
    let mut listings = Vec::new();
    table.update(now, complete, &[entry], |endpoint_update| listings.push(endpoint_update));
    listings[0].started_at
}

/// A worker joins right after a clock step. Its timestamp can make it look up to an hour old, or place its start up
/// to an hour in the future; it must still not count as older than the last confirmation of the list.
#[test_case(Stepped::Gateway; "the gateway's clock")]
#[test_case(Stepped::Worker; "the worker's clock")]
#[test_case(Stepped::Both; "a shared clock")]
fn joining_worker_is_no_older_than_the_last_confirmed_list(stepped: Stepped) {
    for step in STEPS {
        let mut table = table();
        update(&mut table, 0.0, true, entry("early", None));
        table.start_times.wall_clock_read(20.0, UNIX_TIME + 20.0);
        table.start_times.list_confirmed(20.0);
        let now = 20.5;
        let gateway_step = if stepped == Stepped::Worker { 0.0 } else { step };
        let worker_step = if stepped == Stepped::Gateway { 0.0 } else { step };
        table.start_times.wall_clock_read(now, UNIX_TIME + now + gateway_step);
        let timestamp = UNIX_TIME + now - REPORT_DELAY + worker_step;
        let started = update(&mut table, now, false, entry("joins", Some(timestamp))).expect("a start time");
        assert!(
            (now - 0.6..=now).contains(&started),
            "step {step}: started at {started:.1}, reported at {now}"
        );
    }
}

/// A process is restarted with the same name while a clock is stepped. It must be recognized as a new process that
/// started after its predecessor, even if its timestamp is earlier.
#[test_case(Stepped::Gateway; "the gateway's clock")]
#[test_case(Stepped::Worker; "the worker's clock")]
#[test_case(Stepped::Both; "a shared clock")]
fn restarted_worker_is_a_new_process(stepped: Stepped) {
    for step in STEPS {
        let mut table = table();
        let before = update(&mut table, 20.0, true, entry("w", Some(UNIX_TIME + 20.0 - REPORT_DELAY)))
            .expect("a start time");
        let process = table.process(0).process;
        table.start_times.list_confirmed(22.0);
        let now = 22.5;
        let gateway_step = if stepped == Stepped::Worker { 0.0 } else { step };
        let worker_step = if stepped == Stepped::Gateway { 0.0 } else { step };
        table.start_times.wall_clock_read(now, UNIX_TIME + now + gateway_step);
        let timestamp = UNIX_TIME + now - REPORT_DELAY + worker_step;
        let started = update(&mut table, now, false, entry("w", Some(timestamp))).expect("a start time");
        assert!(table.process(0).process > process, "step {step}: mistaken for its predecessor");
        assert!(
            started > before && (now - 0.6..=now).contains(&started),
            "step {step}: started at {started:.1}"
        );
    }
}

/// A list that repeats a timestamp refers to the same process, even after a clock step.
#[test]
fn repeated_timestamp_is_the_same_process() {
    for step in STEPS {
        let mut table = table();
        let timestamp = Some(UNIX_TIME + 9.9);
        let started = update(&mut table, 10.0, true, entry("w", timestamp));
        let process = table.process(0).process;
        table.start_times.wall_clock_read(30.0, UNIX_TIME + 30.0 + step);
        for complete in [true, false] {
            assert_eq!(update(&mut table, 30.0, complete, entry("w", timestamp)), started);
            assert_eq!(
                update(&mut table, 31.0, complete, entry("w", timestamp.map(|at| at + 0.0005))),
                started
            );
            // An entry without a timestamp says nothing about the process.
            assert_eq!(update(&mut table, 32.0, complete, entry("w", None)), started);
        }
        assert_eq!(table.process(0).process, process);
    }
}

/// A worker without a timestamp counts as started long ago, even if it joins while the list is being followed.
#[test]
fn worker_without_a_timestamp_has_no_start_time() {
    let mut table = table();
    update(&mut table, 0.0, true, entry("early", None));
    table.start_times.list_confirmed(20.0);
    assert_eq!(update(&mut table, 20.5, false, entry("joins", None)), None);
}

/// A timestamp is used if nothing contradicts it: in the first list, and for a worker that joined during an outage.
#[test]
fn plausible_timestamp_is_used_as_start_time() {
    let mut table = table();
    let started =
        update(&mut table, 0.0, true, entry("known", Some(UNIX_TIME - 60.0))).expect("a start time");
    assert!((started + 60.0).abs() < 1e-3, "{started}");
    table.start_times.list_confirmed(20.0);
    // The list was not followed for ten seconds; the worker joined eight seconds ago.
    let started =
        update(&mut table, 30.0, true, entry("joined", Some(UNIX_TIME + 22.0))).expect("a start time");
    assert!((started - 22.0).abs() < 1e-3, "{started}");
}

/// An outage with a forward clock step during it. The timestamp is converted with the reading from before the step,
/// so the step has no effect.
#[test_case(3.0)]
#[test_case(3600.0)]
fn forward_clock_step_during_an_outage_does_not_change_start_times(step: f64) {
    let mut table = table();
    update(&mut table, 0.0, true, entry("early", None));
    table.start_times.list_confirmed(20.0);
    table.start_times.wall_clock_read(30.0, UNIX_TIME + 30.0 + step);
    let started =
        update(&mut table, 30.0, false, entry("joined", Some(UNIX_TIME + 29.0))).expect("a start time");
    assert!((started - 29.0).abs() < 1e-3, "{started}");
}

/// After a restart, the new table knows the start times of the listed processes, and a clock step in between does not
/// change them.
#[test_case(3600.0)]
#[test_case(-3600.0)]
fn start_times_survive_a_restart(step: f64) {
    let mut table = table();
    update(&mut table, 0.0, true, entry("early", None));
    table.start_times.list_confirmed(20.0);
    let timestamp = Some(UNIX_TIME + 20.4 + step);
    let started = update(&mut table, 20.5, false, entry("joins", timestamp));
    table.start_times.wall_clock_read(25.0, UNIX_TIME + 25.0 + step);
    let mut next_generation = table.next_generation(5);
    assert_eq!(update(&mut next_generation, 25.0, true, entry("joins", timestamp)), started);
    assert!(next_generation.process(0).process > table.process(0).process);
}

/// A worker is off the list until it is evicted, as in a long discovery outage. When it returns, the same timestamp
/// means the same process and another timestamp a new one. Otherwise a whole fleet that returns would go through slow
/// start.
#[test]
fn evicted_worker_keeps_its_start_time() {
    for (timestamp, same) in [(UNIX_TIME + 9.9, true), (UNIX_TIME + 9.9 - 3600.0, false)] {
        let mut table = table();
        let started = update(&mut table, 10.0, true, entry("w", Some(UNIX_TIME + 9.9)));
        update(&mut table, 20.0, true, entry("other", None));
        update(&mut table, 40.0, true, entry("other", None));
        assert!(table.names.get("w").is_none());
        table.start_times.list_confirmed(59.5);
        let again = update(&mut table, 60.0, false, entry("w", Some(timestamp)));
        assert_eq!(again, if same { started } else { Some(60.0) });
    }
}
