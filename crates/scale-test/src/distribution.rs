//! How figures of many gateways spread: the middle, the ninety-ninth of a hundred, the worst. What was not
//! measured has none of them.

use serde::Serialize;

/// Three figures of many.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Distribution {
    pub p50: f64,
    pub p99: f64,
    pub worst: f64,
}

impl Distribution {
    /// By the nearest rank; none where there is nothing.
    pub fn of(mut figures: Vec<f64>) -> Option<Self> {
        figures.sort_by(f64::total_cmp);
        let rank = |part: f64| {
            let rank = (part * figures.len() as f64).ceil() as usize;
            figures.get(rank.max(1) - 1).copied()
        };
        Some(Self { p50: rank(0.5)?, p99: rank(0.99)?, worst: *figures.last()? })
    }
}

/// Seconds until something was known, and how many never learnt it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConvergenceSamples {
    pub seconds: Vec<f32>,
    pub never: usize,
}

/// What is told of such times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ConvergenceSummary {
    #[serde(flatten)]
    pub distribution: Option<Distribution>,
    pub learnt: usize,
    pub never: usize,
}

impl ConvergenceSamples {
    /// None where nobody had anything to learn.
    pub fn summary(&self) -> Option<ConvergenceSummary> {
        let distribution = Distribution::of(self.seconds.iter().map(|s| f64::from(*s)).collect());
        let (learnt, never) = (self.seconds.len(), self.never);
        (learnt + never > 0).then_some(ConvergenceSummary { distribution, learnt, never })
    }
}
