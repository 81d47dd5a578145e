//! What whole fleets showed: the last lines of `milletpath scale --json`, one or several to a file, in
//! `docs/capacity/scale-*.json`. What a line does not tell was not measured.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// A figure over all gateways of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Spread {
    pub p50: Option<f64>,
    pub p99: Option<f64>,
    pub worst: Option<f64>,
    /// Of what gets known: gateways, times over, that never learnt it.
    pub never: Option<u64>,
}

impl Spread {
    /// Whether all of it is known, and within a bound.
    pub fn within(&self, bound: f64) -> bool {
        self.never.unwrap_or(0) == 0 && self.worst.or(self.p99).is_some_and(|late| late <= bound)
    }
}

/// What of the machine was in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
pub struct Machine {
    /// So much that figures are also the measure of a crowd.
    pub saturated: Option<bool>,
    /// Part of all cores, over the whole run.
    pub busy: Option<f64>,
    pub cores: Option<usize>,
}

/// One scale run.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Fleet {
    /// The file that it stands in.
    #[serde(default)]
    pub file: String,
    pub gateways: u64,
    pub seed: u64,
    /// Bounds that were broken, in whichever words.
    #[serde(default)]
    pub broken: Vec<serde_json::Value>,
    /// `cpu` as a part of a core, `memory_mb`, `bytes_in` and `bytes_out` a second.
    #[serde(default)]
    pub control: BTreeMap<String, Spread>,
    /// Of that, what following changes of configuration costs; and what a control machine spends.
    #[serde(default)]
    pub control_changes: BTreeMap<String, Spread>,
    #[serde(default)]
    pub control_machines: BTreeMap<String, Spread>,
    /// Seconds until a `death`, a `join`, a `change` is known to all.
    #[serde(default)]
    pub known: BTreeMap<String, Spread>,
    /// Plays that were left out.
    #[serde(default)]
    pub not_played: Vec<String>,
    #[serde(default)]
    pub machine: Machine,
    /// Which cores ran, where that is told.
    #[serde(default)]
    pub runs: Option<Vec<String>>,
}

impl Fleet {
    pub fn ran(&self, core: &str) -> bool {
        self.runs.as_ref().is_some_and(|runs| runs.iter().any(|r| r == core))
    }
}

/// Reads all scale runs of a folder, smallest fleets first; lines of progress are passed over.
pub fn read_all(folder: &Path) -> Result<Vec<Fleet>, String> {
    let place = folder.display();
    let files = std::fs::read_dir(folder)
        .map_err(|e| format!("{place}: can't be read: {e}; name a folder of runs"))?;
    let mut fleets = Vec::new();
    for file in files {
        let path = file.map_err(|e| format!("{place}: can't be read: {e}"))?.path();
        let name = path.file_name().map(|n| n.to_string_lossy().into_owned()).unwrap_or_default();
        if !name.starts_with("scale-") || !name.ends_with(".json") {
            continue;
        }
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("{}: can't be read: {e}", path.display()))?;
        let before = fleets.len();
        for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let at = || format!("{}:{}", path.display(), number + 1);
            let value: serde_json::Value =
                serde_json::from_str(line).map_err(|e| format!("{}: {e}; one JSON value a line", at()))?;
            let has = |key: &str| value.get(key).is_some();
            if has("gateways") && has("seed") && (has("control") || has("known")) {
                let fleet: Fleet = serde_json::from_value(value).map_err(|e| format!("{}: {e}", at()))?;
                fleets.push(Fleet { file: name.clone(), ..fleet });
            }
        }
        if fleets.len() == before {
            return Err(format!(
                "{}: no line of it is a scale run's last; write it by milletpath scale --json",
                path.display()
            ));
        }
    }
    fleets.sort_by(|a, b| (a.gateways, &a.file, a.seed).cmp(&(b.gateways, &b.file, b.seed)));
    Ok(fleets)
}
