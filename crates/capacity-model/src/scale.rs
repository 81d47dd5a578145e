//! Results of scale tests, which run a whole fleet: the last lines of `milletpath scale --json`, one or several to a
//! file, in `docs/capacity/scale-*.json`. What a line does not hold was not measured.

use crate::error::CapacityError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

const FILE_PREFIX: &str = "scale-";
const FILE_SUFFIX: &str = ".json";

/// A quantity over all gateways of a fleet, in the unit of its key.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Distribution {
    /// Median.
    pub p50: Option<f64>,
    /// 99th percentile.
    pub p99: Option<f64>,
    /// Largest value.
    pub worst: Option<f64>,
    /// For the propagation of an event: how many times a gateway never learned of it.
    pub never: Option<u64>,
}

impl Distribution {
    /// Whether every gateway learned of the event, the last one within `bound` seconds.
    pub fn reached_all_within(&self, bound: f64) -> bool {
        self.never.unwrap_or(0) == 0 && self.worst.or(self.p99).is_some_and(|worst| worst <= bound)
    }
}

/// The load on the machine that ran the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
pub struct MachineLoad {
    /// Whether the machine was so busy that contention is part of the measured values.
    pub saturated: Option<bool>,
    /// Used fraction of all cores over the whole run.
    pub busy: Option<f64>,
    /// Cores of the machine.
    pub cores: Option<usize>,
}

/// The result of one scale test.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ScaleRun {
    /// Name of the file that holds the result.
    #[serde(default)]
    pub file: String,
    /// Gateways of the fleet.
    pub gateways: u64,
    /// Seed of the run's random numbers.
    pub seed: u64,
    /// Violated bounds, each a description.
    #[serde(default)]
    pub broken: Vec<serde_json::Value>,
    /// Control cost of a gateway: `cpu` as a fraction of a core, `memory_mb`, `bytes_in` and `bytes_out` per second.
    #[serde(default)]
    pub control: BTreeMap<String, Distribution>,
    /// The part of it that following configuration changes costs.
    #[serde(default)]
    pub control_changes: BTreeMap<String, Distribution>,
    /// Cost of a control machine, by the same keys.
    #[serde(default)]
    pub control_machines: BTreeMap<String, Distribution>,
    /// Seconds until all gateways know of a `death`, a `join`, a `change`.
    #[serde(default)]
    pub known: BTreeMap<String, Distribution>,
    /// Steps of the plan that were left out.
    #[serde(default)]
    pub not_played: Vec<String>,
    /// Load on the machine.
    #[serde(default)]
    pub machine: MachineLoad,
    /// Mechanisms that were enabled, if the result names them.
    #[serde(default)]
    pub runs: Option<Vec<String>>,
}

impl ScaleRun {
    /// Whether a mechanism was enabled.
    pub fn enabled(&self, mechanism: &str) -> bool {
        self.runs.as_ref().is_some_and(|runs| runs.iter().any(|run| run == mechanism))
    }

    /// Whether the machine is known to have been saturated.
    pub fn is_saturated(&self) -> bool {
        self.machine.saturated == Some(true)
    }

    /// Seconds until a configuration change was known to all, if it was measured.
    pub fn change_propagation(&self) -> Option<&Distribution> {
        self.known.get("change")
    }

    /// The name of the file without its extension.
    pub fn file_stem(&self) -> &str {
        self.file.trim_end_matches(FILE_SUFFIX)
    }
}

/// Reads all results of a folder, the smallest fleets first. Lines of progress are skipped.
///
/// # Errors
/// The folder or a file cannot be read, a line is not JSON, or a file holds no result.
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

/// Whether a line is a result, as against a line of progress.
fn is_result(value: &serde_json::Value) -> bool {
    let has = |key: &str| value.get(key).is_some();
    has("gateways") && has("seed") && (has("control") || has("known"))
}
