//! Events of the discovery service that are larger than what the router applies in one turn.

use milletpath_test_support::platform_rig::{
    Client, DONE, DiscoveryStreams, MAX_SOCKETS, Router, RouterConfiguration, ScriptedWorker, call_line,
    partial_list_event,
};
use milletpath_test_support::worker_frames::{request, response};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Entries of an event that is several times as long as what one turn applies.
const ENTRIES: usize = 3200;

/// How long the router is paused: longer than a check of the discovery socket counts.
const PAUSE: Duration = Duration::from_millis(50);

/// An event by which workers leave that the router never knew.
fn event_without_effect(number: u64, address: SocketAddr) -> String {
    let names: Vec<_> = (0..ENTRIES).map(|n| format!("gone{n}")).collect();
    let entries: Vec<_> = names.iter().map(|name| (name.as_str(), address, "left")).collect();
    partial_list_event(number, &entries)
}

/// Writes as much as the sockets hold, and returns the rest.
fn fill_sockets<'b>(stream: &mut TcpStream, mut bytes: &'b [u8]) -> &'b [u8] {
    stream.set_nonblocking(true).expect("the socket is open");
    while !bytes.is_empty()
        && let Ok(length) = stream.write(bytes)
    {
        bytes = &bytes[length..];
    }
    stream.set_nonblocking(false).expect("the socket is open");
    bytes
}

/// Guards against a worker connection's task that never gave way while an event was unread: the router stopped for good.
#[test]
fn a_call_that_waits_for_a_large_event_is_answered() {
    let worker = ScriptedWorker::start();
    let discovery = DiscoveryStreams::start();
    let configuration = RouterConfiguration::new(&[worker.address], discovery.address, MAX_SOCKETS)
        .with("PlacementCalls", false)
        .with("ConnectTimeout", 2_000_000);
    let router = Router::with_configuration(&configuration);
    let mut stream = discovery.next_stream();
    router.wait_for_current_list();
    let mut client = Client::connect(&router);
    client.send(&call_line(1, 1));
    let mut connection = worker.accept();
    assert!(connection.next_frame(request::ATTEMPT).is_some());
    let event = event_without_effect(2, worker.address);
    router.process.while_paused(|| {
        client.send(&call_line(2, 2));
        let rest = fill_sockets(&mut stream, event.as_bytes()).to_vec();
        // Ends by itself if the router stops reading, as the process is killed with the test.
        std::thread::spawn(move || stream.write_all(&rest));
        connection.respond(response::DONE, 1);
        std::thread::sleep(PAUSE);
    });
    let attempt = connection
        .next_frame(request::ATTEMPT)
        .unwrap_or_else(|| panic!("the second call is not sent; {}", router.log()));
    connection.respond(response::DONE, attempt.id);
    let answers = [client.receive(), client.receive()];
    assert!(answers.iter().all(|answer| answer.contains(DONE)), "{answers:?}");
}
