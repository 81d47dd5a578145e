//! How long gateways took to notice something.

use serde::Serialize;

/// Whether one gateway noticed something, and after how many seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Detection {
    After(f64),
    Never,
}

/// Seconds until something was noticed, over all gateways that it concerned.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct DetectionTimes {
    /// The median; none where nobody noticed it.
    pub p50: Option<f64>,
    /// 99 in 100 noticed it by then.
    pub p99: Option<f64>,
    /// How many noticed it.
    #[serde(rename = "learnt")]
    pub detected: usize,
    /// How many ran until the history's end and had not noticed it.
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
