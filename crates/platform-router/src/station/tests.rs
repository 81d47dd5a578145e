use super::*;
use milletpath_dispatcher::dispatcher::{AttemptResult, FunctionResources, IncomingRequest};
use milletpath_policy::Outcome;
use test_case::test_case;

/// Runs a story on one thread, as the router does.
pub fn with(story: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(tokio::task::LocalSet::new().run_until(story));
}

/// A router alone that knows such workers, all warm.
pub fn listed(workers: &[SocketAddr]) -> Shared {
    listed_for("free", 250_000, workers)
}

/// The same, for calls of such an effect, and with so many microseconds for a connection to be made.
pub fn listed_for(effect: &str, connect: u64, workers: &[SocketAddr]) -> Shared {
    let member = |(n, at): (usize, &SocketAddr)| {
        format!(r#"{{"id":"w{n}","host_port":"{at}","locality":"z","flavor":"k","phase":"active","size":1}}"#)
    };
    let members: Vec<_> = workers.iter().enumerate().map(member).collect();
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","seed":"05","bulletin":"127.0.0.1:1",
        "known":{{"no":1,"items":[{{"no":1,"roster":{{"complete":true,"members":[{}]}}}}]}},
        "settings":{{"Balancers":1,"Classes":[{{"Name":"p","Effect":"{effect}","Objective":400000,"HardLimit":3000000}}],
        "Limits":{{"MaxAttempts":4,"Cancelling":true,"ConnectTimeout":{connect},"Keepalive":30000000,"StreamsPerConn":32}},
        "FamilyInfo":{{"MissMode":"load","KeepAlive":5000000}},"Tick":1000,
        "Rules":{{"DrainGrace":1,"StartCapacity":0.2,"WarmUp":1,"TipMultiple":2.5,"OverloadFor":1}}}}}}"#,
        members.join(",")
    );
    Station::new(&bootstrap::read(text.as_bytes()).expect("sound"))
}

/// A connection was closed in the same turn in which its socket had become readable. The room to read into went
/// with it, and every socket read after that looked closed.
#[test]
fn a_socket_that_is_gone_takes_no_room_along() {
    let station = listed(&[]);
    let mut station = station.borrow_mut();
    station.client_reads(7);
    station.link_reads(7);
    assert_eq!(station.scratch.len(), TURN);
}

/// A call of a client who waits for two seconds and of whom nothing more is known.
pub fn arrive(s: &mut Station, id: u64) -> RequestId {
    let come = IncomingRequest {
        function: "00000000000000ff",
        profile: 0,
        client: 0,
        timeout: 2.0,
        is_retry: false,
        resources: Some(FunctionResources { lanes: 64.0, memory: 1.0, load_time: None }),
    };
    let (now, body, mark, holds) = (s.now(), vec![1; 64], String::new(), s.room.holds(64));
    let asker = Asker {
        client: (999, 0),
        number: id,
        id,
        profile: 0,
        mark,
        body,
        _holds: holds,
        came: now,
        begun: now,
        at: Vec::new(),
    };
    s.desk.submit(now, come, asker).expect("there is room")
}

/// A call is answered, or nobody ever does: its client has the final answer in its own time, and once nothing
/// is in hand nothing is due any more. What wakes an idle router then is the look at its connections and the
/// bulletin's heartbeat.
#[test_case(true; "answered")]
#[test_case(false; "by nobody")]
fn a_router_that_nobody_calls_any_more_is_woken_for_nothing(answered: bool) {
    let station = listed(&[SocketAddr::from(([127, 0, 0, 1], 9))]);
    let mut s = station.borrow_mut();
    let begun = s.now();
    let tag = arrive(&mut s, 7);
    assert!(s.desk.begin_attempt(begun, tag, 0));
    if answered {
        assert!(s.desk.attempt_ended(begun + 0.1, tag, 0, AttemptResult::from_outcome(Outcome::Succeeded)));
    }
    let (mut turns, mut ended) = (0, begun);
    while let Some(next) = s.desk.next_deadline() {
        turns += 1;
        // Twice as often as it looks at what is open.
        assert!(turns < 1000, "still woken at {next}");
        if s.desk.open_requests() > 0 {
            ended = next;
        }
        s.desk.advance(next);
        while let Some(act) = s.desk.next_action() {
            assert!(!matches!(act, Action::HealthCheck { .. } | Action::LoadFunction { .. }));
        }
    }
    assert_eq!(s.desk.open_requests(), 0);
    // The door takes this off what a client says that it waits, for the module's look at what is open and the way back.
    assert!(ended - begun < 2.0 + crate::door::MARGIN, "{ended}");
}
