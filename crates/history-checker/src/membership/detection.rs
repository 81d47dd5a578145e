//! How long gateways took to detect a change.

use serde::Serialize;

/// Whether a gateway detected a change, and after how many seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Detection {
    After(f64),
    Never,
}

/// Seconds until a change was detected, over all gateways that should have detected it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DetectionTimes {
    /// The median; `None` if no gateway detected the change.
    pub p50: Option<f64>,
    /// The 99th percentile.
    pub p99: Option<f64>,
    /// The number of gateways that detected the change.
    #[serde(rename = "learnt")]
    pub detected: usize,
    /// The number of gateways that ran until the end of the history without detecting the change.
    #[serde(rename = "never")]
    pub missed: usize,
}

impl DetectionTimes {
    pub(super) fn from_detections(detections: Vec<Detection>) -> Self {
        let mut seconds: Vec<f64> = detections.iter().filter_map(Detection::seconds).collect();
        seconds.sort_by(f64::total_cmp);
        let quantile = |q: f64| {
            let index = (q * seconds.len().saturating_sub(1) as f64).round() as usize;
            seconds.get(index).copied()
        };
        Self {
            p50: quantile(0.5),
            p99: quantile(0.99),
            detected: seconds.len(),
            missed: detections.len() - seconds.len(),
        }
    }
}

impl Detection {
    fn seconds(&self) -> Option<f64> {
        match self {
            Self::After(seconds) => Some(*seconds),
            Self::Never => None,
        }
    }
}
