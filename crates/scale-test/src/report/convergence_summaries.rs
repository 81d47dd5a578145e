//! How long things took to be known, over some plays.

use super::play_result::PlayResult;
use crate::distribution::{ConvergenceSamples, ConvergenceSummary};

/// Something whose convergence is measured.
struct Measure {
    /// Its name in reports.
    name: &'static str,
    /// Its samples in the result of a play, where there are any.
    samples: fn(&PlayResult) -> Option<&ConvergenceSamples>,
}

const MEASURES: [Measure; 5] = [
    Measure { name: "death", samples: |play| Some(&play.membership_times.death) },
    Measure { name: "join", samples: |play| Some(&play.membership_times.join) },
    Measure { name: "healing", samples: |play| Some(&play.membership_times.healing) },
    Measure { name: "change", samples: |play| Some(&play.changes.as_ref()?.propagation_times) },
    Measure { name: "catch_up", samples: |play| Some(&play.changes.as_ref()?.catch_up_times) },
];

/// How long one thing took to be known.
pub(super) struct NamedSummary {
    /// Its name in reports.
    pub name: &'static str,
    /// The summary of its samples.
    pub summary: ConvergenceSummary,
}

/// The summaries of all that anyone had to learn in these plays.
pub(super) fn convergence_summaries(plays: &[PlayResult]) -> Vec<NamedSummary> {
    let summarize = |Measure { name, samples }: &Measure| {
        let summary = ConvergenceSamples::merged(plays.iter().filter_map(samples)).summary()?;
        Some(NamedSummary { name, summary })
    };
    MEASURES.iter().filter_map(summarize).collect()
}
