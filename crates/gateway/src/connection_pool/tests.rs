use super::*;
use crate::connection_limit::ConnectionLimit;
use milletpath_multicore::watchdog::STALL_THRESHOLD;
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// If the thread stalls between the decision to send a request and its first byte, nothing is written and the permit
/// records the refusal. Without a stall the request is written.
#[test_case::test_case(2.0 * STALL_THRESHOLD, true; "stalled")]
#[test_case::test_case(0.0, false; "not stalled")]
fn a_request_decided_before_a_stall_is_not_written(stall: f64, refused: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(tokio::task::LocalSet::new().run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = Endpoint { address: listener.local_addr().unwrap(), process: 1 };
        let limit = ConnectionLimit::new(1);
        let mut connection = connect(limit.reserve().unwrap(), endpoint, Duration::ZERO).await.unwrap();
        assert!(limit.reserve().is_none());
        let (mut stream, _) = listener.accept().await.unwrap();
        connection.sender.ready().await.unwrap();
        connection.write_permit.grant(Instant::now());
        let request = http::Request::get("/").body(Body::default()).unwrap();
        let sent = connection.sender.send_request(request);
        std::thread::sleep(Duration::from_secs_f64(stall));
        let sent = tokio::task::spawn_local(sent);
        let mut bytes = [0; 16];
        let read = stream.read(&mut bytes).await.unwrap();
        assert_eq!((read == 0, connection.write_permit.was_refused()), (refused, refused));
        drop(sent);
        drop(connection);
        assert!(limit.reserve().is_some());
    }));
}
