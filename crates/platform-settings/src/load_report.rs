//! Load reports of workers: which values they hold, and what each of them means.

use crate::lookup::value_at;
use milletpath_policy::LoadReport;
use serde_json::Value;

/// The names of the values in a load report, in their order; empty where workers report nothing.
#[must_use]
pub fn load_report_names(settings: &Value) -> Vec<String> {
    value_at(settings, "/Telemetry/Names").unwrap_or_default()
}

/// Puts one value of a load report where it belongs. One that is not finite, or of an unknown name, is left out.
pub fn set_report_value(report: &mut LoadReport, name: &str, value: f64) {
    let value = Some(value).filter(|x| x.is_finite());
    match name {
        "rif" => report.in_flight = value,
        "q" => report.queued = value,
        "busy" => report.utilization = value,
        "x0" => report.memory = value,
        "x1" => report.loading = value,
        _ => {}
    }
}
