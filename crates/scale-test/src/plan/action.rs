//! What can happen to the fleet in a play.

use super::region::RegionPair;

/// What happens in a play. All times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// All gateways start, in an order by the seed.
    Start {
        /// Seconds over which the starts are spread evenly.
        duration: f64,
    },
    /// Nothing happens; the cost of control is measured.
    SteadyState {
        /// Seconds of the measurement.
        duration: f64,
    },
    /// Gateways shut down gracefully and restart under their names.
    RollingRestart {
        /// How many gateways restart.
        gateways: usize,
        /// Seconds over which the restarts are spread evenly.
        duration: f64,
    },
    /// Gateways of one zone are killed at once, and restart when all others have detected it.
    RackFailure {
        /// How many gateways are killed.
        gateways: usize,
        /// Seconds after which they restart at the latest.
        downtime: f64,
    },
    /// All gateways and control machines of a zone are killed at once, and restart when all others have detected it.
    ZoneFailure {
        /// Index of the zone.
        zone: usize,
        /// Seconds after which they restart at the latest.
        downtime: f64,
    },
    /// No datagram passes between two regions.
    Partition {
        /// The two regions.
        regions: RegionPair,
        /// Seconds until the partition heals.
        duration: f64,
    },
    /// The workers of a zone are removed from the endpoint list in one revision, and added again in several.
    EndpointUpdates {
        /// Index of the zone.
        zone: usize,
        /// Revisions in which the workers are added.
        revisions: usize,
        /// Seconds over which these revisions are spread evenly.
        duration: f64,
    },
    /// Only the configuration changes of the play.
    ConfigChanges,
    /// The leader of the control machines is killed when half of the play's changes are proposed.
    LeaderFailure {
        /// Seconds until it restarts with its log.
        downtime: f64,
    },
}

impl Action {
    /// The kind of this action.
    #[must_use]
    pub fn kind(&self) -> ActionKind {
        match self {
            Self::Start { .. } => ActionKind::Start,
            Self::SteadyState { .. } => ActionKind::SteadyState,
            Self::RollingRestart { .. } => ActionKind::RollingRestart,
            Self::RackFailure { .. } => ActionKind::RackFailure,
            Self::ZoneFailure { .. } => ActionKind::ZoneFailure,
            Self::Partition { .. } => ActionKind::Partition,
            Self::EndpointUpdates { .. } => ActionKind::EndpointUpdates,
            Self::ConfigChanges => ActionKind::ConfigChanges,
            Self::LeaderFailure { .. } => ActionKind::LeaderFailure,
        }
    }

    /// Seconds over which changes are proposed during it, where the plan states no others.
    pub(super) fn default_proposal_period(&self) -> f64 {
        match self {
            Self::SteadyState { duration }
            | Self::Start { duration }
            | Self::RollingRestart { duration, .. }
            | Self::EndpointUpdates { duration, .. } => *duration,
            Self::RackFailure { .. }
            | Self::ZoneFailure { .. }
            | Self::Partition { .. }
            | Self::ConfigChanges
            | Self::LeaderFailure { .. } => 1.0,
        }
    }
}

/// What can happen in a play, without its parameters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActionKind {
    /// See [`Action::Start`].
    Start,
    /// See [`Action::SteadyState`].
    SteadyState,
    /// See [`Action::RollingRestart`].
    RollingRestart,
    /// See [`Action::RackFailure`].
    RackFailure,
    /// See [`Action::ZoneFailure`].
    ZoneFailure,
    /// See [`Action::Partition`].
    Partition,
    /// See [`Action::EndpointUpdates`].
    EndpointUpdates,
    /// See [`Action::ConfigChanges`].
    ConfigChanges,
    /// See [`Action::LeaderFailure`].
    LeaderFailure,
}

impl ActionKind {
    /// All kinds. A report names those that a plan does not have.
    pub const ALL: [Self; 9] = [
        Self::Start,
        Self::SteadyState,
        Self::RollingRestart,
        Self::RackFailure,
        Self::ZoneFailure,
        Self::Partition,
        Self::EndpointUpdates,
        Self::ConfigChanges,
        Self::LeaderFailure,
    ];

    /// The word for it in plans and reports.
    #[must_use]
    pub fn keyword(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::SteadyState => "settled",
            Self::RollingRestart => "restarts",
            Self::RackFailure => "rack",
            Self::ZoneFailure => "zone",
            Self::Partition => "cut",
            Self::EndpointUpdates => "list",
            Self::ConfigChanges => "changes",
            Self::LeaderFailure => "control",
        }
    }
}
