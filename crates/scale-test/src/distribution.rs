//! Distribution of a value over many gateways: median, 99th percentile and maximum. Without measurements there is no
//! distribution.

use serde::Serialize;

/// Quantiles of a set of values.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Distribution {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub worst: f64,
}

impl Distribution {
    /// Computes quantiles by the nearest-rank method; `None` without values.
    #[must_use]
    pub fn of(mut figures: Vec<f64>) -> Option<Self> {
        figures.sort_by(f64::total_cmp);
        let quantile = |fraction: f64| {
            let rank = (fraction * figures.len() as f64).ceil() as usize;
            figures.get(rank.max(1) - 1).copied()
        };
        Some(Self { p50: quantile(0.5)?, p99: quantile(0.99)?, worst: *figures.last()? })
    }
}

/// How long an event took to become known, one sample for each observer that should learn of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConvergenceSamples {
    /// Seconds until each observer learned of it.
    pub seconds: Vec<f32>,
    /// Number of observers that never learned of it.
    pub never: usize,
}

/// Summary of convergence samples for reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ConvergenceSummary {
    /// Distribution over the observers that learned of it; `None` if none did.
    #[serde(flatten)]
    pub distribution: Option<Distribution>,
    /// Number of observers that learned of it.
    #[serde(rename = "learnt")]
    pub converged: usize,
    /// Number of observers that never learned of it.
    pub never: usize,
}

impl ConvergenceSamples {
    /// Merges several sets of samples into one.
    #[must_use]
    pub fn merged<'a>(all: impl Iterator<Item = &'a Self>) -> Self {
        let mut merged = Self::default();
        for samples in all {
            merged.seconds.extend(&samples.seconds);
            merged.never += samples.never;
        }
        merged
    }

    /// Summarizes the samples; `None` if there are none.
    #[must_use]
    pub fn summary(&self) -> Option<ConvergenceSummary> {
        let distribution = Distribution::of(self.seconds.iter().copied().map(f64::from).collect());
        let (converged, never) = (self.seconds.len(), self.never);
        (converged + never > 0).then_some(ConvergenceSummary { distribution, converged, never })
    }
}
