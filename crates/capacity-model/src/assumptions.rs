//! The target size of the fleet, the resources that a gateway may spend on control, and the parameters that the users'
//! request leaves open and that are therefore assumed. Read from `docs/capacity/assumptions.json`.

use crate::error::CapacityError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

const SECONDS_PER_DAY: f64 = 86_400.0;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// The required size of the fleet, its service levels, and the resources that one gateway may spend on control. Source:
/// the users' request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Number of gateways in the fleet.
    pub gateways: f64,
    /// Number of function instances on all workers.
    pub instances: f64,
    /// Number of distinct functions.
    pub functions: f64,
    /// Calls per second in the whole fleet.
    #[serde(rename = "calls_a_second")]
    pub calls_per_second: f64,
    /// Upper bound on the 99th percentile of the cold start time, in seconds.
    #[serde(rename = "cold_start_s")]
    pub cold_start_seconds: f64,
    /// Number of regions in which gateways and workers run.
    pub regions: f64,
    /// Number of availability zones in all regions together.
    pub zones: f64,
    /// Configuration changes per day.
    #[serde(rename = "changes_a_day")]
    pub config_changes_per_day: f64,
    /// Upper bound on the time until a configuration change is in force at every gateway, in seconds.
    #[serde(rename = "change_in_force_s")]
    pub config_propagation_seconds: f64,
    /// Workers restarted or replaced per day.
    #[serde(rename = "restarts_a_day")]
    pub worker_restarts_per_day: f64,
    /// CPU that a gateway may spend on control, in percent of one core.
    pub cpu_percent: f64,
    /// Memory that a gateway may spend on control, in MB.
    #[serde(rename = "memory_mb")]
    pub memory_megabytes: f64,
    /// Control traffic that a gateway may send and receive in total, in kB per second.
    #[serde(rename = "kb_a_second")]
    pub kilobytes_per_second: f64,
    /// Number of machines that replicate the log of configuration changes.
    pub control_machines: f64,
}

/// The value of an assumed parameter, with the reason for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// The value, in [`Assumption::unit`].
    pub value: f64,
    /// The unit as printed on the page.
    pub unit: String,
    /// Meaning of the parameter.
    #[serde(rename = "what")]
    pub description: String,
    /// Why this value was chosen.
    #[serde(rename = "why")]
    pub reason: String,
}

/// The assumed parameters. The assumptions file must contain exactly these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parameter {
    /// Encoded size of one configuration change, in bytes.
    ConfigChangeBytes,
    /// Concurrent connections that a worker accepts.
    WorkerConnections,
    /// CPU that a gateway may spend on routing decisions, in percent of one core.
    DecisionCpuPercent,
    /// Instances that one worker runs.
    InstancesPerWorker,
    /// Idle time after which an instance is evicted, in seconds.
    IdleTimeoutSeconds,
    /// Calls that an instance runs concurrently.
    ConcurrentCallsPerInstance,
    /// Duration of the membership lease, in seconds.
    LeaseSeconds,
    /// Endpoint list updates per worker restart.
    ListUpdatesPerRestart,
    /// 99th percentile of the time that a worker takes to load a function, in seconds.
    LoadSeconds,
    /// Fraction of all calls that the busiest region receives.
    BusiestRegionFraction,
    /// Maximum time for which one event may block a core, in milliseconds.
    StallMilliseconds,
    /// CPU that a gateway may spend on control while the fleet starts or recovers, in percent of one core.
    RecoveryCpuPercent,
    /// Maximum age of a usage report, in seconds.
    UsageAgeSeconds,
    /// Exponent of the Zipf distribution of calls over functions.
    ZipfExponent,
}

impl Parameter {
    /// All parameters, sorted by key.
    pub const ALL: [Self; 14] = [
        Self::ConfigChangeBytes,
        Self::WorkerConnections,
        Self::DecisionCpuPercent,
        Self::InstancesPerWorker,
        Self::IdleTimeoutSeconds,
        Self::ConcurrentCallsPerInstance,
        Self::LeaseSeconds,
        Self::ListUpdatesPerRestart,
        Self::LoadSeconds,
        Self::BusiestRegionFraction,
        Self::StallMilliseconds,
        Self::RecoveryCpuPercent,
        Self::UsageAgeSeconds,
        Self::ZipfExponent,
    ];

