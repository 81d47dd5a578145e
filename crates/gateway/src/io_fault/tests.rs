use super::*;
use AcceptFault::{Connection, Resources};
use ConnectFault::{Local, Worker};
use Errno::*;
use test_case::test_case;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno as i32)
}

#[test_case(ECONNABORTED, Connection)]
#[test_case(ECONNRESET, Connection)]
#[test_case(EHOSTDOWN, Connection)]
#[test_case(EHOSTUNREACH, Connection)]
#[test_case(EINTR, Connection)]
#[test_case(ENETDOWN, Connection)]
#[test_case(ENETUNREACH, Connection)]
#[test_case(ENONET, Connection)]
#[test_case(ENOPROTOOPT, Connection)]
#[test_case(EOPNOTSUPP, Connection)]
#[test_case(EPERM, Connection)]
#[test_case(EPROTO, Connection)]
#[test_case(ETIMEDOUT, Connection)]
#[test_case(EMFILE, Resources)]
#[test_case(ENFILE, Resources)]
#[test_case(ENOBUFS, Resources)]
#[test_case(ENOMEM, Resources)]
#[test_case(ENOSR, Resources)]
#[test_case(EINVAL, Resources)]
fn accept_errors_are_classified(errno: Errno, fault: AcceptFault) {
    assert_eq!(AcceptFault::of(&error(errno)), fault);
}

#[test_case(EACCES, Local)]
#[test_case(EADDRINUSE, Local)]
#[test_case(EADDRNOTAVAIL, Local)]
#[test_case(EAFNOSUPPORT, Local)]
#[test_case(EAGAIN, Local)]
#[test_case(ECONNABORTED, Local)]
#[test_case(EINTR, Local)]
#[test_case(EMFILE, Local)]
#[test_case(ENETDOWN, Local)]
#[test_case(ENETUNREACH, Local)]
#[test_case(ENFILE, Local)]
#[test_case(ENOBUFS, Local)]
#[test_case(ENOMEM, Local)]
#[test_case(EPERM, Local)]
#[test_case(ECONNREFUSED, Worker)]
#[test_case(ECONNRESET, Worker)]
#[test_case(EHOSTDOWN, Worker)]
#[test_case(EHOSTUNREACH, Worker)]
#[test_case(EPIPE, Worker)]
#[test_case(ETIMEDOUT, Worker)]
fn connect_errors_are_classified(errno: Errno, fault: ConnectFault) {
    assert_eq!(ConnectFault::of(&error(errno)), fault);
}

/// An error that was not returned by a system call says nothing about this machine.
#[test]
fn errors_without_an_errno_are_classified() {
    let error = io::Error::other("the handshake failed");
    assert_eq!((AcceptFault::of(&error), ConnectFault::of(&error)), (Resources, Worker));
}

/// However long failures persist, pauses start after a bounded number of retries and never exceed the maximum.
#[test_case(Connection, 64; "failed connections")]
#[test_case(Resources, 0; "lack of resources")]
fn pauses_grow_up_to_a_bound(fault: AcceptFault, immediate_retries: usize) {
    let mut backoff = Backoff::default();
    let pauses: Vec<_> = (0..100_000).map(|_| backoff.after_accept(fault)).collect();
    assert!(pauses[..immediate_retries].iter().all(Duration::is_zero));
    assert_eq!(pauses[immediate_retries..immediate_retries + 3], [5, 10, 20].map(Duration::from_millis));
    assert!(pauses[immediate_retries + 5..].iter().all(|pause| *pause == Backoff::MAX_PAUSE));
    backoff.succeeded();
    assert_eq!(backoff.after_accept(Resources), Backoff::MIN_PAUSE);
}

/// Connects with the given number of initial failures. Returns the result and the number of attempts.
fn connect_with_failures(
    errno: Errno,
    failures: usize,
    max_wait: u64,
) -> (Result<usize, Option<i32>>, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let mut attempts = 0;
    let result = runtime.block_on(connect(Duration::from_millis(max_wait), async || {
        attempts += 1;
        if attempts <= failures { Err(error(errno)) } else { Ok(attempts) }
    }));
    (result.map_err(|e| e.raw_os_error()), attempts)
}

#[test_case(EADDRNOTAVAIL, 2, 40, Ok(3), 3; "a temporary local fault")]
#[test_case(EADDRNOTAVAIL, usize::MAX, 40, Err(EADDRNOTAVAIL), 4; "a lasting fault: waits 5, 10 and 20 ms")]
#[test_case(ENETUNREACH, usize::MAX, 1, Err(ENETUNREACH), 1; "no time for a pause")]
#[test_case(ECONNREFUSED, 1, 40, Err(ECONNREFUSED), 1; "refused by the worker, not retried")]
fn connecting_is_retried_for_a_bounded_time(
    errno: Errno,
    failures: usize,
    max_wait: u64,
    result: Result<usize, Errno>,
    attempts: usize,
) {
    let result = result.map_err(|errno| Some(errno as i32));
    assert_eq!(connect_with_failures(errno, failures, max_wait), (result, attempts));
}
