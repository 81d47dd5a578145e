//! Runs of quantities that can only be measured in a whole fleet, derived from scale tests. Used are the tests with
//! configuration changes and without membership, with one change per second while costs were measured. A run needs
//! results of at least [`MIN_SIZES`] fleet sizes.

use crate::error::CapacityError;
use crate::run::{MIN_SIZES, Measurement, Run};
use crate::scale::{self, Distribution, ScaleRun};
use std::collections::BTreeMap;
use std::path::Path;

const MILLISECONDS_PER_SECOND: f64 = 1e3;
const KILOBYTES_PER_BYTE: f64 = 1e-3;
const CONTROL_MACHINES: f64 = 7.0;

const FOLLOWER_MECHANISM: &str = "a log of changes that each gateway follows (`crates/config-log`)";
const REPLICA_MECHANISM: &str = "a replica of the log and its followers (`crates/config-log`)";

/// The statistic of a distribution that becomes the value of a derived run.
#[derive(Clone, Copy)]
enum Statistic {
    P99,
    Worst,
}

impl Statistic {
    fn of(self, values: &Percentiles) -> f64 {
        match self {
            Self::P99 => values.p99,
            Self::Worst => values.worst,
        }
    }

    /// The name of the statistic in the method text of a derived run.
    fn label(self) -> &'static str {
        match self {
            Self::P99 => "the 99th in 100",
            Self::Worst => "the worst",
        }
    }
}

/// The percentiles of a distribution, all of them measured, in the unit of a derived run.
struct Percentiles {
    p50: f64,
    p99: f64,
    worst: f64,
}

impl Percentiles {
    fn scaled(distribution: Option<&Distribution>, factor: f64) -> Option<Self> {
        let distribution = distribution?;
        Some(Self {
            p50: distribution.p50? * factor,
            p99: distribution.p99? * factor,
            worst: distribution.worst? * factor,
        })
    }

    /// Sum of the bytes sent and received, in kB.
    fn traffic(costs: &BTreeMap<String, Distribution>) -> Option<Self> {
        let received = Self::scaled(costs.get("bytes_in"), KILOBYTES_PER_BYTE)?;
        let sent = Self::scaled(costs.get("bytes_out"), KILOBYTES_PER_BYTE)?;
        Some(Self {
            p50: received.p50 + sent.p50,
            p99: received.p99 + sent.p99,
            worst: received.worst + sent.worst,
        })
    }

    fn cpu_milliseconds(costs: &BTreeMap<String, Distribution>) -> Option<Self> {
        Self::scaled(costs.get("cpu"), MILLISECONDS_PER_SECOND)
    }
}

/// How one run is derived from scale tests. The texts are stored in the file of the run.
struct Derivation {
    name: &'static str,
    mechanism: &'static str,
    quantity: &'static str,
    unit: &'static str,
    percentiles: fn(&ScaleRun) -> Option<Percentiles>,
    statistic: Statistic,
}

