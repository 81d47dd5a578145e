//! Peers that keep a socket ready. Other tasks run all the same, whatever a socket holds.

use crate::platform_router::SharedRouter;
use crate::platform_router::tests::{ends, let_others_run, router_with_workers, submit_request};
use milletpath_test_support::worker_frames::{frame, response};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use test_case::test_case;

/// How often other tasks have to run.
const RUNS: usize = 50;
/// Cancels a call that has ended, which is no error.
const CANCEL: &[u8] = b"{\"jsonrpc\":\"2.0\",\"method\":\"giveUp\",\"params\":{\"id\":1}}\n";

/// Reads all that comes and sends the same bytes over and over until `stop` is set.
fn flood(mut stream: TcpStream, unit: &[u8], stop: &Arc<AtomicBool>) {
    let bytes = unit.repeat((64 << 10) / unit.len());
    let mut reader = stream.try_clone().unwrap();
    std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
    let stop = stop.clone();
    std::thread::spawn(move || while !stop.load(Ordering::Relaxed) && stream.write_all(&bytes).is_ok() {});
}

/// Accepts a client of the router.
async fn connect_client(router: &SharedRouter) -> (TcpStream, usize) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let mut state = router.borrow_mut();
    assert!(state.admit(stream));
    let slot = state.clients.iter().next().unwrap().0;
    (client, slot)
}

/// Guards against a client's task that goes on reading while its client sends without a pause: no other client was
/// served.
#[test_case(false; "its connection is open")]
#[test_case(true; "its connection is shut down and lingers")]
fn a_client_that_sends_without_a_pause_lets_other_tasks_run(is_shut_down: bool) {
    let stop = Arc::<AtomicBool>::default();
    let stopped = stop.clone();
    let ended = ends(move || async move {
        let router = router_with_workers(&[SocketAddr::from(([127, 0, 0, 1], 9))]);
        let (client, slot) = connect_client(&router).await;
        if is_shut_down {
            let now = router.borrow().now();
            router.borrow_mut().clients[slot].write_closed_at = Some(now);
        }
        flood(client, CANCEL, &stopped);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let_others_run(RUNS).await;
        assert!(router.borrow().clients.contains(slot));
    });
    stop.store(true, Ordering::Relaxed);
    assert!(ended);
}

/// Guards against the same on a connection to a worker.
#[test]
fn a_worker_that_sends_without_a_pause_lets_other_tasks_run() {
    let stop = Arc::<AtomicBool>::default();
    let stopped = stop.clone();
    let ended = ends(move || async move {
        let worker = TcpListener::bind("127.0.0.1:0").unwrap();
        let router = router_with_workers(&[worker.local_addr().unwrap()]);
        submit_request(&mut router.borrow_mut(), 7);
        router.borrow_mut().run_actions();
        let accepted = tokio::task::spawn_blocking(move || {
            let (mut stream, _) = worker.accept().unwrap();
            // The first byte of the attempt.
            stream.read_exact(&mut [0]).unwrap();
            stream
        });
        let stream = accepted.await.unwrap();
        // The response of a request that nobody waits for.
        flood(stream, &frame(response::DONE, 99, "", b"done"), &stopped);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let_others_run(RUNS).await;
        assert_eq!(router.borrow().worker_connections.len(), 1);
    });
    stop.store(true, Ordering::Relaxed);
    assert!(ended);
}

/// Guards against the same where the discovery service sends without a pause.
#[test]
fn discovery_that_sends_without_a_pause_lets_other_tasks_run() {
    let stop = Arc::<AtomicBool>::default();
    let stopped = stop.clone();
    let ended = ends(move || async move {
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let router = router_with_workers(&[]);
        let (_address, followed) = tokio::sync::watch::channel(discovery.local_addr().unwrap());
        tokio::task::spawn_local(crate::discovery_watch::watch_discovery(router.clone(), followed));
        let accepted = tokio::task::spawn_blocking(move || discovery.accept().unwrap().0);
        flood(accepted.await.unwrap(), b"1\n", &stopped);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let_others_run(RUNS).await;
        assert!(router.borrow().discovery.socket.is_some());
    });
    stop.store(true, Ordering::Relaxed);
    assert!(ended);
}
