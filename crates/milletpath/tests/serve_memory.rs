//! Memory of `milletpath serve` while clients misuse it.

use milletpath_test_support::serve_rig::{Client, Gateway, OK, Worker};
use std::time::Duration;

/// Limit of the configuration on all buffered bodies, and on each of them, in bytes.
const HELD: usize = 8 << 20;
const LIMITS: &str = "cores = 2\nlimits {\nheld = 8388608\nbody = 1048576\nanswer = 1048576\n}\n";

/// Memory beside the bodies that a gateway with a few connections may take, in bytes.
const OTHER_MEMORY: usize = 8 << 20;

/// Time for which the worker holds a request, so that bodies are in memory together.
const WORKER_DELAY: Duration = Duration::from_secs(1);

/// Chunks of one byte that each client sends.
const CHUNKS: usize = 400_000;

/// Regression test: each chunk of a body took a reservation of its own, many times its length, so that a few clients that
/// sent their bodies byte by byte took memory far beyond the limit.
#[test]
fn bodies_in_tiny_chunks_take_no_more_memory_than_their_limit() {
    const CLIENTS: usize = 6;
    let worker = Worker::start(OK, WORKER_DELAY);
    let gateway = Gateway::start(worker.address, LIMITS);
    let address = gateway.address;
    let before = gateway.process.peak_memory();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = Client::connect(address).expect("the gateway listens");
                let head = "POST /v1/functions/greet/activations HTTP/1.1\r\nhost: g\r\ntransfer-encoding: chunked\r\n\r\n";
                client.write(head).expect("the gateway reads");
                client.write(&"1\r\nx\r\n".repeat(CHUNKS)).expect("the gateway reads");
                client.write("0\r\n\r\n").expect("the gateway reads");
                // Served, or rejected: by a worker at its limit, or because the body took too long.
                assert!(client.response().is_some(), "the client gets no response");
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("the client gets a response"));
    let peak = gateway.process.peak_memory() - before;
    assert!(peak <= HELD + OTHER_MEMORY, "{peak} bytes for bodies of {} bytes", CLIENTS * CHUNKS);
}
