//! The status report of a control machine, sent by `milletpath control` and read by `milletpath changes`.

use milletpath_config_log::ReplicaView;
use serde::{Deserialize, Serialize};

/// The status report of a control machine for operators, in JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The view of its replica.
    #[serde(flatten)]
    pub view: ReplicaView,
    /// Seconds since its process started.
    #[serde(rename = "up")]
    pub uptime: f64,
    /// CPU time used by its thread, in seconds.
    #[serde(rename = "cpu")]
    pub cpu_seconds: f64,
    /// Size of its log file, in bytes.
    #[serde(rename = "log")]
    pub log_bytes: u64,
    /// Why the log file cannot be written at present, if so.
    #[serde(default)]
    pub log_error: Option<String>,
}