const DERIVATIONS: [Derivation; 6] = [
    Derivation {
        name: "changes-cpu",
        mechanism: FOLLOWER_MECHANISM,
        quantity: "CPU a second of one gateway that follows changes, one a second",
        unit: "ms",
        percentiles: |run| Percentiles::cpu_milliseconds(&run.control_changes),
        statistic: Statistic::P99,
    },
    Derivation {
        name: "changes-bytes",
        mechanism: FOLLOWER_MECHANISM,
        quantity: "bytes a second of one gateway that follows changes, one a second, sent and heard",
        unit: "kB",
        percentiles: |run| Percentiles::traffic(&run.control_changes),
        statistic: Statistic::P99,
    },
    Derivation {
        name: "changes-known",
        mechanism: FOLLOWER_MECHANISM,
        quantity: "time until a change is in force at a gateway, over all plays",
        unit: "s",
        percentiles: |run| Percentiles::scaled(run.change_propagation(), 1.0),
        statistic: Statistic::Worst,
    },
    Derivation {
        name: "control-cpu",
        mechanism: REPLICA_MECHANISM,
        quantity: "CPU a second of one of 7 control machines, a change a second",
        unit: "ms",
        percentiles: |run| Percentiles::cpu_milliseconds(&run.control_machines),
        statistic: Statistic::Worst,
    },
    Derivation {
        name: "control-bytes",
        mechanism: REPLICA_MECHANISM,
        quantity: "bytes a second of one of 7 control machines, a change a second, sent and heard",
        unit: "kB",
        percentiles: |run| Percentiles::traffic(&run.control_machines),
        statistic: Statistic::Worst,
    },
    Derivation {
        name: "control-memory",
        mechanism: REPLICA_MECHANISM,
        quantity: "resident memory of one of 7 control machines, some 100 changes of 32 functions in all",
        unit: "MB",
        percentiles: |run| Percentiles::scaled(run.control_machines.get("memory_mb"), 1.0),
        statistic: Statistic::Worst,
    },
];

impl Derivation {
    fn measurement(&self, scale_run: &ScaleRun) -> Option<Measurement> {
        let values = (self.percentiles)(scale_run)?;
        Some(Measurement {
            size: scale_run.gateways as f64,
            second_size: None,
            median: self.statistic.of(&values),
            min: values.p50,
            max: values.worst,
            repeats: scale_run.gateways as usize,
        })
    }

    /// The run with one measurement per fleet; `None` if too few fleet sizes were measured.
    fn run(&self, scale_runs: &[&ScaleRun]) -> Option<Run> {
        let measurements: Vec<Measurement> =
            scale_runs.iter().filter_map(|scale_run| self.measurement(scale_run)).collect();
        let first = scale_runs.first().filter(|_| measurements.len() >= MIN_SIZES)?;
        let method = format!(
            "from the scale runs of `plans/size-changes.hcl`, hollow gateways beside real ones; {}, in \
             brackets median and worst",
            self.statistic.label()
        );
        let command = "milletpath scale plans/size-changes.hcl --gateways N --json, then milletpath capacity \
                       --derive";
        Some(Run {
            name: self.name.into(),
            mechanism: self.mechanism.into(),
            quantity: self.quantity.into(),
            unit: self.unit.into(),
            axis: "gateways".into(),
            second_axis: None,
            fixed: BTreeMap::from([
                ("changes a second".into(), 1.0),
                ("control machines".into(), CONTROL_MACHINES),
            ]),
            method,
            command: command.into(),
            seed: first.seed,
            date: "as those".into(),
            cores: first.machine.cores.unwrap_or(0),
            measurements,
        })
    }
}

/// Derives all runs that the scale tests provide enough data for. Results from a saturated machine are ignored, and a
/// run with fewer than [`MIN_SIZES`] fleet sizes is omitted.
pub fn derive_runs(scale_runs: &[ScaleRun]) -> Vec<Run> {
    let is_suitable = |run: &&ScaleRun| {
        run.enabled("changes") && !run.enabled("membership") && run.machine.saturated == Some(false)
    };
    let suitable: Vec<&ScaleRun> = scale_runs.iter().filter(is_suitable).collect();
    DERIVATIONS.iter().filter_map(|derivation| derivation.run(&suitable)).collect()
}

/// Derives runs from the scale tests in a folder and writes them to the same folder.
///
/// # Errors
/// A scale test cannot be read, or a derived run cannot be written.
pub fn write_derived_runs(folder: &Path) -> Result<(), CapacityError> {
    for run in derive_runs(&scale::read_all(folder)?) {
        let path = folder.join(format!("{}.json", run.name));
        let text = serde_json::to_string_pretty(&run)
            .map_err(|source| CapacityError::Encode { path: path.clone(), source })?;
        std::fs::write(&path, text + "\n")
            .map_err(|source| CapacityError::WriteFile { path: path.clone(), source })?;
    }
    Ok(())
}
