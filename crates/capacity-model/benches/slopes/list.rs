//! One change of the worker list inside the desk: time in which nothing else is decided, and what ring and
//! figures of the fleet hold.

use crate::measure::{Asked, Slope, allocated, size, spent};
use milletpath_dispatcher::dispatcher::Dispatcher;
use milletpath_protocol::registry::{EndpointEntry, EndpointStatus};
use std::net::{Ipv4Addr, SocketAddr};

pub const WORKERS: [usize; 5] = [300, 1_000, 3_000, 9_100, 30_000];

/// A worker of the list; its zone and region follow from its number.
pub fn entry(n: usize) -> EndpointEntry {
    EndpointEntry {
        name: format!("worker-{n:05}"),
        address: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + n as u32), 9_000)),
        started: None,
        size: 1.0,
        kind: String::new(),
        zone: format!("zone-{}", n % 10),
        cell: String::new(),
        state: EndpointStatus::Ready,
    }
}

pub fn entries(workers: usize) -> Vec<EndpointEntry> {
    (0..workers).map(entry).collect()
}

/// A desk as one of so many gateways; an idle instance is kept for so many seconds.
pub fn desk<T>(gateways: usize, keep: f64, more: &str) -> Dispatcher<T> {
    let profile = "profile \"p\" {\n  due = 1.1\n  cut_off = 3.3\n  effect = \"pure\"\n}\n";
    let functions = "functions {\n  lanes = 2\n  load = 0.4\n}\n";
    let workers = format!("workers {{\n  registry = \"127.0.0.1:1\"\n  keep = {keep}\n}}\n");
    let text = format!("seed = 7\ngateways = {gateways}\n{profile}{functions}{workers}{more}");
    Dispatcher::new(&milletpath_config::read(&text).unwrap_or_else(|m| panic!("a charter: {m:?}")), 0.0)
}

pub fn measure(asked: &Asked) {
    const REPEATS: usize = 9;
    let (mut joins, mut bytes) = (Vec::new(), Vec::new());
    for workers in WORKERS {
        let list = entries(workers);
        let before = allocated();
        let mut desk: Dispatcher<()> = desk(1_100, 60.0, "");
        desk.update_endpoints(0.0, true, &list);
        while desk.next_action().is_some() {}
        bytes.push(size(workers as f64, vec![(allocated() - before) / 1e6]));
        let times = (0..REPEATS).map(|n| {
            let one = [entry(workers + n)];
            let began = spent();
            desk.update_endpoints(1.0 + n as f64, false, &one);
            (spent() - began) * 1e3
        });
        joins.push(size(workers as f64, times.collect()));
    }
    let slope = Slope {
        name: "list-join",
        mechanism: "ring made anew at each change of the list (`Desk::list`, `Router::list_complete`)",
        figure: "one worker joins: time inside the desk",
        unit: "ms",
        axis: "workers",
        method: "thread clock; one entry, nine times in a row",
        fixed: &[("gateways", 1_100.0)],
        group: "list",
    };
    slope.write(asked, None, joins);
    Slope {
        name: "list-memory",
        figure: "list, ring and figures of the fleet",
        unit: "MB",
        method: "bytes by a counting allocator, after one whole list; once, as it does not vary",
        ..slope
    }
    .write(asked, None, bytes);
}
