use super::*;
use crate::faults::Operation;
use crate::sockets::tests::{BRIEF, CONNECT as CONNECT_ERRORS, Injected, LONG, Span, TRANSFER};
use crate::station::tests::{listed, with};
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

fn event(number: u64, phase: &str) -> String {
    let worker = format!(r#"{{"id":"w0","host_port":"127.0.0.1:1","phase":"{phase}"}}"#);
    format!(r#"{{"no":{number},"roster":{{"complete":false,"members":[{worker}]}}}}"#) + "\n"
}

/// A stream has stood for hours, with a heartbeat a second and an event every ten minutes, when it falls
/// silent: it is given up as soon as one that never spoke, with all that it had told.
#[test_case(""; "between two lines")]
#[test_case("{\"no\":"; "amid a line")]
fn a_bulletin_that_falls_silent_after_hours(rest: &'static str) {
    with(async move {
        tokio::time::pause();
        let station = listed(&[]);
        let (ours, mut theirs) = tokio::io::duplex(4 << 10);
        let heeded = spawn_local(async move {
            let mut last = 1;
            let why = heed(&station, ours, &mut last).await;
            (why, last, Instant::now())
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
        assert!(!heeded.is_finished());
        theirs.write_all(rest.as_bytes()).await.unwrap();
        let stops = Instant::now();
        let (why, heard, at) = heeded.await.unwrap();
        assert_eq!((why.as_str(), heard), ("it fell silent", last));
        assert!(at - stops <= SILENCE);
    });
}

/// What the old address has told lies unread when the file names another, which does not answer yet: it is
/// taken first. It was dropped with its stream, and a worker that was gone got shots until the new address
/// spoke.
#[test]
fn what_lies_unread_when_the_file_names_another_is_taken() {
    with(async {
        let [old, new] = [TcpListener::bind("127.0.0.1:0").await, TcpListener::bind("127.0.0.1:0").await];
        let [old, new] = [old.unwrap(), new.unwrap()];
        let station = listed(&[SocketAddr::from(([127, 0, 0, 1], 1))]);
        let (moved, address) = watch::channel(old.local_addr().unwrap());
        spawn_local(follow(station.clone(), address, 1));
        let (mut stream, _) = old.accept().await.unwrap();
        let mut asked = [0; 8];
        stream.read_exact(&mut asked).await.unwrap();
        assert_eq!(&asked, b"after 1\n");
        stream.writable().await.unwrap();
        // Nothing waits between the two: the router hears of both in one turn.
        stream.try_write(event(2, "left").as_bytes()).unwrap();
        moved.send(new.local_addr().unwrap()).unwrap();
        let (mut stream, _) = new.accept().await.unwrap();
        assert_eq!(station.borrow().desk.workers(), []);
        stream.read_exact(&mut asked).await.unwrap();
        assert_eq!(&asked, b"after 2\n");
    });
}

/// A worker joins after ten heartbeats without it, by a clock that was stepped: it is as old as its news at most. An hour
/// behind it counted as warm, an hour ahead as cold for an hour.
#[test_case(-3600.0; "an hour behind")]
#[test_case(-3.0; "three seconds behind")]
#[test_case(3.0; "three seconds ahead")]
#[test_case(3600.0; "an hour ahead")]
fn a_worker_joins_by_a_clock_that_was_stepped(step: f64) {
    with(async move {
        tokio::time::pause();
        let station = listed(&[]);
        let (ours, mut theirs) = tokio::io::duplex(4 << 10);
        let theirs_heeded = station.clone();
        spawn_local(async move { heed(&theirs_heeded, ours, &mut 1).await });
        for _ in 0..10 {
            theirs.write_all(b"1\n").await.unwrap();
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        let stamp = format!(r#""phase":"active","up_since_ms":{:.0}"#, (unix_time() + step) * 1e3);
        let event = event(2, "active").replace(r#""phase":"active""#, &stamp);
        theirs.write_all(event.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(1)).await;
        let s = station.borrow();
        let started = s.desk.started(0).expect("a start");
        assert!(
            (s.now() - 1.1..=s.now()).contains(&started),
            "started at {started:.1}, now it is {:.1}",
            s.now()
        );
    });
}
/// No connection to the bulletin can be made, for a reason of our own or another: it is asked again, with pauses, and
/// what it tells is heard once it can. Held before.
#[test_case(Span::Once; "once")]
#[test_case(BRIEF; "for 100 ms")]
#[test_case(LONG; "for 2 s")]
fn no_connection_to_the_bulletin_can_be_made(span: Span) {
    with(async move {
        let stories = CONNECT_ERRORS.iter().map(|&errno| spawn_local(asked_until_it_answers(errno, span)));
        for story in stories.collect::<Vec<_>>() {
            story.await.unwrap();
        }
    });
}

async fn asked_until_it_answers(errno: Errno, span: Span) {
    let sockets = Injected::new(Operation::Connect, errno, span, usize::MAX);
    sockets.armed.set(true);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let station = listed(&[SocketAddr::from(([127, 0, 0, 1], 1))]);
    station.borrow_mut().sockets = sockets.clone();
    let (_moved, address) = watch::channel(listener.local_addr().unwrap());
    spawn_local(follow(station.clone(), address, 1));
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.write_all(event(2, "left").as_bytes()).await.unwrap();
    while !station.borrow().desk.workers().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // Pauses of 50, 100, 200 and then 400 ms.
    let failures = sockets.failures.get();
    assert!((1..=8).contains(&failures), "{errno:?}: {failures}");
}

/// A stream of which the first write fails, or the read behind all that lies there.
struct Failing {
    stream: DuplexStream,
    operation: Operation,
    errno: Errno,
    written: bool,
}

impl AsyncRead for Failing {
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

impl AsyncWrite for Failing {
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

/// A read fails behind an event and half of another, or the question can't be written: the stream is given up with what
/// was told whole, so that the half event is asked for again. Held before.
#[test]
fn a_read_or_write_of_the_bulletin_fails() {
    with(async {
        for &errno in TRANSFER {
            let station = listed(&[SocketAddr::from(([127, 0, 0, 1], 1))]);
            let (ours, mut theirs) = tokio::io::duplex(4 << 10);
            let told = event(2, "left") + &event(3, "active")[..30];
            theirs.write_all(told.as_bytes()).await.unwrap();
            let mut last = 1;
            let reads = Failing { stream: ours, operation: Operation::Read, errno, written: false };
            let why = heed(&station, reads, &mut last).await;
            assert!(why.starts_with("it broke"), "{errno:?}: {why}");
            assert_eq!((last, station.borrow().desk.workers().len()), (2, 0), "{errno:?}");

            let (ours, mut theirs) = tokio::io::duplex(4 << 10);
            theirs.shutdown().await.unwrap();
            let writes = Failing { stream: ours, operation: Operation::Write, errno, written: false };
            let why = heed(&station, writes, &mut last).await;
            // Written again after an interruption.
            let told = if errno == Errno::EINTR { "it ended" } else { "it could not be asked" };
            assert!(why.starts_with(told), "{errno:?}: {why}");
            assert_eq!(last, 2, "{errno:?}");
        }
    });
}

/// A stream of which every write is interrupted.
struct Interrupted {
    stream: DuplexStream,
    writes: Rc<Cell<usize>>,
}

impl AsyncRead for Interrupted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, to)
    }
}

impl AsyncWrite for Interrupted {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, _: &[u8]) -> Poll<io::Result<usize>> {
        self.writes.set(self.writes.get() + 1);
        assert!(self.writes.get() < 1000, "it spins");
        Poll::Ready(Err(io::ErrorKind::Interrupted.into()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Each write of the request is interrupted: it is repeated with pauses, a bounded number of times, and the connection
/// given up. It was repeated at once and without end, and nothing else ran meanwhile.
#[test]
fn a_request_to_the_bulletin_that_is_always_interrupted() {
    with(async {
        tokio::time::pause();
        let station = listed(&[]);
        let (ours, _theirs) = tokio::io::duplex(4 << 10);
        let writes = Rc::new(Cell::new(0));
        let begun = Instant::now();
        let stream = Interrupted { stream: ours, writes: writes.clone() };
        let why = heed(&station, stream, &mut 1).await;
        assert_eq!(why, "it could not be asked in time");
        assert!((2..=10).contains(&writes.get()), "{}", writes.get());
        assert!(begun.elapsed() <= CONNECT + Duration::from_millis(1));
    });
}
