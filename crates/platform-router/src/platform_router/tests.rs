use super::*;
use crate::client_connections::RESPONSE_MARGIN;
use milletpath_dispatcher::dispatcher::{
    Action, AttemptResult, FunctionResources, IncomingRequest, RequestId,
};
use milletpath_platform_protocol::bootstrap;
use milletpath_policy::Outcome;
use milletpath_test_support::wait::TIMEOUT;
use std::net::SocketAddr;
use test_case::test_case;

/// Runs a scenario on a single thread, as the router does.
pub fn run_local(scenario: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("building the runtime failed");
    runtime.block_on(tokio::task::LocalSet::new().run_until(scenario));
}

/// Runs a scenario as [`run_local`] does, and returns whether it ends. A task that never gives way keeps it from ending.
pub fn ends<F: Future<Output = ()>>(scenario: impl FnOnce() -> F + Send + 'static) -> bool {
    let (sender, ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        run_local(scenario());
        let _ = sender.send(());
    });
    ended.recv_timeout(TIMEOUT).is_ok()
}

/// Lets all other tasks run this many times.
pub async fn let_others_run(times: usize) {
    for _ in 0..times {
        tokio::task::yield_now().await;
    }
}

/// Creates a router without tasks that knows these workers, none of which is in slow start.
pub fn router_with_workers(workers: &[SocketAddr]) -> SharedRouter {
    router_with_effect("free", 250_000, workers)
}

/// The same for calls with the given effect, and with a connect timeout of `connect_us` microseconds.
pub fn router_with_effect(effect: &str, connect_us: u64, workers: &[SocketAddr]) -> SharedRouter {
    let member = |(n, at): (usize, &SocketAddr)| {
        format!(r#"{{"id":"w{n}","host_port":"{at}","locality":"z","flavor":"k","phase":"active","size":1}}"#)
    };
    let members: Vec<_> = workers.iter().enumerate().map(member).collect();
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","seed":"05","bulletin":"127.0.0.1:1",
        "known":{{"no":1,"items":[{{"no":1,"roster":{{"complete":true,"members":[{}]}}}}]}},
        "settings":{{"Balancers":1,"Classes":[{{"Name":"p","Effect":"{effect}","Objective":400000,"HardLimit":3000000}}],
        "Limits":{{"MaxAttempts":4,"Cancelling":true,"ConnectTimeout":{connect_us},"Keepalive":30000000,"StreamsPerConn":32}},
        "FamilyInfo":{{"MissMode":"load","KeepAlive":5000000}},"Tick":1000,
        "Rules":{{"DrainGrace":1,"StartCapacity":0.2,"WarmUp":1,"TipMultiple":2.5,"OverloadFor":1}}}}}}"#,
        members.join(",")
    );
    let mut bootstrap = bootstrap::read(text.as_bytes()).expect("the bootstrap file is valid");
    // These routers have no discovery feed, so the list must not become stale.
    bootstrap.config.policy.list_valid_for = f64::INFINITY;
    PlatformRouter::new(&bootstrap)
}

/// A connection that is closed while a read event for its socket is pending used to lose the shared read buffer, so
/// that every socket read afterwards looked closed.
#[test]
fn closed_socket_keeps_the_read_buffer() {
    let router = router_with_workers(&[]);
    let mut router = router.borrow_mut();
    router.on_client_readable(7);
    router.on_worker_readable(7);
    assert_eq!(router.read_buffer.len(), READ_SIZE);
}

/// Submits a call with a timeout of two seconds whose client is no longer connected.
pub fn submit_request(state: &mut PlatformRouter, id: u64) -> RequestId {
    let incoming = IncomingRequest {
        function: "00000000000000ff",
        profile: 0,
        client: 0,
        timeout: 2.0,
        is_retry: false,
        resources: Some(FunctionResources { lanes: 64.0, memory: 1.0, load_time: None }),
    };
    let (now, body, idempotency_key, reservation) =
        (state.now(), vec![1; 64], String::new(), state.memory_budget.reserve(64));
    let context = RequestContext {
        client: ClientKey { slot: 999, serial: 0 },
        number: id,
        id,
        profile: 0,
        idempotency_key,
        body,
        _reservation: reservation,
        response_reservation: None,
        received_at: now,
        last_attempt_at: now,
        worker_connections: Vec::new(),
    };
    state.dispatcher.submit(now, incoming, context).expect("the dispatcher has room")
}

/// Whether a call is answered or no worker ever answers, the client gets its final response in time, and without open
/// requests the dispatcher has no deadline. An idle router is then woken only by its periodic cleanup and by
/// discovery heartbeats.
#[test_case(true; "answered")]
#[test_case(false; "unanswered")]
fn idle_router_sets_no_timer(answered: bool) {
    let router = router_with_workers(&[SocketAddr::from(([127, 0, 0, 1], 9))]);
    let mut state = router.borrow_mut();
    let started_at = state.now();
    let request = submit_request(&mut state, 7);
    assert!(state.dispatcher.begin_attempt(started_at, request, 0));
    if answered {
        assert!(state.dispatcher.attempt_ended(
            started_at + 0.1,
            request,
            0,
            AttemptResult::from_outcome(Outcome::Succeeded)
        ));
    }
    let (mut wakeups, mut ended) = (0, started_at);
    while let Some(next) = state.dispatcher.next_deadline() {
        wakeups += 1;
        // Twice the rate at which the dispatcher checks open requests.
        assert!(wakeups < 1000, "still due at {next}");
        if state.dispatcher.open_requests() > 0 {
            ended = next;
        }
        state.dispatcher.advance(next);
        while let Some(action) = state.dispatcher.next_action() {
            assert!(!matches!(action, Action::HealthCheck { .. } | Action::LoadFunction { .. }));
        }
    }
    assert_eq!(state.dispatcher.open_requests(), 0);
    // The margin, which is deducted from the client's timeout, covers the dispatcher's check interval and the way
    // back.
    assert!(ended - started_at < 2.0 + RESPONSE_MARGIN, "{ended}");
}