    /// The key of the parameter in the assumptions file.
    pub fn key(self) -> &'static str {
        match self {
            Self::ConfigChangeBytes => "change_bytes",
            Self::WorkerConnections => "connections_at_worker",
            Self::DecisionCpuPercent => "decisions_percent",
            Self::InstancesPerWorker => "instances_a_worker",
            Self::IdleTimeoutSeconds => "keep_s",
            Self::ConcurrentCallsPerInstance => "lanes",
            Self::LeaseSeconds => "lease_s",
            Self::ListUpdatesPerRestart => "list_changes_a_restart",
            Self::LoadSeconds => "load_s",
            Self::BusiestRegionFraction => "region_share",
            Self::StallMilliseconds => "stall_ms",
            Self::RecoveryCpuPercent => "storm_percent",
            Self::UsageAgeSeconds => "usage_age_s",
            Self::ZipfExponent => "zipf",
        }
    }
}

/// The target size together with the assumed parameters: the content of the assumptions file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumptions {
    /// The target size of the fleet.
    #[serde(rename = "asked")]
    pub target: Target,
    /// The assumed parameters, keyed by [`Parameter::key`].
    #[serde(rename = "assumed")]
    pub parameters: BTreeMap<String, Assumption>,
}

impl Assumptions {
    /// Reads and validates the file.
    ///
    /// # Errors
    /// The file cannot be read or has an invalid format; a parameter is missing, unknown, or not a positive number.
    pub fn read(path: &Path) -> Result<Self, CapacityError> {
        let text = std::fs::read_to_string(path).map_err(|source| CapacityError::read_file(path, source))?;
        let assumptions: Self = serde_json::from_str(&text)
            .map_err(|source| CapacityError::InvalidAssumptions { path: path.into(), source })?;
        assumptions.validate(path)?;
        Ok(assumptions)
    }

    fn validate(&self, path: &Path) -> Result<(), CapacityError> {
        let missing = Parameter::ALL.iter().find(|parameter| !self.parameters.contains_key(parameter.key()));
        if let Some(parameter) = missing {
            return Err(CapacityError::MissingParameter { path: path.into(), key: parameter.key() });
        }
        let is_known = |key: &str| Parameter::ALL.iter().any(|parameter| parameter.key() == key);
        if let Some(key) = self.parameters.keys().find(|key| !is_known(key)) {
            return Err(CapacityError::UnknownParameter { path: path.into(), key: key.clone() });
        }
        let is_positive = |assumption: &Assumption| assumption.value.is_finite() && assumption.value > 0.0;
        match self.parameters.iter().find(|(_, assumption)| !is_positive(assumption)) {
            Some((key, _)) => {
                Err(CapacityError::ParameterNotPositive { path: path.into(), key: key.clone() })
            }
            None => Ok(()),
        }
    }

    /// The value of a parameter. [`Assumptions::read`] ensures that all parameters are present.
    pub fn value(&self, parameter: Parameter) -> f64 {
        self.parameters.get(parameter.key()).map_or(f64::NAN, |assumption| assumption.value)
    }

    /// Returns a copy in which the parameter with the given key is multiplied by `factor`.
    pub fn with_scaled(&self, key: &str, factor: f64) -> Self {
        let mut scaled = self.clone();
        if let Some(assumption) = scaled.parameters.get_mut(key) {
            assumption.value *= factor;
        }
        scaled
    }

    /// Number of workers in the fleet.
    pub fn workers(&self) -> f64 {
        self.target.instances / self.value(Parameter::InstancesPerWorker)
    }

    /// Calls per second at a gateway of the busiest region.
    pub fn calls_per_second_at_gateway(&self) -> f64 {
        let target = &self.target;
        target.calls_per_second * self.value(Parameter::BusiestRegionFraction) * target.regions
            / target.gateways
    }

    /// Endpoint list updates per second at the usual rate of worker restarts.
    pub fn list_updates_per_second(&self) -> f64 {
        self.target.worker_restarts_per_day * self.value(Parameter::ListUpdatesPerRestart) / SECONDS_PER_DAY
    }

    /// Endpoint list updates per second while all workers of one zone rejoin within a minute.
    pub fn list_updates_per_second_in_zone_recovery(&self) -> f64 {
        self.workers() / self.target.zones / SECONDS_PER_MINUTE
    }
}
