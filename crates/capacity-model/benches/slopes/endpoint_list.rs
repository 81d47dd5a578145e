//! An update of the endpoint list in the dispatcher: the time for which it blocks routing decisions, and the memory
//! of the hash ring and of the state of the workers.

use crate::measure::{
    BYTES_PER_MEGABYTE, MILLISECONDS_PER_SECOND, Options, RunDescription, allocated_bytes, measurement, timed,
};
use milletpath_capacity_model::run::Measurement;
use milletpath_dispatcher::dispatcher::Dispatcher;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::net::{Ipv4Addr, SocketAddr};

/// Measured numbers of workers.
pub const WORKER_COUNTS: [usize; 5] = [300, 1_000, 3_000, 9_100, 30_000];

/// Number of gateways and idle timeout in runs in which they are fixed.
pub const GATEWAYS: usize = 1_100;
pub const IDLE_TIMEOUT_SECONDS: f64 = 60.0;

const ZONES: usize = 10;
const FIRST_ADDRESS: u32 = 0x0a00_0000;

/// The entry of a ready worker with the given number.
pub fn endpoint(number: usize) -> EndpointEntry {
    EndpointEntry {
        name: format!("worker-{number:05}"),
        address: SocketAddr::from((Ipv4Addr::from(FIRST_ADDRESS + number as u32), 9_000)),
        started: None,
        size: 1.0,
        kind: String::new(),
        zone: format!("zone-{}", number % ZONES),
        cell: String::new(),
        state: EndpointStatus::Ready,
    }
}

pub fn endpoints(workers: usize) -> Vec<EndpointEntry> {
    (0..workers).map(endpoint).collect()
}

/// Creates the dispatcher of one gateway of a fleet. `idle_timeout` is in seconds; `extra_config` is appended to the
/// configuration.
pub fn dispatcher<T>(gateways: usize, idle_timeout: f64, extra_config: &str) -> Dispatcher<T> {
    let profile = "profile \"p\" {\n  due = 1.1\n  cut_off = 3.3\n  effect = \"pure\"\n}\n";
    let functions = "functions {\n  lanes = 2\n  load = 0.4\n}\n";
    let workers = format!("workers {{\n  registry = \"127.0.0.1:1\"\n  keep = {idle_timeout}\n}}\n");
    let text = format!("seed = 7\ngateways = {gateways}\n{profile}{functions}{workers}{extra_config}");
    let mut config =
        milletpath_config::read(&text).unwrap_or_else(|errors| panic!("configuration: {errors:?}"));
    // No service confirms the list here, so it must not expire. It changes only by explicit updates.
    config.policy.list_valid_for = f64::INFINITY;
    Dispatcher::new(&config, 0.0)
}

pub fn measure(options: &Options) {
    let (memory, joins) = WORKER_COUNTS.into_iter().map(measure_size).unzip();
    let description = RunDescription {
        name: "list-join",
        mechanism: "hash ring that applies each change (`Dispatcher::update_endpoints`, `Router::end_list`)",
        quantity: "one worker joins: time inside the dispatcher",
        unit: "ms",
        axis: "workers",
        method: "thread clock; one entry, nine times in a row",
        fixed: &[("gateways", 1_100.0)],
        group: "list",
    };
    description.write(options, joins);
    RunDescription {
        name: "list-memory",
        quantity: "list, ring and figures of the fleet",
        unit: "MB",
        method: "bytes by a counting allocator, after one whole list; once, as it does not vary",
        ..description
    }
    .write(options, memory);
}

/// Measures the memory of a complete list in MB, and the time in ms that the dispatcher takes to add one worker.
fn measure_size(workers: usize) -> (Measurement, Measurement) {
    const REPEATS: usize = 9;
    let list = endpoints(workers);
    let before = allocated_bytes();
    let mut dispatcher: Dispatcher<()> = dispatcher(GATEWAYS, IDLE_TIMEOUT_SECONDS, "");
    dispatcher.update_endpoints(0.0, true, &list);
    while dispatcher.next_action().is_some() {}
    let megabytes = (allocated_bytes() - before) / BYTES_PER_MEGABYTE;
    let join = |n: usize| {
        let joined = [endpoint(workers + n)];
        let (seconds, ()) = timed(|| dispatcher.update_endpoints(1.0 + n as f64, false, &joined));
        seconds * MILLISECONDS_PER_SECOND
    };
    let joins = (0..REPEATS).map(join).collect();
    (measurement(workers as f64, vec![megabytes]), measurement(workers as f64, joins))
}
