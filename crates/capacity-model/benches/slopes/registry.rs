//! The worker list as it goes over the wire: bytes of one entry and of all, and what reading all costs.

use crate::list::{WORKERS, entries};
use crate::measure::{Asked, Slope, size, spent};
use milletpath_protocol::registry;

pub fn measure(asked: &Asked) {
    const REPEATS: usize = 7;
    let (mut whole, mut one, mut read) = (Vec::new(), Vec::new(), Vec::new());
    for workers in WORKERS {
        let list = entries(workers);
        let line = registry::write(1, true, &list);
        whole.push(size(workers as f64, vec![line.len() as f64 / 1e3]));
        let change = registry::write(2, false, &list[workers - 1..]);
        one.push(size(workers as f64, vec![change.len() as f64]));
        let times = (0..REPEATS).map(|_| {
            let began = spent();
            let known = registry::read(&line[..line.len() - 1]).expect("a line of the list");
            let took = (spent() - began) * 1e3;
            assert_eq!(known.endpoints.len(), workers);
            took
        });
        read.push(size(workers as f64, times.collect()));
    }
    let slope = Slope {
        name: "list-whole",
        mechanism: "list of workers as a stream of editions (`protocol::registry`)",
        figure: "the whole list, once",
        unit: "kB",
        axis: "workers",
        method: "bytes written; once, as it does not vary",
        fixed: &[],
        group: "registry",
    };
    slope.write(asked, None, whole);
    Slope { name: "list-entry", figure: "one entry that changes", unit: "bytes", ..slope }
        .write(asked, None, one);
    Slope {
        name: "list-read",
        figure: "the whole list is read",
        unit: "ms",
        method: "thread clock",
        ..slope
    }
    .write(asked, None, read);
}
