//! One slope as it was measured: a figure of one mechanism at several sizes, with the command and the seed
//! that give it again. The bench `slopes` writes them, one file each; pages are made of nothing else.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Sizes that a slope has at the least: no line is drawn through fewer.
pub const LEAST_SIZES: usize = 4;

/// One measured size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    pub at: f64,
    /// Along the second axis, where there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub and: Option<f64>,
    /// The median of the repeats (of two the larger), the least and the most.
    pub value: f64,
    pub low: f64,
    pub high: f64,
    pub repeats: usize,
}

/// One slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Also the name of its file.
    pub name: String,
    pub mechanism: String,
    pub figure: String,
    pub unit: String,
    pub axis: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second_axis: Option<String>,
    /// What was the same at all sizes.
    pub fixed: BTreeMap<String, f64>,
    /// How it was measured, and what is in it beside the mechanism.
    pub method: String,
    pub command: String,
    pub seed: u64,
    pub date: String,
    /// Cores of the machine.
    pub cores: usize,
    pub sizes: Vec<Size>,
}

impl Run {
    /// What is wrong with it, if anything.
    fn check(&self) -> Result<(), String> {
        if self.sizes.len() < LEAST_SIZES {
            return Err(format!("has {} sizes; measure {LEAST_SIZES} or more", self.sizes.len()));
        }
        let sound = |s: &Size| {
            let figures = [s.at, s.value, s.low, s.high, s.and.unwrap_or(1.0)];
            figures.iter().all(|x| x.is_finite() && *x >= 0.0) && s.at > 0.0 && s.repeats > 0
        };
        match self.sizes.iter().position(|s| !sound(s)) {
            Some(n) => Err(format!(
                "sizes[{n}] has a figure that is none, or an axis of 0; measure it \
             anew"
            )),
            None if self.sizes.iter().any(|s| s.and.is_some() != self.second_axis.is_some()) => {
                Err("a size has no place on the second axis; give `and` for all sizes or none".into())
            }
            None => Ok(()),
        }
    }

    /// The largest measured place on the first axis.
    pub fn largest(&self) -> f64 {
        self.sizes.iter().map(|s| s.at).fold(0.0, f64::max)
    }
}

/// Reads one run; the error names the file and what to do.
pub fn read(path: &Path) -> Result<Run, String> {
    let place = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{place}: can't be read: {e}"))?;
    let run: Run =
        serde_json::from_str(&text).map_err(|e| format!("{place}: {e}; write it by the bench slopes"))?;
    run.check().map_err(|wrong| format!("{place}: {wrong}"))?;
    Ok(run)
}

/// Reads all runs of a folder, by name: every JSON file but the assumptions and those of the scale run.
pub fn read_all(folder: &Path) -> Result<BTreeMap<String, Run>, String> {
    let place = folder.display();
    let files = std::fs::read_dir(folder)
        .map_err(|e| format!("{place}: can't be read: {e}; name a folder of runs"))?;
    let mut runs = BTreeMap::new();
    for file in files {
        let path = file.map_err(|e| format!("{place}: can't be read: {e}"))?.path();
        let stem = path.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
        let is_run = path.extension().is_some_and(|e| e == "json")
            && stem != "assumptions"
            && !stem.starts_with("scale-");
        if !is_run {
            continue;
        }
        let run = read(&path)?;
        if run.name != stem {
            return Err(format!(
                "{}: its name is {}; name the file {}.json",
                path.display(),
                run.name,
                run.name
            ));
        }
        runs.insert(stem, run);
    }
    Ok(runs)
}
