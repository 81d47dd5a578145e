//! How figures of many gateways are distributed: their median, their 99th percentile and the worst. Where nothing was
//! measured there is no distribution.

use serde::Serialize;

/// Three quantiles of many figures.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Distribution {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The highest figure.
    pub worst: f64,
}

impl Distribution {
    /// Quantiles by the nearest rank; none where there are no figures.
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

/// How long something took to be known, at each of those that should learn it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConvergenceSamples {
    /// Seconds, of each that learnt it.
    pub seconds: Vec<f32>,
    /// How many never learnt it.
    pub never: usize,
}

/// A summary of such times for reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ConvergenceSummary {
    /// Seconds, of those that learnt it; none where nobody did.
    #[serde(flatten)]
    pub distribution: Option<Distribution>,
    /// How many learnt it.
    #[serde(rename = "learnt")]
    pub converged: usize,
    /// How many never learnt it.
    pub never: usize,
}

impl ConvergenceSamples {
    /// The samples of several in one.
    #[must_use]
    pub fn merged<'a>(all: impl Iterator<Item = &'a Self>) -> Self {
        let mut merged = Self::default();
        for samples in all {
            merged.seconds.extend(&samples.seconds);
            merged.never += samples.never;
        }
        merged
    }

    /// None where nobody had anything to learn.
    #[must_use]
    pub fn summary(&self) -> Option<ConvergenceSummary> {
        let distribution = Distribution::of(self.seconds.iter().copied().map(f64::from).collect());
        let (converged, never) = (self.seconds.len(), self.never);
        (converged + never > 0).then_some(ConvergenceSummary { distribution, converged, never })
    }
}
