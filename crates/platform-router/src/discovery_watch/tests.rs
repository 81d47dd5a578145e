use super::*;
use crate::platform_router::WorkerConnection;
use crate::platform_router::tests::{router_with_workers, run_local, submit_request};
use crate::socket_errors::Operation;
use crate::sockets::tests::{
    CONNECT_ERRORS, FaultDuration, FaultySockets, LONG_FAULT, SHORT_FAULT, TRANSFER_ERRORS,
};
use milletpath_process_environment::wall_clock::unix_time;
use nix::errno::Errno;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use test_case::test_case;
use tokio::io::{DuplexStream, ReadBuf};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::Instant;

fn event(number: u64, phase: &str) -> String {
    let worker = format!(r#"{{"id":"w0","host_port":"127.0.0.1:1","phase":"{phase}"}}"#);
    format!(r#"{{"no":{number},"roster":{{"complete":false,"members":[{worker}]}}}}"#) + "\n"
}

/// A stream that falls silent after hours of heartbeats and events is closed as soon as a new stream would be, and
/// all of its events are applied.
#[test_case(""; "between two lines")]
#[test_case("{\"no\":"; "within a line")]
fn silent_discovery_stream_is_closed_after_hours_of_heartbeats(rest: &'static str) {
    run_local(async move {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let (ours, mut theirs) = tokio::io::duplex(4 << 10);
        let reader = spawn_local(async move {
            let Err(reason) = read_events(&router, ours).await;
            (reason, router.borrow().discovery.last_event, Instant::now())
        });
        let mut last = 1;
        for second in 0..3 * 3600 {
            if second % 600 == 0 {
                last += 1;
                theirs.write_all(event(last, "active").as_bytes()).await.unwrap();
            }
            theirs.write_all(format!("{last}\n").as_bytes()).await.unwrap();
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        assert!(!reader.is_finished());
        theirs.write_all(rest.as_bytes()).await.unwrap();
        let silent_from = Instant::now();
        let (reason, last_event, at) = reader.await.unwrap();
        assert!(matches!(reason, StreamEnd::Silent), "{reason}");
        assert_eq!(last_event, last);
        assert!(at - silent_from <= SILENCE_TIMEOUT);
    });
}

/// When the discovery address changes, unread events of the previous address are applied before the new address
/// answers. They used to be dropped with the stream, and a worker that had left got attempts until the new address
/// answered.
#[test]
fn unread_events_are_applied_before_the_discovery_address_changes() {
    run_local(async {
        let [old, new] = [TcpListener::bind("127.0.0.1:0").await, TcpListener::bind("127.0.0.1:0").await];
        let [old, new] = [old.unwrap(), new.unwrap()];
        let router = router_with_workers(&[SocketAddr::from(([127, 0, 0, 1], 1))]);
        let (discovery_address, address) = watch::channel(old.local_addr().unwrap());
        spawn_local(watch_discovery(router.clone(), address));
        let (mut stream, _) = old.accept().await.unwrap();
        let mut subscription = [0; 8];
        stream.read_exact(&mut subscription).await.unwrap();
        assert_eq!(&subscription, b"after 1\n");
        stream.writable().await.unwrap();
        // There is no await in between, so the router sees both at the same time.
        stream.try_write(event(2, "left").as_bytes()).unwrap();
        discovery_address.send(new.local_addr().unwrap()).unwrap();
        let (mut stream, _) = new.accept().await.unwrap();
        assert_eq!(router.borrow().dispatcher.workers(), []);
        stream.read_exact(&mut subscription).await.unwrap();
        assert_eq!(&subscription, b"after 2\n");
    });
}

/// More events are unread than one turn applies, and the last one concerns the worker of a call. The call waits until all
/// of them were applied, and is then sent only if its worker still takes work. Guards against a turn that applies all
/// unread events while no other socket is served, and against sending by a list that is known to be old.
#[test_case("active", true; "the worker stays")]
#[test_case("leaving", false; "the worker drains")]
fn work_waits_for_unread_events_that_are_applied_in_several_turns(phase: &'static str, is_sent: bool) {
    /// Several times the bytes that one turn applies, and less than a socket holds.
    const EVENTS: u64 = 2000;
    run_local(async move {
        let discovery = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let worker = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = worker.local_addr().unwrap();
        let router = router_with_workers(&[address]);
        let (_address_sender, followed) = watch::channel(discovery.local_addr().unwrap());
        spawn_local(watch_discovery(router.clone(), followed));
        let (mut stream, _) = discovery.accept().await.unwrap();
        stream.read_exact(&mut [0; 8]).await.unwrap();
        let other = |number| event(number, "left").replace("w0", "w9");
        let events: String = (2..EVENTS).map(other).collect();
        let to_worker = tokio::net::TcpStream::connect(address).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        let slot = {
            let mut state = router.borrow_mut();
            let process = state.dispatcher.worker_process(0).process;
            let mut connection = WorkerConnection::new(0, process, state.memory_budget.reserve(0), 0.0, 0.25);
            connection.stream = Some(Rc::new(to_worker));
            let slot = state.worker_connections.insert(connection);
            state.connections_by_worker.entry(0).or_default().push(slot);
            slot
        };
        stream.writable().await.unwrap();
        let last = event(EVENTS, phase).replace("127.0.0.1:1", &address.to_string());
        let bytes = [events, last].concat().into_bytes();
        // There is no await from here on, so the router finds all events unread as it is about to send the attempt.
        assert_eq!(stream.try_write(&bytes).unwrap(), bytes.len());
        std::thread::sleep(Duration::from_millis(30));
        submit_request(&mut router.borrow_mut(), 5);
        router.borrow_mut().run_actions();
        assert!(router.borrow().discovery.last_event < EVENTS, "one turn applied all events");
        assert_eq!(router.borrow().worker_connections[slot].bytes_encoded, 0, "sent by an old list");
        while router.borrow().discovery.last_event < EVENTS {
            tokio::task::yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(router.borrow().worker_connections[slot].bytes_encoded > 0, is_sent);
    });
}

/// Within the events of one read a worker becomes available and leaves again, while a call waits for one: nothing is decided
/// by the list in between, and the call is placed by the last event. Guards against placing the queue again for each event,
/// which holds up a router during a release of thousands of workers.
#[test_case("left", 0; "the worker has left by the last event")]
#[test_case("active", 1; "the worker is available by the last event")]
fn events_of_one_read_place_waiting_calls_once(last_phase: &str, attempts: u64) {
    let router = router_with_workers(&[]);
    let mut state = router.borrow_mut();
    submit_request(&mut state, 7);
    let events = [event(2, "active"), event(3, "leaving"), event(4, last_phase)].concat();
    state.receive_from_discovery(events.as_bytes()).unwrap();
    assert_eq!(state.discovery.last_event, 4);
    assert_eq!(state.dispatcher.counters().attempts, attempts);
}

/// A worker that joins after ten heartbeats without it counts as no older than its event, even if its start time was
/// read from a stepped clock. A clock that was an hour behind used to disable slow start, and one an hour ahead
/// extended it by an hour.
#[test_case(-3600.0; "an hour behind")]
#[test_case(-3.0; "three seconds behind")]
#[test_case(3.0; "three seconds ahead")]
#[test_case(3600.0; "an hour ahead")]
fn worker_joining_by_a_stepped_clock_is_no_older_than_its_event(step: f64) {
    run_local(async move {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let (ours, mut theirs) = tokio::io::duplex(4 << 10);
        let reader_router = router.clone();
        spawn_local(async move { read_events(&reader_router, ours).await });
        for _ in 0..10 {
            theirs.write_all(b"1\n").await.unwrap();
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let stamp = format!(r#""phase":"active","up_since_ms":{:.0}"#, (unix_time() + step) * 1e3);
        let event = event(2, "active").replace(r#""phase":"active""#, &stamp);
        theirs.write_all(event.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(1)).await;
        let state = router.borrow();
        let started = state.dispatcher.started(0).expect("the worker has a start time");
        assert!(
            (state.now() - 1.1..=state.now()).contains(&started),
            "started at {started:.1}, now it is {:.1}",
            state.now()
        );
    });
}
/// If the connection to the discovery address fails, for a local or a remote reason, it is retried with pauses, and
/// events are applied once it succeeds.
#[test_case(FaultDuration::Once; "once")]
#[test_case(SHORT_FAULT; "for 100 ms")]
#[test_case(LONG_FAULT; "for 2 s")]
fn discovery_connection_is_retried_until_it_succeeds(duration: FaultDuration) {
    run_local(async move {
        let scenarios = CONNECT_ERRORS
            .iter()
            .map(|&errno| spawn_local(check_retries_until_discovery_answers(errno, duration)));
        for scenario in scenarios.collect::<Vec<_>>() {
            scenario.await.unwrap();
        }
    });
}

async fn check_retries_until_discovery_answers(errno: Errno, duration: FaultDuration) {
    let sockets = FaultySockets::new(Operation::Connect, errno, duration, usize::MAX);
    sockets.armed.set(true);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let router = router_with_workers(&[SocketAddr::from(([127, 0, 0, 1], 1))]);
    router.borrow_mut().sockets = sockets.clone();
    let (_address_sender, address) = watch::channel(listener.local_addr().unwrap());
    spawn_local(watch_discovery(router.clone(), address));
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.write_all(event(2, "left").as_bytes()).await.unwrap();
    while !router.borrow().dispatcher.workers().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // Retries after 50, 100, 200 and then every 400 ms.
    let failures = sockets.failures.get();
    assert!((1..=8).contains(&failures), "{errno:?}: {failures}");
}

/// A stream whose first write fails, or whose reads fail once all data was read.
struct FailingStream {
    stream: DuplexStream,
    operation: Operation,
    errno: Errno,
    written: bool,
}

impl AsyncRead for FailingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, to);
        if self.operation == Operation::Read && read.is_pending() {
            return Poll::Ready(Err(io::Error::from_raw_os_error(self.errno as i32)));
        }
        read
    }
}

impl AsyncWrite for FailingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.operation == Operation::Write && !std::mem::replace(&mut self.written, true) {
            return Poll::Ready(Err(io::Error::from_raw_os_error(self.errno as i32)));
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// After a failed read or write the stream is closed with only complete events applied, so that an incomplete event
/// is subscribed to again.
#[test]
fn complete_events_survive_a_failed_read_or_write() {
    run_local(async {
        for &errno in TRANSFER_ERRORS {
            let router = router_with_workers(&[SocketAddr::from(([127, 0, 0, 1], 1))]);
            let (ours, mut theirs) = tokio::io::duplex(4 << 10);
            let sent = event(2, "left") + &event(3, "active")[..30];
            theirs.write_all(sent.as_bytes()).await.unwrap();
            let reads = FailingStream { stream: ours, operation: Operation::Read, errno, written: false };
            let Err(reason) = read_events(&router, reads).await;
            let StreamEnd::ReadFailed(error) = reason else { panic!("{errno:?}: {reason}") };
            assert_eq!(error.raw_os_error(), Some(errno as i32));
            assert_eq!(router.borrow().discovery.last_event, 2, "{errno:?}");
            assert_eq!(router.borrow().dispatcher.workers().len(), 0, "{errno:?}");

            let (ours, mut theirs) = tokio::io::duplex(4 << 10);
            theirs.shutdown().await.unwrap();
            let writes = FailingStream { stream: ours, operation: Operation::Write, errno, written: false };
            let Err(reason) = read_events(&router, writes).await;
            // An interrupted write is retried.
            match reason {
                StreamEnd::Closed if errno == Errno::EINTR => {}
                StreamEnd::SubscribeFailed(error) if errno != Errno::EINTR => {
                    assert_eq!(error.raw_os_error(), Some(errno as i32));
                }
                other => panic!("{errno:?}: {other}"),
            }
            assert_eq!(router.borrow().discovery.last_event, 2, "{errno:?}");
        }
    });
}

/// A stream on which every write is interrupted.
struct InterruptedStream {
    stream: DuplexStream,
    writes: Rc<Cell<usize>>,
}

impl AsyncRead for InterruptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, to)
    }
}

impl AsyncWrite for InterruptedStream {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        self.writes.set(self.writes.get() + 1);
        assert!(self.writes.get() < 1000, "interrupted writes are retried without a pause");
        Poll::Ready(Err(io::ErrorKind::Interrupted.into()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A subscription whose writes are all interrupted is retried with pauses, a bounded number of times, and then fails.
/// It used to be retried immediately and without limit, which blocked all other tasks.
#[test]
fn subscription_that_is_always_interrupted_times_out() {
    run_local(async {
        tokio::time::pause();
        let router = router_with_workers(&[]);
        let (ours, _theirs) = tokio::io::duplex(4 << 10);
        let writes = Rc::new(Cell::new(0));
        let begun = Instant::now();
        let stream = InterruptedStream { stream: ours, writes: writes.clone() };
        let Err(reason) = read_events(&router, stream).await;
        assert!(matches!(reason, StreamEnd::SubscribeTimeout), "{reason}");
        assert!((2..=10).contains(&writes.get()), "{}", writes.get());
        assert!(begun.elapsed() <= CONNECT_TIMEOUT + Duration::from_millis(1));
    });
}
