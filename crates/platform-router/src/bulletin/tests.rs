use super::*;
use crate::station::tests::{listed, with};
use test_case::test_case;
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
