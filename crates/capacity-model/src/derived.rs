//! Slopes of what only whole fleets show: of scale runs in which changes of configuration ran without
//! membership, at four sizes or more, with a change a second while cost was measured.

use crate::run::{LEAST_SIZES, Run, Size};
use crate::scale::{Fleet, Spread};
use std::collections::BTreeMap;

/// What a slope is made of, and what it is called.
struct Of {
    name: &'static str,
    mechanism: &'static str,
    figure: &'static str,
    unit: &'static str,
    /// The spread of one fleet, in that unit.
    spread: fn(&Fleet) -> Option<[f64; 3]>,
    /// Which of p50, p99 and worst goes on to the size.
    taken: usize,
}

const FOLLOWED: &str = "a log of changes that each gateway follows (`crates/config-log`)";
const MACHINE: &str = "a replica of the log and its followers (`crates/config-log`)";

fn times(spread: Option<&Spread>, by: f64) -> Option<[f64; 3]> {
    let spread = spread?;
    Some([spread.p50? * by, spread.p99? * by, spread.worst? * by])
}

fn both(of: &BTreeMap<String, Spread>) -> Option<[f64; 3]> {
    let [read, sent] = ["bytes_in", "bytes_out"].map(|key| times(of.get(key), 1e-3));
    let (read, sent) = (read?, sent?);
    Some(std::array::from_fn(|n| read[n] + sent[n]))
}

const ALL: [Of; 6] = [
    Of {
        name: "changes-cpu",
        mechanism: FOLLOWED,
        figure: "CPU a second of one gateway that follows changes, one a second",
        unit: "ms",
        spread: |f| times(f.control_changes.get("cpu"), 1e3),
        taken: 1,
    },
    Of {
        name: "changes-bytes",
        mechanism: FOLLOWED,
        figure: "bytes a second of one gateway that follows changes, one a second, sent and heard",
        unit: "kB",
        spread: |f| both(&f.control_changes),
        taken: 1,
    },
    Of {
        name: "changes-known",
        mechanism: FOLLOWED,
        figure: "time until a change is in force at a gateway, over all plays",
        unit: "s",
        spread: |f| times(f.known.get("change"), 1.0),
        taken: 2,
    },
    Of {
        name: "control-cpu",
        mechanism: MACHINE,
        figure: "CPU a second of one of 7 control machines, a change a second",
        unit: "ms",
        spread: |f| times(f.control_machines.get("cpu"), 1e3),
        taken: 2,
    },
    Of {
        name: "control-bytes",
        mechanism: MACHINE,
        figure: "bytes a second of one of 7 control machines, a change a second, sent and heard",
        unit: "kB",
        spread: |f| both(&f.control_machines),
        taken: 2,
    },
    Of {
        name: "control-memory",
        mechanism: MACHINE,
        figure: "resident memory of one of 7 control machines, some 100 changes of 32 functions in all",
        unit: "MB",
        spread: |f| times(f.control_machines.get("memory_mb"), 1.0),
        taken: 2,
    },
];

/// The slopes that scale runs of four sizes or more give; none where there are fewer.
pub fn derived(fleets: &[Fleet]) -> Vec<Run> {
    let alone = |f: &&Fleet| f.ran("changes") && !f.ran("membership") && f.machine.saturated == Some(false);
    let fleets: Vec<&Fleet> = fleets.iter().filter(alone).collect();
    let run = |of: &Of| {
        let size = |f: &&Fleet| {
            let spread = (of.spread)(f)?;
            Some(Size {
                at: f.gateways as f64,
                and: None,
                value: spread[of.taken],
                low: spread[0],
                high: spread[2],
                repeats: f.gateways as usize,
            })
        };
        let sizes: Vec<Size> = fleets.iter().filter_map(size).collect();
        let first = fleets.first().filter(|_| sizes.len() >= LEAST_SIZES)?;
        let taken = ["the median", "the 99th in 100", "the worst"][of.taken];
        Some(Run {
            name: of.name.into(),
            mechanism: of.mechanism.into(),
            figure: of.figure.into(),
            unit: of.unit.into(),
            axis: "gateways".into(),
            second_axis: None,
            fixed: BTreeMap::from([("changes a second".into(), 1.0), ("control machines".into(), 7.0)]),
            method: format!(
                "from the scale runs of `plans/size-changes.hcl`, hollow gateways beside real ones; {taken}, \
                 in brackets median and worst"
            ),
            command: "milletpath scale plans/size-changes.hcl --gateways N --json, then milletpath capacity \
                      --derive"
                .into(),
            seed: first.seed,
            date: "as those".into(),
            cores: first.machine.cores.unwrap_or(0),
            sizes,
        })
    };
    ALL.iter().filter_map(run).collect()
}
