//! Load reports as ORCA header fields: `endpoint-load-metrics: TEXT cpu_utilization=0.3, named_metrics.held=2`
//! or `JSON {...}` (Envoy's ORCA load report, its header form). The binary form is not supported.

use crate::InputError;
use http::header::HeaderName;

/// The header field of a load report.
pub static HEADER: HeaderName = HeaderName::from_static("endpoint-load-metrics");
/// Utilization of the cores, 0 to 1.
pub const CPU_UTILIZATION: &str = "cpu_utilization";
/// The fraction of memory that can't be freed.
pub const MEMORY_UTILIZATION: &str = "mem_utilization";
/// Requests that the worker has accepted and not answered.
pub const IN_FLIGHT: &str = "named_metrics.held";
/// Requests among them that wait in a queue.
pub const QUEUED: &str = "named_metrics.waiting";
/// Loads of functions in progress or queued.
pub const LOADING: &str = "named_metrics.loading";

/// Figures that one report may have; a report with more is invalid.
const MAX_FIGURES: usize = 64;

/// Passes each figure of a report to `take`, nested names joined by a point. Figures that are not finite, or negative, make
/// the report invalid.
pub fn read(text: &str, mut take: impl FnMut(&str, f64)) -> Result<(), InputError> {
    let text = text.trim();
    let (form, rest) = text.split_once(' ').unwrap_or((text, ""));
    match form {
        "TEXT" => {
            for (n, pair) in rest.split(',').map(str::trim).filter(|p| !p.is_empty()).enumerate() {
                let (name, value) = pair
                    .split_once('=')
                    .ok_or_else(|| InputError::new(HEADER.as_str(), "a pair without ="))?;
                figure(n, name.trim(), value.trim().parse().ok(), &mut take)?;
            }
            Ok(())
        }
        "JSON" => {
            let value: serde_json::Value = serde_json::from_str(rest)
                .map_err(|e| InputError::new(HEADER.as_str(), format!("no JSON: {e}")))?;
            let object = value.as_object().ok_or_else(|| InputError::new(HEADER.as_str(), "no object"))?;
            let mut n = 0;
            for (name, value) in object {
                if let Some(inner) = value.as_object() {
                    for (under, value) in inner {
                        figure(n, &format!("{name}.{under}"), value.as_f64(), &mut take)?;
                        n += 1;
                    }
                } else {
                    figure(n, name, value.as_f64(), &mut take)?;
                    n += 1;
                }
            }
            Ok(())
        }
        _ => Err(InputError::new(HEADER.as_str(), "neither TEXT nor JSON")),
    }
}

fn figure(
    n: usize,
    name: &str,
    value: Option<f64>,
    take: &mut impl FnMut(&str, f64),
) -> Result<(), InputError> {
    if n >= MAX_FIGURES {
        return Err(InputError::new(HEADER.as_str(), format!("over {MAX_FIGURES} figures")));
    }
    match value.filter(|x| x.is_finite() && *x >= 0.0) {
        Some(value) => take(name, value),
        None => return Err(InputError::new(HEADER.as_str(), "a figure that is none, or negative")),
    }
    Ok(())
}

/// Writes a report in its text form.
pub fn write<'n>(figures: impl IntoIterator<Item = (&'n str, f64)>) -> String {
    let mut text = String::from("TEXT ");
    for (n, (name, value)) in figures.into_iter().enumerate() {
        if n > 0 {
            text.push_str(", ");
        }
        text.push_str(&format!("{name}={value}"));
    }
    text
}
