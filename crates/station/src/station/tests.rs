use super::*;

/// Runs a story on one thread, as the router does.
pub fn with(story: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(tokio::task::LocalSet::new().run_until(story));
}

/// A router alone that knows such workers, all warm.
pub fn listed(workers: &[SocketAddr]) -> Shared {
    let member = |(n, at): (usize, &SocketAddr)| {
        format!(r#"{{"id":"w{n}","host_port":"{at}","locality":"z","flavor":"k","phase":"active","size":1}}"#)
    };
    let members: Vec<_> = workers.iter().enumerate().map(member).collect();
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","seed":"05","bulletin":"127.0.0.1:1",
        "known":{{"no":1,"items":[{{"no":1,"roster":{{"complete":true,"members":[{}]}}}}]}},
        "settings":{{"Balancers":1,"Classes":[{{"Name":"p","Effect":"free","Objective":400000,"HardLimit":3000000}}],
        "Limits":{{"MaxAttempts":4,"Cancelling":true,"ConnectTimeout":250000,"Keepalive":30000000,"StreamsPerConn":32}},
        "FamilyInfo":{{"MissMode":"load","KeepAlive":5000000}},"Tick":1000,
        "Rules":{{"DrainGrace":1,"StartCapacity":0.2,"WarmUp":1,"TipMultiple":2.5,"OverloadFor":1}}}}}}"#,
        members.join(",")
    );
    Station::new(&told::read(text.as_bytes()).expect("sound"))
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
