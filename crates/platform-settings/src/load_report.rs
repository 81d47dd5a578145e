//! Load reports from workers: which values they contain and what each value means.

use crate::lookup::value_at;
use milletpath_policy::LoadReport;
use serde_json::Value;

/// Returns the names of the values in a load report, in order; empty if workers send no reports.
#[must_use]
pub fn load_report_names(settings: &Value) -> Vec<String> {
    value_at(settings, "/Telemetry/Names").unwrap_or_default()
}

/// Sets the field of `report` for the value called `name`. A value that is not finite clears the field; an unknown name
/// is ignored.
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
