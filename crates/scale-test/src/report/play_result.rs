//! What came of one play.

use super::control_cost::ControlCost;
use crate::change_propagation::ChangeOutcomes;
use crate::distribution::Distribution;
use crate::membership_tracker::ConvergenceTimes;
use crate::plan::{ActionKind, Play};
use std::fmt;

/// What came of one play.
#[derive(Clone, Debug, PartialEq)]
pub struct PlayResult {
    /// The play's label.
    pub label: String,
    /// What happened in it.
    pub action: ActionKind,
    /// Seconds from the start of the run to that of the play.
    pub started_at: f64,
    /// Seconds that it took.
    pub seconds: f64,
    /// Whether the fleet converged, where that was waited for.
    pub convergence: Option<Convergence>,
    /// How many had detected a failure when those that were killed restarted.
    pub failure_detection: Option<FailureDetection>,
    /// How long deaths, joins and healing took to be known.
    pub membership_times: ConvergenceTimes,
    /// The cost of control, where it was measured.
    pub control_cost: Option<ControlCost>,
    /// Updates of the endpoint list, where there were any.
    pub endpoint_updates: Option<EndpointUpdateCost>,
    /// Configuration changes, where any were proposed or caught up with.
    pub changes: Option<ChangeOutcomes>,
    /// The control machine that was killed.
    pub killed_control_machine: Option<usize>,
}

impl PlayResult {
    /// The result of a play that has just begun, some seconds after the run.
    #[must_use]
    pub fn new(play: &Play, started_at: f64) -> Self {
        Self {
            label: play.label.clone(),
            action: play.action.kind(),
            started_at,
            seconds: 0.0,
            convergence: None,
            failure_detection: None,
            membership_times: ConvergenceTimes::default(),
            control_cost: None,
            endpoint_updates: None,
            changes: None,
            killed_control_machine: None,
        }
    }
}

/// Whether and when the views of all gateways became correct.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Convergence {
    /// Seconds until they were; none where they were not in time.
    pub after: Option<f64>,
    /// Seconds for which it was waited for.
    pub waited: f64,
    /// Gateways of which all others had the correct view.
    pub known_to_all: usize,
    /// Gateways that ran.
    pub total: usize,
}

/// How many gateways had detected a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureDetection {
    /// Gateways that had detected it.
    pub detected_by: usize,
    /// Gateways that ran.
    pub total: usize,
}

/// What updates of the endpoint list cost hollow gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdateCost {
    /// Workers that were removed and added again.
    pub workers: usize,
    /// Revisions in which they were added.
    pub revisions: usize,
    /// Seconds until all dispatchers had all revisions.
    pub seconds: f64,
    /// Seconds of processor time that the slowest dispatcher took for the revision that removed all.
    pub slowest_removal: f64,
    /// Seconds of processor time that the slowest dispatcher took for one of the revisions that added them.
    pub slowest_addition: f64,
    /// Seconds of processor time of each dispatcher, over all revisions.
    pub dispatcher_cpu: Option<Distribution>,
}

/// Something that a report names because it was not played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotPlayed {
    /// A play of the plan that did not end, or did not begin.
    Unfinished {
        /// The play's label.
        label: String,
        /// What should have happened in it.
        action: ActionKind,
    },
    /// An action that no play of the plan has.
    NotInPlan {
        /// The action.
        action: ActionKind,
    },
}

impl fmt::Display for NotPlayed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unfinished { label, action } => {
                write!(f, "{label} ({}): the run ended before its end", action.keyword())
            }
            Self::NotInPlan { action } => write!(f, "{}: not in the plan", action.keyword()),
        }
    }
}
