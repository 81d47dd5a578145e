//! The status report of a control machine, which `milletpath control` writes and `milletpath changes` reads.

use milletpath_config_log::ReplicaView;
use serde::{Deserialize, Serialize};

/// The status report of a control machine for operators, in JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlStatus {
    /// What its replica knows.
    #[serde(flatten)]
    pub view: ReplicaView,
    /// Seconds since its process started.
    #[serde(rename = "up")]
    pub uptime: f64,
    /// CPU seconds of its thread.
    #[serde(rename = "cpu")]
    pub cpu_seconds: f64,
    /// Size of its log file, in bytes.
    #[serde(rename = "log")]
    pub log_bytes: u64,
    /// Why the log file can't be written at present.
    #[serde(default)]
    pub log_error: Option<String>,
}
