//! What the size is: the figures that were asked for, and what is assumed beside them. Read from
//! `docs/capacity/assumptions.json`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// The size that is asked for, and what a gateway is granted for control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Asked {
    pub gateways: f64,
    pub instances: f64,
    pub functions: f64,
    pub calls_a_second: f64,
    pub cold_start_s: f64,
    pub regions: f64,
    pub zones: f64,
    pub changes_a_day: f64,
    pub change_in_force_s: f64,
    pub restarts_a_day: f64,
    pub cpu_percent: f64,
    pub memory_mb: f64,
    pub kb_a_second: f64,
    pub control_machines: f64,
}

/// One figure that nobody stated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    pub value: f64,
    pub unit: String,
    pub what: String,
    pub why: String,
}

/// Names of what must be assumed: whatever stands in the file beside them is a slip.
const NAMES: [&str; 14] = [
    "change_bytes",
    "connections_at_worker",
    "decisions_percent",
    "instances_a_worker",
    "keep_s",
    "lanes",
    "lease_s",
    "list_changes_a_restart",
    "load_s",
    "region_share",
    "stall_ms",
    "storm_percent",
    "usage_age_s",
    "zipf",
];

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumed {
    pub asked: Asked,
    pub assumed: BTreeMap<String, Assumption>,
}

impl Assumed {
    /// Reads the file; the error names it and what to do.
    pub fn read(path: &Path) -> Result<Self, String> {
        let place = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{place}: can't be read: {e}"))?;
        let read: Self = serde_json::from_str(&text).map_err(|e| format!("{place}: {e}"))?;
        if let Some(name) = NAMES.iter().find(|name| !read.assumed.contains_key(**name)) {
            return Err(format!("{place}: {name} is missing; add it to assumed"));
        }
        if let Some(name) = read.assumed.keys().find(|name| !NAMES.contains(&name.as_str())) {
            return Err(format!("{place}: {name} is assumed, but nothing goes by it; take it out"));
        }
        let wrong = read.assumed.iter().find(|(_, a)| !(a.value.is_finite() && a.value > 0.0));
        match wrong {
            Some((name, _)) => Err(format!("{place}: {name} is no figure above 0")),
            None => Ok(read),
        }
    }

    /// An assumption's figure. All that there are were found when the file was read.
    pub fn get(&self, name: &str) -> f64 {
        self.assumed.get(name).map_or(f64::NAN, |a| a.value)
    }

    /// The same with one figure multiplied.
    pub fn with(&self, name: &str, times: f64) -> Self {
        let mut other = self.clone();
        other.assumed.get_mut(name).into_iter().for_each(|a| a.value *= times);
        other
    }

    pub fn workers(&self) -> f64 {
        self.asked.instances / self.get("instances_a_worker")
    }

    /// Calls a second at a gateway of the busiest region.
    pub fn calls_at_gateway(&self) -> f64 {
        self.asked.calls_a_second * self.get("region_share") * self.asked.regions / self.asked.gateways
    }

    /// Changes of the worker list a second, on an ordinary day.
    pub fn list_changes(&self) -> f64 {
        const DAY: f64 = 86_400.0;
        self.asked.restarts_a_day * self.get("list_changes_a_restart") / DAY
    }

    /// The same while a zone's workers come back within a minute.
    pub fn list_changes_of_a_zone(&self) -> f64 {
        const MINUTE: f64 = 60.0;
        self.workers() / self.asked.zones / MINUTE
    }
}
