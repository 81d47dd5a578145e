//! Load reports in the header form of Envoy's ORCA load reports. The field `endpoint-load-metrics` holds either
//! `TEXT cpu_utilization=0.3, named_metrics.held=2` or `JSON {...}`. The binary form is not supported.

use crate::InputError;
use http::header::HeaderName;

/// The header field that contains a load report.
pub static HEADER: HeaderName = HeaderName::from_static("endpoint-load-metrics");
/// CPU utilization, from 0 to 1.
pub const CPU_UTILIZATION: &str = "cpu_utilization";
/// Fraction of memory that cannot be freed.
pub const MEMORY_UTILIZATION: &str = "mem_utilization";
/// Number of requests that the worker has accepted and not yet responded to.
pub const IN_FLIGHT: &str = "named_metrics.held";
/// Number of in-flight requests that wait in a queue.
pub const QUEUED: &str = "named_metrics.waiting";
/// Number of function loads in progress or queued.
pub const LOADING: &str = "named_metrics.loading";

/// Maximum number of metrics in a report; a report with more is invalid.
const MAX_METRICS: usize = 64;

/// Parses a report and calls `on_metric` with the name and value of each metric. Nested names are joined with a dot. A
/// value that is negative or not finite makes the report invalid; metrics before it have been passed on by then.
pub fn read(text: &str, mut on_metric: impl FnMut(&str, f64)) -> Result<(), InputError> {
    let text = text.trim();
    let (form, rest) = text.split_once(' ').unwrap_or((text, ""));
    match form {
        "TEXT" => {
            for (n, pair) in rest.split(',').map(str::trim).filter(|p| !p.is_empty()).enumerate() {
                let (name, value) = pair
                    .split_once('=')
                    .ok_or_else(|| InputError::new(HEADER.as_str(), "a pair has no `=`"))?;
                visit_metric(n, name.trim(), value.trim().parse().ok(), &mut on_metric)?;
            }
            Ok(())
        }
        "JSON" => {
            let value: serde_json::Value = serde_json::from_str(rest)
                .map_err(|e| InputError::new(HEADER.as_str(), format!("invalid JSON: {e}")))?;
            let object = value
                .as_object()
                .ok_or_else(|| InputError::new(HEADER.as_str(), "the JSON value is not an object"))?;
            let mut n = 0;
            for (name, value) in object {
                if let Some(inner) = value.as_object() {
                    for (under, value) in inner {
                        visit_metric(n, &format!("{name}.{under}"), value.as_f64(), &mut on_metric)?;
                        n += 1;
                    }
                } else {
                    visit_metric(n, name, value.as_f64(), &mut on_metric)?;
                    n += 1;
                }
            }
            Ok(())
        }
        _ => Err(InputError::new(HEADER.as_str(), "the form is neither TEXT nor JSON")),
    }
}

fn visit_metric(
    n: usize,
    name: &str,
    value: Option<f64>,
    on_metric: &mut impl FnMut(&str, f64),
) -> Result<(), InputError> {
    if n >= MAX_METRICS {
        return Err(InputError::new(
            HEADER.as_str(),
            format!("the report has more than {MAX_METRICS} metrics"),
        ));
    }
    match value.filter(|x| x.is_finite() && *x >= 0.0) {
        Some(value) => on_metric(name, value),
        None => return Err(InputError::new(HEADER.as_str(), "a metric is not a finite number >= 0")),
    }
    Ok(())
}

/// Writes a report in its `TEXT` form.
pub fn write<'n>(metrics: impl IntoIterator<Item = (&'n str, f64)>) -> String {
    let mut text = String::from("TEXT ");
    for (n, (name, value)) in metrics.into_iter().enumerate() {
        if n > 0 {
            text.push_str(", ");
        }
        text.push_str(&format!("{name}={value}"));
    }
    text
}
