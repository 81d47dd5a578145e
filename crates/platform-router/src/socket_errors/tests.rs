use super::*;

/// The design page that documents the classification.
const DESIGN_PAGE: &str = include_str!("../../../../docs/design/system-calls.md");

/// The errors that the table lists for each operation.
const TESTED_ERRNOS: [Errno; 15] = [
    Errno::ECONNABORTED,
    Errno::ENFILE,
    Errno::EMFILE,
    Errno::ENOBUFS,
    Errno::ENOMEM,
    Errno::EADDRNOTAVAIL,
    Errno::ENETUNREACH,
    Errno::EAGAIN,
    Errno::EINTR,
    Errno::ETIMEDOUT,
    Errno::EHOSTUNREACH,
    Errno::ECONNREFUSED,
    Errno::ECONNRESET,
    Errno::EPIPE,
    Errno::EIO,
];

struct Row {
    operation: Operation,
    errno: String,
    origin: FaultOrigin,
    recovery: Recovery,
    never_ran: String,
}

/// Parses the rows of the page's table of worker connection errors.
fn rows() -> Vec<Row> {
    let lines = DESIGN_PAGE.lines().filter(|line| line.starts_with("| `"));
    lines.map(|line| row(line).unwrap_or_else(|| panic!("invalid row: {line}"))).collect()
}

fn row(line: &str) -> Option<Row> {
    let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
    let [operation, errno, origin, recovery, never_ran] = cells[..] else { return None };
    Some(Row {
        operation: match operation {
            "`connect`" => Operation::Connect,
            "`read`" => Operation::Read,
            "`write`" => Operation::Write,
            _ => return None,
        },
        errno: errno.trim_matches('`').to_owned(),
        origin: match origin {
            "local" => FaultOrigin::Local,
            "remote" => FaultOrigin::Remote,
            _ => return None,
        },
        recovery: match recovery {
            "await readiness" => Recovery::AwaitReadiness,
            "retry" => Recovery::Retry,
            "close" => Recovery::Close,
            _ => return None,
        },
        never_ran: never_ran.to_owned(),
    })
}

/// Every row of the table matches the classification, and there is one row per operation and error.
#[test]
fn design_page_matches_the_classification_of_every_error() {
    let rows = rows();
    for operation in [Operation::Connect, Operation::Read, Operation::Write] {
        for errno in TESTED_ERRNOS {
            let name = format!("{errno:?}");
            let row = rows.iter().find(|row| row.operation == operation && row.errno == name);
            let row = row.unwrap_or_else(|| panic!("no row for {operation:?} {name}"));
            let fault = classify(operation, &io::Error::from_raw_os_error(errno as i32));
            assert_eq!((fault.origin, fault.recovery), (row.origin, row.recovery), "{operation:?} {name}");
            let partial = outcome(fault.origin, false);
            let whole = outcome(fault.origin, true);
            let never_ran = match (operation, fault.recovery) {
                (Operation::Connect, _) if partial.never_ran() => "all of it",
                (_, Recovery::Close) if partial.never_ran() && !whole.never_ran() => "unless written whole",
                (_, Recovery::AwaitReadiness | Recovery::Retry) => "not decided",
                other => panic!("{other:?}"),
            };
            assert_eq!(never_ran, row.never_ran, "{operation:?} {name}");
        }
    }
    assert_eq!(rows.len(), 3 * TESTED_ERRNOS.len(), "a row matches no tested error");
}

/// Local errors result in outcomes that the policy does not count against the worker.
#[test]
fn local_fault_does_not_count_against_the_worker() {
    assert_eq!(outcome(FaultOrigin::Local, false), Outcome::NotSent);
    assert_eq!(outcome(FaultOrigin::Local, true), Outcome::Cancelled);
    assert_eq!(outcome(FaultOrigin::Remote, false), Outcome::Unreachable);
    assert_eq!(outcome(FaultOrigin::Remote, true), Outcome::ConnectionLost);
}

/// Errors created by the runtime have a kind but no errno.
#[test]
fn errors_without_errno_are_classified_by_kind() {
    let of = |operation, kind: ErrorKind| classify(operation, &io::Error::from(kind));
    assert_eq!(of(Operation::Connect, ErrorKind::TimedOut).origin, FaultOrigin::Remote);
    assert_eq!(of(Operation::Read, ErrorKind::WouldBlock).recovery, Recovery::AwaitReadiness);
    assert_eq!(of(Operation::Write, ErrorKind::Interrupted).recovery, Recovery::Retry);
    assert_eq!(of(Operation::Read, ErrorKind::UnexpectedEof).recovery, Recovery::Close);
}
