//! The desk along its other axes: functions, calls a second, gateways, instances, changes of the list a second. With
//! fewer workers than at the full size, so that it ends in minutes: how many is told with each run.

use crate::desk::{BYTES, CALL, Play, USUAL, at, of, play, sizes};
use crate::measure::{Asked, Slope, size};
use milletpath_capacity_model::run::Measurement;

/// As one of 1,100 gateways, among fewer workers.
const FEWER: Play = Play { workers: 1_000, ..USUAL };

pub fn functions(asked: &Asked) {
    let usual = Play { workers: 3_000, zipf: 1.1, ..USUAL };
    let all = [330usize, 1_000, 3_300, 10_000, 33_000].map(|n| (n as f64, Play { functions: n, ..usual }));
    let all = sizes(asked, all);
    let fixed = &[("gateways", 1_100.0), ("workers", 3_000.0), ("calls a second", 145.0), ("zipf", 1.1)];
    let call = Slope { name: "call-functions", axis: "functions", fixed, group: "desk-functions", ..CALL };
    call.write(asked, None, of(&all, |c| c.micros.clone()));
    let memory = Slope {
        name: "memory-functions",
        mechanism: "each function known keeps its walk over all workers (`Function::walk`)",
        figure: "memory of the desk, steady",
        unit: "MB",
        method: BYTES,
        ..call
    };
    memory.write(asked, None, of(&all, |c| c.megabytes.clone()));
    // What a function that is known holds: by those known and the workers, over two axes.
    let mut known: Vec<Measurement> = all
        .iter()
        .map(|(_, c)| Measurement {
            second_size: Some(3_000.0),
            ..size(at(&c.functions, 0.5), c.megabytes.clone())
        })
        .collect();
    for workers in [300usize, 1_000, 9_100] {
        let came = play(Play { workers, functions: 3_300, ..usual }, asked.seed);
        known.push(Measurement {
            second_size: Some(workers as f64),
            ..size(at(&came.functions, 0.5), came.megabytes)
        });
    }
    let fixed = &[("gateways", 1_100.0), ("calls a second", 145.0), ("zipf", 1.1)];
    Slope { name: "memory-known", axis: "functions known", fixed, ..memory }.write(
        asked,
        Some("workers"),
        known,
    );
}

pub fn calls(asked: &Asked) {
    let all = [15.0, 45.0, 145.0, 450.0, 1_450.0].map(|calls| (calls, Play { calls, ..FEWER }));
    let fixed = &[("gateways", 1_100.0), ("workers", 1_000.0), ("functions", 33_000.0), ("zipf", 1.6)];
    let axis = "calls a second at the gateway";
    let slope = Slope { name: "call-calls", axis, fixed, group: "desk-calls", ..CALL };
    slope.write(asked, None, of(&sizes(asked, all), |c| c.micros.clone()));
}

pub fn gateways(asked: &Asked) {
    let all = [1usize, 10, 100, 400, 1_100].map(|n| (n as f64, Play { gateways: n, ..FEWER }));
    let fixed = &[("workers", 1_000.0), ("functions", 33_000.0), ("calls a second", 145.0), ("zipf", 1.6)];
    let slope = Slope { name: "call-gateways", axis: "gateways", fixed, group: "desk-gateways", ..CALL };
    slope.write(asked, None, of(&sizes(asked, all), |c| c.micros.clone()));
}

/// What is the same along the last two axes.
const FIXED: &[(&str, f64)] = &[
    ("gateways", 1_100.0),
    ("workers", 1_000.0),
    ("functions", 33_000.0),
    ("calls a second", 145.0),
    ("zipf", 1.6),
];

pub fn instances(asked: &Asked) {
    let all = [10.0, 20.0, 40.0, 80.0, 160.0].map(|keep| (keep, Play { keep, ..FEWER }));
    let came = sizes(asked, all);
    let micros = came.iter().map(|(_, c)| size(c.instances, c.micros.clone())).collect();
    let slope = Slope {
        name: "call-instances",
        mechanism: "instances believed to stand are looked through one by one (`Function::standing`)",
        axis: "instances that the gateway believes to stand",
        fixed: FIXED,
        group: "desk-instances",
        ..CALL
    };
    slope.write(asked, None, micros);
}

pub fn changes(asked: &Asked) {
    let all = [0.1, 0.3, 1.0, 3.0, 10.0].map(|changes| (changes, Play { changes, ..FEWER }));
    let slope = Slope {
        name: "call-changes",
        mechanism: "after a change of the list every function's walk is made anew (`Router::walk`)",
        figure: "CPU a call, all its events and the changes themselves together",
        axis: "changes of the list a second",
        fixed: FIXED,
        group: "desk-changes",
        ..CALL
    };
    slope.write(asked, None, of(&sizes(asked, all), |c| c.micros.clone()));
}
