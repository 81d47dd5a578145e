//! Results of scale tests, which run a whole fleet. They are the final lines printed by `milletpath scale --json`, one
//! or several per file, in `docs/capacity/scale-*.json`. A value that is absent from a line was not measured.

use crate::error::CapacityError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

const FILE_PREFIX: &str = "scale-";
const FILE_SUFFIX: &str = ".json";

/// The distribution of a quantity over the gateways of a fleet; its key determines the unit.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Distribution {
    /// Median.
    pub p50: Option<f64>,
    /// 99th percentile.
    pub p99: Option<f64>,
    /// Largest value.
    pub worst: Option<f64>,
    /// For the propagation of events: the number of times that a gateway never learned of an event.
    pub never: Option<u64>,
}

impl Distribution {
    /// Whether the event reached every gateway within `bound` seconds.
    pub fn reached_all_in(&self, bound: f64) -> bool {
        self.never.unwrap_or(0) == 0 && self.worst.or(self.p99).is_some_and(|worst| worst <= bound)
    }
}

/// The load on the machine that ran the scale test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
pub struct MachineLoad {
    /// Whether the machine was so busy that contention distorts the measured values.
    pub saturated: Option<bool>,
    /// Utilization of all cores over the whole run, as a fraction.
    pub busy: Option<f64>,
    /// Number of cores of the machine.
    pub cores: Option<usize>,
}

/// The result of one scale test.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ScaleRun {
    /// Name of the file that contains the result.
    #[serde(default)]
    pub file: String,
    /// Number of gateways in the fleet.
    pub gateways: u64,
    /// Seed of the run's random numbers.
    pub seed: u64,
    /// Descriptions of the violated bounds.
    #[serde(default)]
    pub broken: Vec<serde_json::Value>,
    /// Control cost of a gateway: `cpu` as a fraction of a core, `memory_mb`, `bytes_in` and `bytes_out` per second.
    #[serde(default)]
    pub control: BTreeMap<String, Distribution>,
    /// The part of the control cost that is spent on following configuration changes.
    #[serde(default)]
    pub control_changes: BTreeMap<String, Distribution>,
    /// Cost of a control machine, with the same keys.
    #[serde(default)]
    pub control_machines: BTreeMap<String, Distribution>,
    /// Seconds until gateways know of an event: a `death`, a `join` or a `change`.
    #[serde(default)]
    pub known: BTreeMap<String, Distribution>,
    /// Steps of the test plan that were skipped.
    #[serde(default)]
    pub not_played: Vec<String>,
    /// Load on the machine.
    #[serde(default)]
    pub machine: MachineLoad,
    /// The mechanisms that were enabled, if the result lists them.
    #[serde(default)]
    pub runs: Option<Vec<String>>,
}

impl ScaleRun {
    /// Whether a mechanism is known to have been enabled.
    pub fn enabled(&self, mechanism: &str) -> bool {
        self.runs.as_ref().is_some_and(|runs| runs.iter().any(|run| run == mechanism))
    }

    /// Whether the machine is known to have been saturated.
    pub fn is_saturated(&self) -> bool {
        self.machine.saturated == Some(true)
    }

    /// Seconds until a configuration change was known at the gateways, if it was measured.
    pub fn change_propagation(&self) -> Option<&Distribution> {
        self.known.get("change")
    }

    /// The name of the file without its extension.
    pub fn file_stem(&self) -> &str {
        self.file.trim_end_matches(FILE_SUFFIX)
    }
}

/// Reads all results in a folder, sorted by fleet size. Progress lines are skipped.
///
/// # Errors
/// The folder or a file cannot be read, a line is not JSON, a result is invalid, or a file contains no result.
pub fn read_all(folder: &Path) -> Result<Vec<ScaleRun>, CapacityError> {
    let entries = std::fs::read_dir(folder).map_err(|source| CapacityError::read_folder(folder, source))?;
    let mut scale_runs = Vec::new();
    for entry in entries {
        let path = entry.map_err(|source| CapacityError::read_file(folder, source))?.path();
        let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        if name.starts_with(FILE_PREFIX) && name.ends_with(FILE_SUFFIX) {
            scale_runs.extend(read_file(&path, &name)?);
        }
    }
    scale_runs.sort_by(|a, b| (a.gateways, &a.file, a.seed).cmp(&(b.gateways, &b.file, b.seed)));
    Ok(scale_runs)
}

/// Reads the results of one file.
fn read_file(path: &Path, name: &str) -> Result<Vec<ScaleRun>, CapacityError> {
    let text = std::fs::read_to_string(path).map_err(|source| CapacityError::read_file(path, source))?;
    let mut scale_runs = Vec::new();
    for (index, text) in text.lines().enumerate().filter(|(_, text)| !text.trim().is_empty()) {
        let line = index + 1;
        let value: serde_json::Value = serde_json::from_str(text)
            .map_err(|source| CapacityError::InvalidScaleLine { path: path.into(), line, source })?;
        if is_result(&value) {
            let run: ScaleRun = serde_json::from_value(value)
                .map_err(|source| CapacityError::InvalidScaleRun { path: path.into(), line, source })?;
            scale_runs.push(ScaleRun { file: name.to_owned(), ..run });
        }
    }
    if scale_runs.is_empty() {
        return Err(CapacityError::NoScaleRun { path: path.into() });
    }
    Ok(scale_runs)
}

/// Whether a line is a result rather than a progress line.
fn is_result(value: &serde_json::Value) -> bool {
    let has = |key: &str| value.get(key).is_some();
    has("gateways") && has("seed") && (has("control") || has("known"))
}
