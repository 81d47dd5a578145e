//! Summaries of convergence times over several plays.

use super::play_result::PlayResult;
use crate::distribution::{ConvergenceSamples, ConvergenceSummary};

/// A kind of event whose convergence is measured.
struct Measure {
    /// Name in reports.
    name: &'static str,
    /// Its samples in the result of a play, if there are any.
    samples: fn(&PlayResult) -> Option<&ConvergenceSamples>,
}

const MEASURES: [Measure; 5] = [
    Measure { name: "death", samples: |play| Some(&play.membership_times.death) },
    Measure { name: "join", samples: |play| Some(&play.membership_times.join) },
    Measure { name: "healing", samples: |play| Some(&play.membership_times.healing) },
    Measure { name: "change", samples: |play| Some(&play.changes.as_ref()?.propagation_times) },
    Measure { name: "catch_up", samples: |play| Some(&play.changes.as_ref()?.catch_up_times) },
];

/// Summary of the convergence times of one kind of event.
pub(super) struct NamedSummary {
    /// Name in reports.
    pub name: &'static str,
    /// Summary of its samples.
    pub summary: ConvergenceSummary,
}

/// Summarizes the convergence times over these plays. Kinds of events that did not occur are left out.
pub(super) fn convergence_summaries(plays: &[PlayResult]) -> Vec<NamedSummary> {
    let summarize = |Measure { name, samples }: &Measure| {
        let summary = ConvergenceSamples::merged(plays.iter().filter_map(samples)).summary()?;
        Some(NamedSummary { name, summary })
    };
    MEASURES.iter().filter_map(summarize).collect()
}
