//! The encoded endpoint list: the size of one entry and of the complete list, and the time to decode the list.

use crate::endpoint_list::{WORKER_COUNTS, endpoints};
use crate::measure::{
    BYTES_PER_KILOBYTE, MILLISECONDS_PER_SECOND, Options, RunDescription, measurement, timed,
};
use milletpath_protocol::registry;

pub fn measure(options: &Options) {
    let (mut complete, mut single, mut reading) = (Vec::new(), Vec::new(), Vec::new());
    for workers in WORKER_COUNTS {
        let size = workers as f64;
        let list = endpoints(workers);
        let encoded = registry::write(1, true, &list);
        complete.push(measurement(size, vec![encoded.len() as f64 / BYTES_PER_KILOBYTE]));
        let change = registry::write(2, false, &list[workers - 1..]);
        single.push(measurement(size, vec![change.len() as f64]));
        reading.push(measurement(size, reading_times(&encoded[..encoded.len() - 1], workers)));
    }
    let description = RunDescription {
        name: "list-whole",
        mechanism: "list of workers as a stream of editions (`protocol::registry`)",
        quantity: "the whole list, once",
        unit: "kB",
        axis: "workers",
        method: "bytes written; once, as it does not vary",
        fixed: &[],
        group: "registry",
    };
    description.write(options, complete);
    RunDescription { name: "list-entry", quantity: "one entry that changes", unit: "bytes", ..description }
        .write(options, single);
    RunDescription {
        name: "list-read",
        quantity: "the whole list is read",
        unit: "ms",
        method: "thread clock",
        ..description
    }
    .write(options, reading);
}

/// Decodes an encoded list several times and returns the time of each decoding in milliseconds.
fn reading_times(encoded: &[u8], workers: usize) -> Vec<f64> {
    const REPEATS: usize = 7;
    let read = |_| {
        let (seconds, revision) = timed(|| registry::read(encoded).expect("the encoded list is valid"));
        assert_eq!(revision.endpoints.len(), workers);
        seconds * MILLISECONDS_PER_SECOND
    };
    (0..REPEATS).map(read).collect()
}
