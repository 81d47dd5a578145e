//! The result of a play.

use super::control_cost::ControlCost;
use crate::change_propagation::ChangeOutcomes;
use crate::distribution::Distribution;
use crate::membership_tracker::ConvergenceTimes;
use crate::plan::{ActionKind, Play};
use std::fmt;

/// The result of a play.
#[derive(Clone, Debug, PartialEq)]
pub struct PlayResult {
    /// Label of the play.
    pub label: String,
    /// Kind of its action.
    pub action: ActionKind,
    /// Seconds from the start of the run to the start of the play.
    pub started_at: f64,
    /// Duration in seconds.
    pub seconds: f64,
    /// Whether the fleet converged, if that was awaited.
    pub convergence: Option<Convergence>,
    /// How many gateways had detected the failure when the killed ones were restarted.
    pub failure_detection: Option<FailureDetection>,
    /// Convergence times of deaths, joins and healing.
    pub membership_times: ConvergenceTimes,
    /// Control-plane cost, if it was measured.
    pub control_cost: Option<ControlCost>,
    /// Cost of endpoint list updates, if there were any.
    pub endpoint_updates: Option<EndpointUpdateCost>,
    /// Configuration changes, if any were proposed or caught up with.
    pub changes: Option<ChangeOutcomes>,
    /// The control machine that was killed as the leader.
    pub killed_control_machine: Option<usize>,
}

impl PlayResult {
    /// Creates the result of a play that begins now, `started_at` seconds after the start of the run.
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
    /// Seconds until convergence; `None` if the fleet did not converge in time.
    pub after: Option<f64>,
    /// Seconds spent waiting.
    pub waited: f64,
    /// Number of running gateways that all others considered alive.
    pub known_to_all: usize,
    /// Number of running gateways.
    pub total: usize,
}

/// How many gateways had detected a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureDetection {
    /// Number of gateways that had detected it.
    pub detected_by: usize,
    /// Number of running gateways.
    pub total: usize,
}

/// Cost of endpoint list updates for hollow gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdateCost {
    /// Number of workers that were removed and added again.
    pub workers: usize,
    /// Number of revisions in which they were added.
    pub revisions: usize,
    /// Seconds until all dispatchers had applied all revisions that added workers.
    pub seconds: f64,
    /// Processor time in seconds of the slowest dispatcher for the revision that removed all workers.
    pub slowest_removal: f64,
    /// Highest processor time in seconds of any dispatcher for one of the revisions that added workers.
    pub slowest_addition: f64,
    /// Distribution over dispatchers of the processor time in seconds for all revisions.
    pub dispatcher_cpu: Option<Distribution>,
}

/// A play or action that the report lists as not played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotPlayed {
    /// A play that did not begin or did not end.
    Unfinished {
        /// Label of the play.
        label: String,
        /// Kind of its action.
        action: ActionKind,
    },
    /// An action that no play of the plan has.
    NotInPlan {
        /// The kind of action.
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
